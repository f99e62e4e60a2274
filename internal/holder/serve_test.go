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

// serveStream reads the requests of another host and buffers the replies.
type serveStream struct {
	io.Reader
	bytes.Buffer
}

func (s *serveStream) Read(p []byte) (int, error) { return s.Reader.Read(p) }

// Guards against large replies that are not compressed although the request asks for it, as requests from
// another place do, also within a block, and against compressed replies to a request that does not.
func TestReplyCompression(t *testing.T) {
	is := is.New(t)
	for _, compress := range []bool{false, true} {
		f := newFixture(1)
		f.target.rows = []string{strings.Repeat("row ", 500)}
		req := newBlockRequest("t", "x")
		req.Compress = compress
		var requests bytes.Buffer
		is.NoErr(wire.Write(&requests, req))
		is.NoErr(wire.Write(&requests, wire.BlockStatementRequest{Statement: statement.Statement{ID: "2", Kind: statement.Read, Text: "y"}, Compress: compress}))
		stream := &serveStream{Reader: &requests}
		f.Serve(context.Background(), stream)
		is.Equal(stream.Buffer.Len() < 1000, compress)
		for range 2 {
			var reply wire.StatementReply
			is.NoErr(wire.Read(&stream.Buffer, &reply, wire.MaxMessageBytes))
			is.Equal(reply.Result.Rows, f.target.rows)
		}
	}
}
