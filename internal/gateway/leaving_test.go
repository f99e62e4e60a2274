package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// declineAt makes the holders of some targets decline statements whose sender permits it.
func (h *fakeHost) declineAt(failing bool, targets ...string) {
	h.respond = func(target string, req wire.StatementRequest) (wire.StatementReply, error) {
		for _, t := range targets {
			if t == target && req.DeclineAbove > 0 {
				return wire.StatementReply{
					Verdict: uint8(verdict.NotRun), Code: verdict.CodeDeclined, ExpectedQueueWait: 300 * time.Millisecond,
					HeldFor: time.Millisecond, Failing: failing,
				}, nil
			}
		}
		return wire.StatementReply{HeldFor: time.Millisecond}, nil
	}
}

// Load: the target at home has a long queue. Guards against a read that waits there although another place is sooner,
// and against later reads that stay away although the wait was only that of one team.
func TestDeclinedReadLeavesItsPlace(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	h.declineAt(false, "a")
	s := mustOpen(t, g, "own")
	_, err := s.Do(context.Background(), readStatement())
	is.NoErr(err)
	is.Equal(h.sentTargets(), []string{"a", "b"})
	h.declineAt(false)
	_, err = s.Do(context.Background(), readStatement())
	is.NoErr(err)
	is.Equal(h.sent[2].sentTo, "a")
}

// Load: all targets have long queues. Guards against a statement that is passed around without end, or refused to its
// caller although a target would run it.
func TestReadDeclinedEverywhereRuns(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	h.declineAt(false, "a", "b", "p")
	_, err := mustOpen(t, g, "own").Do(context.Background(), readStatement())
	is.NoErr(err)
	is.True(len(h.sent) <= 4)
	is.Equal(h.sent[len(h.sent)-1].DeclineAbove, time.Duration(0))
}

// Load: the database at home fails part of its statements. Guards against later reads of a host that was told so, and
// against a block that its holder could not decline.
func TestFailingTargetIsLeft(t *testing.T) {
	is := is.New(t)
	g, h, clock := newTestGateway(t)
	h.declineAt(true, "a")
	s := mustOpen(t, g, "own")
	for _, want := range [][]string{{"a", "b"}, {"b"}} {
		h.sent = nil
		_, err := s.Do(context.Background(), statement.Statement{ID: "1", Kind: statement.BeginRead, Text: "BEGIN"})
		is.NoErr(err)
		_, err = s.Do(context.Background(), readStatement())
		is.NoErr(err)
		is.Equal(h.sentTargets(), want)
		_, err = s.Do(context.Background(), statement.Statement{ID: "3", Kind: statement.Rollback, Text: "ROLLBACK"})
		is.NoErr(err)
	}
	h.declineAt(false)
	clock.Advance(avoidDuration)
	h.sent = nil
	_, err := s.Do(context.Background(), readStatement())
	is.NoErr(err)
	is.Equal(h.sentTargets(), []string{"a"})
}

// Guards against a write that may be declined although only the primary can run it.
func TestOnlyTargetMayNotDecline(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	_, err := mustOpen(t, g, "own").Do(context.Background(), writeStatement())
	is.NoErr(err)
	is.Equal(h.sentTargets(), []string{"p"})
	is.Equal(h.sent[0].DeclineAbove, time.Duration(0))
}
