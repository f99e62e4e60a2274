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

// Guards against large uncompressed replies to requests that ask for compression, as those from another place
// do, and against compressed replies to requests that don't. Covers the first and a later statement of a block.
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

// Guards against a message of the greatest legal size that isn't served because another host than the holder has
// received it: its request is larger than the message.
func TestLargestStatementOfAnotherHost(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	text := strings.Repeat("x", wire.MaxMessageBytes)
	var requests bytes.Buffer
	is.NoErr(wire.Write(&requests, newBlockRequest("t", text)))
	is.NoErr(wire.Write(&requests, wire.BlockStatementRequest{Statement: statement.Statement{ID: "2", Kind: statement.Write, Text: text}}))
	stream := &serveStream{Reader: &requests}
	f.Serve(context.Background(), stream)
	for range 2 {
		var reply wire.StatementReply
		is.NoErr(wire.Read(&stream.Buffer, &reply, wire.MaxMessageBytes))
		is.Equal(reply.Code, "")
	}
}
