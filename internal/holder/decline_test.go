package holder

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

func newOptionalRequest() wire.StatementRequest {
	req := newRequest("t", statement.Read, "x", nil)
	req.NeedsPrimary, req.DeclineAbove = false, time.Millisecond
	return req
}

// Load: a database fails part of its statements, but answers position polls and health checks. Guards against
// statements with another target that still run there, against a refusal of those that have none, and against a target
// that stays unused after it has recovered.
func TestFailingTargetDeclines(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	failure := error(verdict.New(verdict.Ran, verdict.CodeStatementFailed, "broken"))
	f.target.onRun = func(statement.Statement) error { return failure }
	for range 3 {
		reply, _ := f.Start(context.Background(), newOptionalRequest())
		is.Equal(reply.Code, verdict.CodeStatementFailed)
	}
	reply, _ := f.Start(context.Background(), newOptionalRequest())
	is.Equal(reply.Code, verdict.CodeDeclined)
	is.True(reply.Failing)
	failure = nil
	reply, _ = f.Start(context.Background(), newRequest("t", statement.Read, "x", nil)) // has no other target
	is.Equal(reply.Code, "")
	for range 10 { // probes
		f.clock.Advance(200 * time.Millisecond)
		reply, _ = f.Start(context.Background(), newOptionalRequest())
	}
	is.Equal(reply.Code, "")
	is.True(!reply.Failing)
}

// Guards against a target that counts as failing because it reports load or lag, or a mistake of the caller.
func TestRefusalsAreNotFailures(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	for _, code := range []string{verdict.CodeTooBusy, verdict.CodeReplicaBehind, verdict.CodeUnknownStatement, verdict.CodeReadOnly} {
		f.target.onRun = func(statement.Statement) error { return verdict.New(verdict.NotRun, code, "refused") }
		for range 4 {
			reply, _ := f.Start(context.Background(), newRequest("t", statement.Read, "x", nil))
			is.Equal(reply.Code, code)
			is.True(!reply.Failing)
		}
	}
}

// Load: all slots are taken, and statements wait. Guards against a wait beyond the one from which the sender has a better
// target, and against a decline without a wait.
func TestLongQueueDeclines(t *testing.T) {
	is := is.New(t)
	f := newFixture(8)
	f.target.onRun = func(statement.Statement) error { f.clock.Advance(20 * time.Millisecond); return nil }
	reply, _ := f.Start(context.Background(), newOptionalRequest()) // tells how long a statement takes
	is.Equal(reply.Code, "")
	release, running := make(chan struct{}), make(chan struct{})
	f.target.onRun = func(statement.Statement) error { running <- struct{}{}; <-release; return nil }
	done := make(chan string)
	start := func(req wire.StatementRequest) {
		go func() {
			reply, _ := f.Start(context.Background(), req)
			done <- reply.Code
		}()
	}
	optional := newOptionalRequest()
	start(optional)
	<-running // with free slots it runs
	for range 2 {
		start(newRequest("t", statement.Read, "x", nil))
		<-running
	}
	reply, _ = f.Start(context.Background(), optional)
	is.Equal(reply.Code, verdict.CodeDeclined)
	is.True(reply.ExpectedQueueWait > optional.DeclineAbove)
	is.True(!reply.Failing)
	close(release)
	for range 3 {
		is.Equal(<-done, "")
	}
}

// Load: a database leaves part of its statements without a response, and callers give up. Guards against a database that
// never counts as failing since the caller was the one to end the statement, and against a healthy one that is blamed for
// callers that leave early.
func TestUnansweredStatementsAreFailures(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	var ran time.Duration
	answer := error(nil)
	f.target.onRun = func(statement.Statement) error { f.clock.Advance(ran); return answer }
	run := func() bool {
		req := newRequest("t", statement.Read, "x", nil)
		req.Timeout = 5 * time.Millisecond
		reply, _ := f.Start(context.Background(), req)
		return reply.Failing
	}
	ran = 20 * time.Millisecond
	is.True(!run())
	answer = errNoResponse
	for range 6 {
		is.True(!run()) // left while a response was not overdue
	}
	ran = 200 * time.Millisecond
	for range 3 {
		run()
	}
	is.True(run())
}

// Guards against a holder that sends a read again and again to a replica which refuses it as behind although the read requires
// no position.
func TestUnfoundedRefusalIsPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	sent := 0
	f.target.onRun = func(statement.Statement) error {
		sent++
		return verdict.New(verdict.NotRun, verdict.CodeReplicaBehind, "refused")
	}
	reply, _ := f.Start(context.Background(), newRequest("t", statement.Read, "x", nil))
	is.Equal(reply.Code, verdict.CodeReplicaBehind)
	is.Equal(sent, 1)
}
