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

// Guards against frames that are cut, merged or altered at buffer boundaries.
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
				t.Fatalf("frame %d differs: %v", i, err)
			}
		}
		if _, err := r.Next(); err != io.EOF {
			t.Fatalf("want EOF, got %v", err)
		}
	})
}

// Guards against unbounded allocation and against a cut frame that looks like a clean end.
func TestReaderRefusesBadFrames(t *testing.T) {
	is := is.New(t)
	_, err := NewReader(bytes.NewReader([]byte{'Q', 0xff, 0xff, 0xff, 0xff}), 1024).Next()
	is.True(errors.Is(err, ErrFrameLength)) // oversized
	_, err = NewReader(bytes.NewReader([]byte{'Q', 0, 0, 0, 3}), 1024).Next()
	is.True(errors.Is(err, ErrFrameLength)) // shorter than its own length field
	_, err = NewReader(bytes.NewReader([]byte{'Q', 0, 0, 0, 9, 'x'}), 1024).Next()
	is.Equal(err, io.ErrUnexpectedEOF) // cut in the body
	_, err = NewReader(bytes.NewReader([]byte{'Q', 0}), 1024).Next()
	is.Equal(err, io.ErrUnexpectedEOF) // cut in the header
}

// Guards against responses that are attributed to the wrong request once a relay adds or answers
// requests itself.
func TestTrackerOrdersLocalAndAddedRequests(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	tr.Push(Parse, Synthesize, "known")
	tr.Push(Parse, Discard, "added")
	tr.Push(Bind, Relay, "")
	tr.Push(Sync, Relay, "")

	req, name, ok := tr.PopLocal()
	is.True(ok)
	is.Equal(req, byte(Parse))
	is.Equal(name, "known")
	_, _, ok = tr.PopLocal()
	is.True(!ok) // the next one was sent on

	a, _, name, done := tr.OnResponse(ParseComplete)
	is.Equal(a, Discard)
	is.Equal(name, "added")
	is.True(done)
	a, _, _, done = tr.OnResponse(ErrorResponse)
	is.Equal(a, Relay)
	is.True(!done)
	_, req, _, done = tr.OnResponse(ReadyForQuery)
	is.Equal(req, byte(Sync))
	is.True(done)
	is.Equal(tr.Len(), 0)
}

// Guards against a queue that grows as long as requests are always in flight, and against one that
// loses its order when it is compacted.
func TestTrackerStaysSmall(t *testing.T) {
	var tr Tracker
	tr.Push(Sync, Relay, "0")
	for i := range 10_000 {
		tr.Push(Sync, Relay, strconv.Itoa(i+1))
		if _, _, name, done := tr.OnResponse(ReadyForQuery); !done || name != strconv.Itoa(i) {
			t.Fatalf("request %d: got %q, done %v", i, name, done)
		}
	}
	if n := cap(tr.queue); n > 4*compactAfter {
		t.Fatalf("the queue holds %d entries for 1 request", n)
	}
}

// Guards against a partial frame that counts as available, so that a relay waits for its rest with
// other frames in hand.
func TestHasFrame(t *testing.T) {
	is := is.New(t)
	one := Append(nil, DataRow, []byte("row"))
	two := append(bytes.Clone(one), one...)
	for cut := len(one); cut <= len(two); cut++ {
		r := NewReader(bytes.NewReader(two[:cut]), MaxFrameBytes)
		is.True(!r.HasFrame()) // nothing was read yet
		_, err := r.Next()
		is.NoErr(err)
		is.Equal(r.HasFrame(), cut == len(two))
	}
}
