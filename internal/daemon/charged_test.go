package daemon

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/budget"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// Guards against statements of other hosts that are altered or not charged, and against a statement without room that
// is held or gets no reply that nothing has run.
func TestChargedStream(t *testing.T) {
	is := is.New(t)
	clients := budget.New(budget.Limits{Bytes: 1000})
	var sent, replies bytes.Buffer
	small := wire.StatementRequest{Target: "t", Statement: statement.Statement{ID: "1", Text: "READ a"}}
	large := small
	large.Statement.Text = string(bytes.Repeat([]byte{'x'}, 800))
	for _, req := range []wire.StatementRequest{small, small, large} {
		is.NoErr(wire.Write(&sent, req))
	}
	account := clients.Open(func() {})
	s := &chargedStream{stream: struct {
		io.Reader
		io.Writer
	}{&sent, &replies}, account: account}
	for range 2 {
		var got wire.StatementRequest
		is.NoErr(wire.Read(s, &got, wire.MaxMessageBytes))
		is.Equal(got.Statement, small.Statement)
		used, _ := clients.Used()
		is.True(used > 0)
		is.NoErr(wire.Write(s, wire.StatementReply{}))
		used, _ = clients.Used()
		is.Equal(used, int64(0))
	}
	replies.Reset()
	other := clients.Open(func() {})
	is.True(other.Hold(900, false))
	var got wire.StatementRequest
	is.True(wire.Read(s, &got, wire.MaxMessageBytes) != nil)
	var reply wire.StatementReply
	is.NoErr(wire.Read(&replies, &reply, wire.MaxMessageBytes))
	is.Equal(verdict.Verdict(reply.Verdict), verdict.NotRun)
	is.Equal(reply.Code, verdict.CodeTooBusy)
}
