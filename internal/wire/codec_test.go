package wire

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/statement"
)

// TestCompressedMessages guards against messages that change on their way, that are compressed though
// nobody asked for it, and that unpack to more than the reader's limit.
func TestCompressedMessages(t *testing.T) {
	is := is.New(t)
	reply := StatementReply{Result: statement.Result{Rows: []string{strings.Repeat("row of a table ", 1000)}}}
	var plain, packed bytes.Buffer
	is.NoErr(Write(&plain, reply))
	is.True(plain.Len() > 15_000)
	reply.Compress = true
	is.NoErr(Write(&packed, reply))
	is.True(packed.Len() < 1000)

	size := plain.Len()
	var back StatementReply
	is.True(errors.Is(Read(bytes.NewReader(packed.Bytes()), &back, size-5), ErrTooLarge))
	for _, b := range []*bytes.Buffer{&plain, &packed} {
		back = StatementReply{}
		is.NoErr(Read(b, &back, size-4))
		is.Equal(back.Result, reply.Result)
		is.Equal(b.Len(), 0)
	}
}
