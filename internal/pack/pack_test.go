package pack

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against messages that change on their way, and against a small packet that unpacks to more
// memory than a host has.
func TestPack(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 1, minBytes - 1, minBytes, 100_000} {
		data := bytes.Repeat([]byte{0xa1}, n)
		packed, err := Compress(data)
		is.NoErr(err)
		is.True(len(packed) <= len(data))
		back, err := Decompress(packed, n)
		is.NoErr(err)
		is.True(bytes.Equal(back, data))
	}
	packed, err := Compress(bytes.Repeat([]byte{0xa1}, 100_000))
	is.NoErr(err)
	is.True(len(packed) < 1000)
	_, err = Decompress(packed, 99_999)
	is.True(errors.Is(err, ErrTooLarge))
	_, err = Decompress([]byte{marker, 1, 2, 3}, 1000)
	is.True(err != nil)
}
