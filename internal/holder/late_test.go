package holder

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
)

// Load: a target whose slots are taken for longer than callers wait. Guards against a statement that is held beyond the time in
// which it may start, and against one that is sent after its caller has left.
func TestStatementThatCannotStartInTime(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	release := make(chan struct{})
	var busy sync.WaitGroup
	f.target.onRun = func(statement.Statement) error { <-release; return nil }
	for range f.grantedLease.Slots + pipelinedStatements {
		busy.Go(func() { f.Start(context.Background(), newRequest("t", statement.Read, "x", nil)) })
	}
	is.True(eventually(func() bool { queued, slots := f.lookup("db").gate.Load(queueName); return queued == slots }))
	req := newRequest("u", statement.Write, "late", nil)
	req.Timeout, req.StartWithin = time.Hour, time.Millisecond
	reply, _ := f.Start(context.Background(), req)
	is.Equal(reply.Code, verdict.CodeTooBusy)
	is.Equal(verdict.Verdict(reply.Verdict), verdict.NotRun)
	close(release)
	busy.Wait()

	left, cancel := context.WithCancel(context.Background())
	cancel()
	reply, _ = f.Start(left, newRequest("u", statement.Write, "left", nil))
	is.Equal(verdict.Verdict(reply.Verdict), verdict.NotRun) // nothing was sent
	for _, executed := range f.target.executed {
		is.True(!strings.Contains(executed, "late") && !strings.Contains(executed, "left"))
	}
}
