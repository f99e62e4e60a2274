package holder

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/wire"
)

// serveStream is what another host has sent, and what it gets.
type serveStream struct {
	io.Reader
	bytes.Buffer
}

func (s *serveStream) Read(p []byte) (int, error) { return s.Reader.Read(p) }

// Guards against large answers that cross places uncompressed, also within a block, and against the
// compression of answers within a place.
func TestCompressedAnswers(t *testing.T) {
	is := is.New(t)
	for _, compress := range []bool{false, true} {
		f := newFixture(1)
		f.target.rows = []string{strings.Repeat("row ", 500)}
		w := block("t", "x")
		w.Compress = compress
		var sent bytes.Buffer
		is.NoErr(wire.Write(&sent, w))
		is.NoErr(wire.Write(&sent, wire.BlockStatementRequest{Statement: statement.Statement{ID: "2", Kind: statement.Read, Text: "y"}, Compress: compress}))
		s := &serveStream{Reader: &sent}
		f.Serve(context.Background(), s)
		is.Equal(s.Buffer.Len() < 1000, compress)
		for range 2 {
			var reply wire.StatementReply
			is.NoErr(wire.Read(&s.Buffer, &reply, wire.MaxMessageBytes))
			is.Equal(reply.Result.Rows, f.target.rows)
		}
	}
}
