package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// Load: a team sends more than its share of the primary. Guards against statements that are sent to be refused, and against
// refusals of another team's statements, which its share admits.
func TestBusyTeamIsRefusedAtTheEntryHost(t *testing.T) {
	is := is.New(t)
	g, h, clk := newTestGateway(t)
	busy := func(string, wire.StatementRequest) (wire.StatementReply, error) {
		return wire.StatementReply{Verdict: uint8(verdict.NotRun), Code: verdict.CodeTooBusy, RetryAfter: 60 * time.Millisecond}, nil
	}
	h.respond = busy
	s := mustOpen(t, g, "current")
	_, err := s.Do(context.Background(), readStatement())
	is.Equal(verdict.As(err).Code, verdict.CodeTooBusy)
	is.Equal(len(h.sent), 1)                              // the objective is 40 ms: no other answer would be in time
	is.True(h.sent[0].StartWithin <= 40*time.Millisecond) // beyond the objective the holder need not queue it
	_, err = s.Do(context.Background(), readStatement())
	is.Equal(len(h.sent), 1)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.As(err).RetryAfter, 60*time.Millisecond)

	h.respond = func(string, wire.StatementRequest) (wire.StatementReply, error) { return wire.StatementReply{}, nil }
	other, err := g.Open("open", "") // callers without a team count as another one
	is.NoErr(err)
	_, err = other.Do(context.Background(), writeStatement())
	is.NoErr(err)
	clk.Advance(60 * time.Millisecond)
	_, err = s.Do(context.Background(), readStatement())
	is.NoErr(err)
}

// Guards against a write that is refused without a wait for the next primary, because its team would wait too long at a target
// that can't run it.
func TestBusyReplicaDoesNotRefuseWrites(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	g.router.recordBusy("a", "t", 40*time.Millisecond, 200*time.Millisecond)
	g.router.recordBusy("p", "t", 40*time.Millisecond, 200*time.Millisecond)
	h.targets[0].Primary = false // the primary before
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // ends the wait
	_, err := mustOpen(t, g, "current").Do(ctx, writeStatement())
	is.Equal(verdict.As(err).Code, verdict.CodeUnavailable)
	is.Equal(verdict.As(err).RetryAfter, time.Duration(0))
	is.Equal(len(h.sent), 0)
}

// Load: the replicas of a service are behind. Guards against reads that are sent to a replica whose holder has said that it is
// behind, against a replica that is left alone longer than that, and for reads that it can serve.
func TestReplicaBehindIsLeftAlone(t *testing.T) {
	is := is.New(t)
	g, h, clk := newTestGateway(t)
	h.respond = func(target string, req wire.StatementRequest) (wire.StatementReply, error) {
		if target == "a" {
			return wire.StatementReply{Verdict: uint8(verdict.NotRun), Code: verdict.CodeReplicaBehind, RetryAfter: 300 * time.Millisecond, Reached: position.Position{Term: 1, Offset: 9}}, nil
		}
		return wire.StatementReply{}, nil
	}
	s := mustOpen(t, g, "aged")
	for range 3 {
		_, err := s.Do(context.Background(), readStatement())
		is.NoErr(err)
	}
	is.Equal(h.sentTargets(), []string{"a", "b", "b", "b"})
	now := clk.Now()
	stats := g.router.stats("a")
	is.True(stats.behind.refuses(now, requirement{maxAge: maxAge / 2}))
	is.True(!stats.behind.refuses(now, requirement{maxAge: 2 * maxAge, minPosition: position.Position{Term: 1, Offset: 9}}))
	is.True(stats.behind.refuses(now, requirement{maxAge: 2 * maxAge, minPosition: position.Position{Term: 1, Offset: 10}}))
	clk.Advance(300 * time.Millisecond)
	is.True(!stats.behind.refuses(clk.Now(), requirement{maxAge: maxAge}))
}

// Guards against a read that is sent to each replica to learn that no position of the primary is known.
func TestUnknownPositionIsAskedForOnce(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	h.respond = func(target string, _ wire.StatementRequest) (wire.StatementReply, error) {
		if target == "p" {
			return wire.StatementReply{}, nil
		}
		return replyWithError(verdict.NotRun, verdict.CodePositionUnknown)
	}
	_, err := mustOpen(t, g, "aged").Do(context.Background(), readStatement())
	is.NoErr(err)
	is.Equal(h.sentTargets(), []string{"a", "p"})
	is.True(h.sent[1].NeedsPrimary)
}

// Load: all operations need tokens from a control leader that is gone. Guards against each of them waiting for it, and against a
// wait that leaves no time for the operation.
func TestTokenWaitsWhileControlIsSilent(t *testing.T) {
	is := is.New(t)
	is.Equal(tokenWait(120*time.Millisecond, 0), 40*time.Millisecond)
	is.Equal(tokenWait(0, 0), maxTokenWait)
	is.Equal(tokenWait(time.Minute, controlSilence), maxTokenWait)
	is.Equal(tokenWait(120*time.Millisecond, controlSilence+1), 20*time.Millisecond)
}

// Guards against a host that lets a session wait for memory longer than its route allows.
func TestRequestTime(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	s := mustOpen(t, g, "aged")
	is.Equal(s.RequestTime(), time.Second)
	h.deploy(t, func(d *catalog.Deployment) { d.Version, d.Routes = 2, nil })
	is.Equal(s.RequestTime(), time.Duration(0))
}
