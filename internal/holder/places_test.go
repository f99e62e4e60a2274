package holder

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// Guards against anything that is sent to a target in an emptied place: new work at once, statements of open blocks and
// position polls after EmptyPlaceTime. What is refused must be known not to have run.
func TestEmptiedPlace(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	emptied := false
	f.cfg.Place = func(name string) catalog.Place { return catalog.Place{Emptied: emptied && name == "x"} }
	f.grantedLease.Place = "x"
	f.Apply([]Lease{f.grantedLease})
	ctx := context.Background()
	start := func() (wire.StatementReply, *Block) { return f.Start(ctx, newBlockRequest("t", "x")) }
	_, finished := start()
	_, idle := start()
	next := func(b *Block, kind statement.Kind) wire.StatementReply {
		return b.Next(ctx, wire.BlockStatementRequest{Timeout: time.Second, Statement: statement.Statement{Kind: kind}})
	}
	tick := func() { f.lookup("db").tick(ctx) }
	emptied = true
	reply, b := start()
	is.Equal(reply.Code, verdict.CodeUnavailable)
	is.Equal(verdict.Verdict(reply.Verdict), verdict.NotRun)
	is.Equal(b, nil)
	tick()
	f.clock.Advance(f.cfg.EmptyPlaceTime - time.Millisecond)
	is.Equal(next(finished, statement.Commit).Code, "")
	is.Equal(next(idle, statement.Write).Code, "")
	f.clock.Advance(time.Millisecond)
	sent := len(f.target.executed)
	is.Equal(next(idle, statement.Commit).Code, verdict.CodeAborted)
	dials := f.target.dials
	for range 5 {
		f.clock.Advance(sampleInterval)
		tick()
	}
	is.Equal(len(f.target.executed), sent)
	is.Equal(f.target.dials, dials)
	is.True(!f.lookup("db").polling)
	emptied = false
	tick()
	reply, _ = start()
	is.Equal(reply.Code, "")
}

// Guards against a statement that is sent although the place was emptied while it waited for a connection.
func TestEmptiedWhileQueued(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	checks := 0
	f.cfg.Place = func(string) catalog.Place { checks++; return catalog.Place{Emptied: checks > 1} }
	reply, _ := f.Start(context.Background(), newRequest("t", statement.Write, "x", nil))
	is.Equal(reply.Code, verdict.CodeUnavailable)
	is.Equal(len(f.target.executed), 0)
}
