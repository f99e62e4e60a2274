package pgwire

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against frames that are truncated, merged or altered at buffer boundaries.
func TestReaderReturnsFramesUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bodies := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 3*readBufferBytes), 1, 8).Draw(t, "bodies")
		var stream []byte
		for i, b := range bodies {
			stream = Append(stream, byte('A'+i), b)
		}
		r := NewReader(bytes.NewReader(stream), MaxFrameBytes)
		for i, b := range bodies {
			f, err := r.Next()
			if err != nil || f.Type() != byte('A'+i) || !bytes.Equal(f.Body(), b) {
				t.Fatalf("frame %d: got %d bytes, err %v; want type %q with the %d bytes of body written", i, len(f), err, byte('A'+i), len(b))
			}
		}
		if _, err := r.Next(); err != io.EOF {
			t.Fatalf("after the last frame: got %v, want EOF", err)
		}
	})
}

// Guards against unbounded allocation, and against a truncated frame that is reported as a regular end of the
// stream.
func TestReaderRejectsInvalidFrames(t *testing.T) {
	is := is.New(t)
	_, err := NewReader(bytes.NewReader([]byte{'Q', 0xff, 0xff, 0xff, 0xff}), 1024).Next()
	is.True(errors.Is(err, ErrFrameLength)) // oversized
	_, err = NewReader(bytes.NewReader([]byte{'Q', 0, 0, 0, 3}), 1024).Next()
	is.True(errors.Is(err, ErrFrameLength)) // shorter than its own length field
	_, err = NewReader(bytes.NewReader([]byte{'Q', 0, 0, 0, 9, 'x'}), 1024).Next()
	is.Equal(err, io.ErrUnexpectedEOF) // truncated in the body
	_, err = NewReader(bytes.NewReader([]byte{'Q', 0}), 1024).Next()
	is.Equal(err, io.ErrUnexpectedEOF) // truncated in the header
}

// Guards against responses that are matched with the wrong request when a relay adds requests or responds to
// some locally.
func TestTrackerWithLocalAndAddedRequests(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	tracker.Push(Parse, RespondLocally, "known")
	tracker.Push(Parse, Discard, "added")
	tracker.Push(Bind, Relay, "")
	tracker.Push(Sync, Relay, "")

	request, name, ok := tracker.PopLocal()
	is.True(ok)
	is.Equal(request, byte(Parse))
	is.Equal(name, "known")
	_, _, ok = tracker.PopLocal()
	is.True(!ok) // the next request was sent to the target

	action, _, name, done := tracker.OnResponse(ParseComplete)
	is.Equal(action, Discard)
	is.Equal(name, "added")
	is.True(done)
	action, _, _, done = tracker.OnResponse(ErrorResponse)
	is.Equal(action, Relay)
	is.True(!done)
	_, request, _, done = tracker.OnResponse(ReadyForQuery)
	is.Equal(request, byte(Sync))
	is.True(done)
	is.Equal(tracker.Len(), 0)
}

// Guards against a queue that grows without bound while requests are always in flight, and against a wrong
// order after it is compacted.
func TestTrackerQueueIsBounded(t *testing.T) {
	var tracker Tracker
	tracker.Push(Sync, Relay, "0")
	for i := range 10_000 {
		tracker.Push(Sync, Relay, strconv.Itoa(i+1))
		if _, _, name, done := tracker.OnResponse(ReadyForQuery); !done || name != strconv.Itoa(i) {
			t.Fatalf("request %d: got name %q, done %v; want %q, true", i, name, done, strconv.Itoa(i))
		}
	}
	if n := cap(tracker.queue); n > 4*compactThreshold {
		t.Fatalf("the queue has a capacity of %d for 1 pending request, want at most %d", n, 4*compactThreshold)
	}
}

// Guards against a partial frame that counts as available: a relay would block on the rest of it before it
// forwards the frames that it has already read.
func TestHasFrame(t *testing.T) {
	is := is.New(t)
	one := Append(nil, DataRow, []byte("row"))
	two := append(bytes.Clone(one), one...)
	for cut := len(one); cut <= len(two); cut++ {
		r := NewReader(bytes.NewReader(two[:cut]), MaxFrameBytes)
		is.True(!r.HasFrame()) // nothing has been read yet
		_, err := r.Next()
		is.NoErr(err)
		is.Equal(r.HasFrame(), cut == len(two))
	}
}
