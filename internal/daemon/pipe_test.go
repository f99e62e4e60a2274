package daemon

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against lost or reordered bytes when writer and reader run at different speeds.
func TestPipeKeepsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 3*pipeBufferBytes/2), 0, 6).Draw(t, "chunks")
		a, b := newPipe()
		go func() {
			for _, c := range chunks {
				_, _ = a.Write(c)
			}
			_ = a.CloseWrite()
		}()
		got, err := io.ReadAll(b)
		if err != nil || !bytes.Equal(got, bytes.Join(chunks, nil)) {
			t.Fatalf("got %d bytes, %v", len(got), err)
		}
	})
}

// Guards against a writer that blocks forever after the reader has closed its end, and against the loss
// of data written before a close.
func TestPipeClose(t *testing.T) {
	is := is.New(t)
	a, b := newPipe()
	done := make(chan error, 1)
	go func() {
		_, err := a.Write(make([]byte, 2*pipeBufferBytes))
		done <- err
	}()
	buf := make([]byte, 1)
	_, err := b.Read(buf)
	is.NoErr(err)
	is.NoErr(b.Close())
	is.True(<-done != nil)

	a, b = newPipe()
	_, err = a.Write([]byte("last"))
	is.NoErr(err)
	is.NoErr(a.Close())
	got, err := io.ReadAll(b)
	is.NoErr(err)
	is.Equal(string(got), "last")
}
