package wire

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/statement"
)

// A message must be compressed only on request, must decode to its original, and must be rejected if it
// decompresses to more than the reader's limit.
func TestCompressedMessages(t *testing.T) {
	is := is.New(t)
	reply := StatementReply{Result: statement.Result{Rows: []string{strings.Repeat("row of a table ", 1000)}}}
	var plain, compressed bytes.Buffer
	is.NoErr(Write(&plain, reply))
	is.True(plain.Len() > 15_000)
	reply.Compress = true
	is.NoErr(Write(&compressed, reply))
	is.True(compressed.Len() < 1000)

	size := plain.Len()
	var decoded StatementReply
	is.True(errors.Is(Read(bytes.NewReader(compressed.Bytes()), &decoded, size-5), ErrTooLarge))
	for _, buf := range []*bytes.Buffer{&plain, &compressed} {
		decoded = StatementReply{}
		is.NoErr(Read(buf, &decoded, size-4))
		is.Equal(decoded.Result, reply.Result)
		is.Equal(buf.Len(), 0)
	}
}
