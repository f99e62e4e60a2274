package holder

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/warmup"
	"github.com/citronrun/citronrun/internal/wire"
)

// coldFixture holds a target that bears limit statements a second.
func coldFixture(limit int) (*fixture, func(heardAgo, remaining time.Duration)) {
	f := newFixture(8)
	report := func(heardAgo, remaining time.Duration) {
		f.grantedLease.Coldness = wire.Coldness{Limit: limit, Known: true, HeardAgo: heardAgo, Remaining: remaining}
		f.grantedLease.RenewedAt = f.clock.Now()
		f.Apply([]Lease{f.grantedLease})
	}
	report(0, 0)
	return f, report
}

// Load: a crowd of writes that returns to a cold target. Guards against more messages in a second than the target bears, counting
// what the holder itself sends, and against refusals that may have run or that touch the target.
func TestCrowdAtColdTarget(t *testing.T) {
	is := is.New(t)
	f, report := coldFixture(10)
	ctx := context.Background()
	crowd := func() (served int) {
		for range 30 {
			reply, _ := f.Start(ctx, newRequest("t", statement.Write, "x", nil))
			if reply.Code == "" {
				served++
				continue
			}
			is.Equal(reply.Code, verdict.CodeTooBusy)
			is.Equal(verdict.Verdict(reply.Verdict), verdict.NotRun)
		}
		return served
	}
	is.Equal(crowd(), 0) // the holder before may have used this second
	f.clock.Advance(warmup.Window + 50*time.Millisecond)
	served := crowd()
	is.True(served > 0 && served+f.target.dials <= 10)
	is.Equal(crowd(), 0)
	f.clock.Advance(3 * warmup.ReportDelay)
	report(time.Second, 0)
	is.Equal(crowd(), 30)
	f.target.onRun = func(statement.Statement) error { return errConnLost } // it restarts
	reply, _ := f.Start(ctx, newRequest("t", statement.Read, "x", nil))
	is.True(reply.Code != "")
	f.target.onRun = nil
	is.Equal(crowd(), 0)
	f.clock.Advance(2 * time.Second)
	f.lookup("db").pollPosition(ctx) // shows that it answers again
	report(1500*time.Millisecond, 0) // said when the restart may not have been over
	is.True(crowd() < 10)
	f.clock.Advance(2 * time.Second)
	report(0, 5*time.Second)
	is.True(crowd() < 10)
}

// Guards against a COMMIT that is refused at a cold target while its transaction stays open on a shared connection, and against
// new work that leaves open blocks no room.
func TestCommitAtColdTarget(t *testing.T) {
	is := is.New(t)
	f, _ := coldFixture(10)
	ctx := context.Background()
	commit := func(b *Block) wire.StatementReply {
		return b.Next(ctx, wire.BlockStatementRequest{Timeout: time.Second, Statement: statement.Statement{Kind: statement.Commit}})
	}
	f.clock.Advance(warmup.Window + 50*time.Millisecond)
	var blocks []*Block
	for range 10 {
		if _, b := f.Start(ctx, newBlockRequest("t", "x")); b != nil {
			blocks = append(blocks, b)
		}
	}
	is.True(len(blocks) >= 2)
	is.Equal(commit(blocks[0]).Code, "")
	for range 10 {
		_ = f.lookup("db").admit()
	}
	reply := commit(blocks[1])
	is.Equal(reply.Code, verdict.CodeTooBusy)
	is.Equal(verdict.Verdict(reply.Verdict), verdict.NotRun)
	is.True(blocks[1].Ended())
	for _, c := range f.lookup("db").conns.idle {
		is.True(!c.Conn.(limitedConn).Conn.(*fakeConn).inBlock)
	}
}
