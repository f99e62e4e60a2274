package pgwire

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// Guards against memory that stays reserved for a frame while its connection waits for the next one, perhaps for hours.
func TestReservationEndsWithFrame(t *testing.T) {
	for _, size := range []int{10 << 10, 40 << 10, 200 << 10} {
		is := is.New(t)
		var src bytes.Buffer
		src.Write(Append(nil, Query, make([]byte, size)))
		src.Write(Append(nil, Sync, nil))
		r := NewReader(&src, 1<<20)
		reserved := 0
		r.OnGrow(func(size int) error {
			reserved = size
			return nil
		})
		f, err := r.Next()
		is.NoErr(err)
		is.True(reserved >= len(f))
		_, err = r.Next()
		is.NoErr(err)
		is.Equal(reserved, 0)
	}
}
