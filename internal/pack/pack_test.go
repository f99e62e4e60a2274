package pack

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Packing must be lossless, and a small message must not be able to exhaust a host's memory when it is
// decompressed.
func TestPack(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 1, minBytes - 1, minBytes, 100_000} {
		data := bytes.Repeat([]byte{0xa1}, n)
		compressed, err := Compress(data)
		is.NoErr(err)
		is.True(len(compressed) <= len(data))
		unpacked, err := Decompress(compressed, n)
		is.NoErr(err)
		is.True(bytes.Equal(unpacked, data))
	}
	compressed, err := Compress(bytes.Repeat([]byte{0xa1}, 100_000))
	is.NoErr(err)
	is.True(len(compressed) < 1000)
	_, err = Decompress(compressed, 99_999)
	is.True(errors.Is(err, ErrTooLarge))
	_, err = Decompress([]byte{marker, 1, 2, 3}, 1000)
	is.True(err != nil)
}
