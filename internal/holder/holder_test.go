package holder

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

var (
	errConnLost   = errors.New("connection lost")
	errNoResponse = errors.New("no response before the end of the context")
)

// fakeTarget is a Dialer whose connections all lead to one simulated target.
type fakeTarget struct {
	mu           sync.Mutex
	open         int
	peakOpen     int
	dials        int
	refusedDials int // dials refused at the connection limit
	executed     []string
	pos          position.Position
	rows         []string                           // of each response
	unreachable  bool                               // dials fail with errConnLost
	onRun        func(st statement.Statement) error // called without mu
	maxConns     int
}

// fakeConn tracks the session state that a target keeps for a connection, and rejects the execution of a
// statement that is not prepared on it.
type fakeConn struct {
	target   *fakeTarget
	team     string
	settings map[string]string
	prepared map[string]bool
	inBlock  bool
	closed   bool
}

func (t *fakeTarget) Dial(_ context.Context, _ wire.TargetGrant, team string) (Conn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unreachable {
		return nil, errConnLost
	}
	if t.maxConns > 0 && t.open >= t.maxConns {
		t.refusedDials++
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooBusy, "too many connections")
	}
	t.open++
	t.dials++
	t.peakOpen = max(t.peakOpen, t.open)
	return &fakeConn{target: t, team: team, settings: map[string]string{}, prepared: map[string]bool{}}, nil
}

func (c *fakeConn) Run(ctx context.Context, st statement.Statement, _ position.Position) (statement.Result, error) {
	c.target.mu.Lock()
	hook := c.target.onRun
	c.target.mu.Unlock()
	if hook != nil {
		if err := hook(st); err != nil {
			if errors.Is(err, errNoResponse) {
				<-ctx.Done()
			}
			return statement.Result{}, err
		}
	}
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	if st.Prepared != nil && !c.prepared[st.Prepared.Name()] {
		return statement.Result{}, verdict.New(verdict.NotRun, verdict.CodeUnknownStatement, "not prepared")
	}
	c.target.executed = append(c.target.executed, fmt.Sprintf("%s %s %v %s", c.team, st.Kind, c.settings, st.Text))
	switch st.Kind {
	case statement.Begin, statement.BeginRead:
		c.inBlock = true
	case statement.Commit, statement.Rollback:
		c.inBlock = false
		c.target.pos.Offset++
	case statement.Write:
		if !c.inBlock {
			c.target.pos.Offset++
		}
	}
	res := statement.Result{Rows: c.target.rows, Signature: "sig", Position: c.target.pos}
	if c.inBlock {
		res.Status = statement.Block
	}
	return res, nil
}

func (c *fakeConn) Set(_ context.Context, name, value string) error {
	c.settings[name] = value
	return nil
}

func (c *fakeConn) Prepare(_ context.Context, d statement.Definition) error {
	c.prepared[d.Name()] = true
	return nil
}

func (c *fakeConn) Reset(context.Context) error {
	clear(c.settings)
	clear(c.prepared)
	return nil
}

func (c *fakeConn) PollPosition(context.Context) (position.Position, error) {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	return c.target.pos, nil
}

func (c *fakeConn) Usable() bool { return !c.closed }

func (c *fakeConn) Close() {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	if !c.closed {
		c.target.open--
	}
	c.closed = true
}

// fakeLeases has one lease whose validity a test sets. It records what is returned and released.
type fakeLeases struct {
	mu       sync.Mutex
	valid    bool
	primary  bool
	returned []uint64
	released []uint64
}

func (l *fakeLeases) TargetValid(_ string, _ uint64, needsPrimary bool, _ uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.valid && (!needsPrimary || l.primary)
}

func (l *fakeLeases) ReturnTargetLease(_ string, epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.returned = append(l.returned, epoch)
}

func (l *fakeLeases) ReleasePrimary(_ string, epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = append(l.released, epoch)
}

func (l *fakeLeases) RenewNow() {}

func (l *fakeLeases) set(valid, primary bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.valid, l.primary = valid, primary
}

type fixture struct {
	*Manager
	target       *fakeTarget
	leases       *fakeLeases
	clock        *clock.Fake
	grantedLease Lease
}

func newFixture(maxConns int) *fixture {
	f := &fixture{
		target: &fakeTarget{pos: position.Position{Term: 1, Offset: 1}, maxConns: maxConns},
		leases: &fakeLeases{valid: true, primary: true},
		clock:  clock.NewFake(time.Unix(1000, 0)),
	}
	f.Manager = New(Config{Dialer: f.target, Leases: f.leases, Clock: f.clock, Logger: log.NewNopLogger()})
	f.grantedLease = Lease{TargetGrant: wire.TargetGrant{
		Target: "db", Epoch: 5, Service: "s", Slots: 2, Connections: maxConns, Primary: true, Term: 1,
	}}
	f.Apply([]Lease{f.grantedLease})
	return f
}

func newRequest(team string, kind statement.Kind, text string, settings map[string]string) wire.StatementRequest {
	return wire.StatementRequest{
		Target: "db", Team: team, NeedsPrimary: true, SessionSettings: settings, Timeout: time.Second,
		Statement: statement.Statement{ID: "1", Kind: kind, Text: text},
	}
}

func newBlockRequest(team string, text string) wire.StatementRequest {
	req := newRequest(team, statement.Write, text, nil)
	req.StartsBlock = true
	req.Begin = statement.Statement{ID: "0", Kind: statement.Begin, Text: "BEGIN"}
	return req
}

// Guards against a statement that runs with the settings of another session of its team, on a connection
// that both share.
func TestSettingsBelongToSession(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	for _, settings := range []map[string]string{{"a": "1"}, {"b": "2"}, nil, {"a": "1", "b": "3"}} {
		reply, _ := f.Start(context.Background(), newRequest("t", statement.Read, "x", settings))
		is.Equal(reply.Code, "")
		want := maps.Clone(settings)
		if want == nil {
			want = map[string]string{}
		}
		is.Equal(f.target.executed[len(f.target.executed)-1], fmt.Sprintf("t read %v x", want))
	}
	is.Equal(f.target.dials, 1)
}

// Guards against the execution of a statement that is not prepared on the connection.
func TestPreparedStatements(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	req := newRequest("t", statement.Read, "item", nil)
	req.Statement.Prepared = &statement.Definition{Kind: statement.Read, Body: "READ q"}
	for range 2 {
		reply, _ := f.Start(context.Background(), req)
		is.Equal(reply.Code, "")
	}
	// The settings of another session cause a reset, which also drops the prepared statements.
	f.Start(context.Background(), newRequest("t", statement.Read, "x", map[string]string{"a": "1"}))
	f.Start(context.Background(), newRequest("t", statement.Read, "x", nil))
	reply, _ := f.Start(context.Background(), req)
	is.Equal(reply.Code, "")
}

// Guards against more connections than the lease allows, and against a statement on a connection that was
// opened for another team.
func TestConnectionsAreShared(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	for i := range 30 {
		reply, _ := f.Start(context.Background(), newRequest(fmt.Sprint("team", i%5), statement.Read, "x", nil))
		is.Equal(reply.Code, "")
		is.Equal(f.target.executed[len(f.target.executed)-1], fmt.Sprintf("team%d read map[] x", i%5))
	}
	is.True(f.target.peakOpen <= 3)
}

// Guards against a write that is acknowledged although the lease ended while it ran, and against a
// statement that starts without a lease.
func TestLeaseEndsDuringAWrite(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.target.onRun = func(statement.Statement) error {
		f.leases.set(true, false)
		return nil
	}
	reply, _ := f.Start(context.Background(), newRequest("t", statement.Write, "x", nil))
	is.Equal(reply.Code, verdict.CodeOutcomeUnknown)
	is.Equal(verdict.Verdict(reply.Verdict), verdict.MayHaveRun)
	executedBefore := len(f.target.executed)
	reply, _ = f.Start(context.Background(), newRequest("t", statement.Read, "x", nil))
	is.Equal(verdict.Verdict(reply.Verdict), verdict.NotRun)
	is.Equal(len(f.target.executed), executedBefore) // nothing reached the target
}

// Guards against the verdict NotRun for a write whose response was lost, and against the verdict MayHaveRun
// for a lost response within a block, which can't have been committed.
func TestLostResponses(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.target.onRun = func(st statement.Statement) error {
		if st.Kind == statement.Begin {
			return nil
		}
		return errConnLost
	}
	reply, _ := f.Start(context.Background(), newRequest("t", statement.Write, "x", nil))
	is.Equal(verdict.Verdict(reply.Verdict), verdict.MayHaveRun)
	reply, openBlock := f.Start(context.Background(), newBlockRequest("t", "x"))
	is.True(openBlock == nil)
	is.Equal(reply.Code, verdict.CodeAborted)
	is.Equal(verdict.Verdict(reply.Verdict), verdict.NotRun)
	is.Equal(f.target.open, 0)
	f.target.onRun = func(st statement.Statement) error {
		if st.Kind == statement.Commit {
			return errConnLost
		}
		return nil
	}
	reply, openBlock = f.Start(context.Background(), newBlockRequest("t", "x"))
	is.Equal(reply.Code, "")
	reply = openBlock.Next(context.Background(), wire.BlockStatementRequest{Timeout: time.Second, Statement: statement.Statement{Kind: statement.Commit}})
	is.Equal(verdict.Verdict(reply.Verdict), verdict.MayHaveRun)
}

// Guards against a connection that is handed to another session while a block is open on it, and against a
// block that stays open after its caller has disconnected.
func TestBlocks(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	_, openBlock := f.Start(context.Background(), newBlockRequest("t", "x"))
	is.True(openBlock != nil)
	shortRequest := newRequest("t", statement.Read, "y", nil)
	shortRequest.Timeout = 20 * time.Millisecond
	reply, _ := f.Start(context.Background(), shortRequest)
	is.Equal(reply.Code, verdict.CodeTooBusy) // the block occupies the only connection
	openBlock.Close()
	is.Equal(f.target.executed[len(f.target.executed)-1], "t rollback map[] ROLLBACK")
	reply, _ = f.Start(context.Background(), newRequest("t", statement.Read, "y", nil))
	is.Equal(reply.Code, "")
}

// Guards against repeated dials to a target that is at its connection limit because it still counts the
// connections of a failed holder. Guards also against a team that gets no connection although one of another
// team is idle.
func TestTargetAtConnectionLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	f.target.open = 3 // connections of the failed holder
	codeFor := func(team string) string {
		reply, _ := f.Start(context.Background(), newRequest(team, statement.Read, "x", nil))
		return reply.Code
	}
	is.Equal(codeFor("a"), "")
	is.Equal(codeFor("b"), verdict.CodeTooBusy)
	refusedDials := f.target.refusedDials
	is.Equal(codeFor("b"), "") // the idle connection of team a is evicted
	is.Equal(f.target.refusedDials, refusedDials)
	_, openBlock := f.Start(context.Background(), newBlockRequest("b", "x"))
	for range 10 {
		is.Equal(codeFor("a"), verdict.CodeTooBusy)
	}
	is.Equal(f.target.refusedDials, refusedDials)
	f.clock.Advance(fullRetryDelay)
	is.Equal(codeFor("a"), verdict.CodeTooBusy)
	is.Equal(f.target.refusedDials, refusedDials+1)
	openBlock.Close()
	f.target.open = 1
	f.clock.Advance(fullRetryDelay)
	is.Equal(codeFor("a"), "")
}

// Guards against a revoked lease that is returned while work runs under it.
func TestRevokedLease(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	_, openBlock := f.Start(context.Background(), newBlockRequest("t", "x"))
	revokedLease := f.grantedLease
	revokedLease.Revoked = true
	f.Apply([]Lease{revokedLease})
	f.lookup("db").tick(context.Background())
	is.Equal(len(f.leases.returned), 0)
	reply, _ := f.Start(context.Background(), newRequest("t", statement.Read, "y", nil))
	is.Equal(verdict.Verdict(reply.Verdict), verdict.NotRun)
	reply = openBlock.Next(context.Background(), wire.BlockStatementRequest{Timeout: time.Second, Statement: statement.Statement{Kind: statement.Commit}})
	is.Equal(reply.Code, "")
	is.Equal(f.leases.returned, []uint64{5})
	is.Equal(f.target.open, 0)
	is.Equal(f.metrics.gained.Get(), uint64(1))
	is.Equal(f.metrics.returned.Get(), uint64(1))
	is.Equal(f.metrics.ended.Get(), uint64(0))
}

// Guards against a promotion that waits for a caller who is idle inside a block.
func TestPrimaryRevoked(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	_, openBlock := f.Start(context.Background(), newBlockRequest("t", "x"))
	withoutPrimary := f.grantedLease
	withoutPrimary.Primary = false
	f.Apply([]Lease{withoutPrimary})
	f.lookup("db").tick(context.Background())
	is.Equal(len(f.leases.released), 0)
	f.clock.Advance(primaryDrainTimeout)
	f.lookup("db").tick(context.Background())
	is.True(eventually(openBlock.Ended))
	is.True(eventually(func() bool {
		f.lookup("db").tick(context.Background())
		f.leases.mu.Lock()
		defer f.leases.mu.Unlock()
		return len(f.leases.released) == 1
	}))
	reply := openBlock.Next(context.Background(), wire.BlockStatementRequest{Timeout: time.Second, Statement: statement.Statement{Kind: statement.Commit}})
	is.Equal(reply.Code, verdict.CodeAborted)
}

// Guards against a promotion that waits for statements at a primary that does not respond.
func TestSilentPrimaryRevoked(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	started := make(chan struct{})
	f.target.onRun = func(statement.Statement) error {
		close(started)
		return errNoResponse
	}
	replies := make(chan wire.StatementReply, 1)
	go func() {
		req := newRequest("t", statement.Write, "x", nil)
		req.Timeout = time.Minute
		reply, _ := f.Start(context.Background(), req)
		replies <- reply
	}()
	<-started
	f.clock.Advance(time.Second)
	withoutPrimary := f.grantedLease
	withoutPrimary.Primary = false
	f.Apply([]Lease{withoutPrimary})
	is.Equal(verdict.Verdict((<-replies).Verdict), verdict.MayHaveRun)
	is.True(eventually(func() bool {
		f.leases.mu.Lock()
		defer f.leases.mu.Unlock()
		return len(f.leases.released) == 1
	}))
}

// eventually polls a condition that background goroutines bring about in real time; the fake clock does not
// advance.
func eventually(condition func() bool) bool {
	for range 1000 {
		if condition() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// Guards against a position sample taken after the host has lost the primary right.
func TestSamples(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.clock.Advance(time.Second)
	f.Start(context.Background(), newRequest("t", statement.Read, "x", nil))
	sample, ok := f.Sample("db", "s")
	is.True(ok)
	is.Equal(sample.Position, f.target.pos)
	f.clock.Advance(time.Second)
	f.leases.set(true, false)
	req := newRequest("t", statement.Read, "x", nil)
	req.NeedsPrimary = false
	f.Start(context.Background(), req)
	sample, ok = f.Sample("db", "s")
	is.True(ok)
	is.Equal(sample.Age, time.Second) // the sample of the first read
}

// Guards against a silent target that is not reported, and against a stalled commit that is reported as
// silence.
func TestHealth(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	is.Equal(len(f.Health()), 0)
	f.target.unreachable = true
	f.Start(context.Background(), newRequest("t", statement.Read, "x", nil))
	f.clock.Advance(time.Second)
	is.Equal(f.Health()[0].SilentFor, time.Second)
	f.target.unreachable = false
	held := f.lookup("db")
	held.pollPosition(context.Background()) // statements are refused until a poll succeeds
	is.Equal(len(f.Health()), 0)
	reply, _ := f.Start(context.Background(), newRequest("t", statement.Read, "x", nil))
	is.Equal(reply.Code, "")
	is.Equal(len(f.Health()), 0)
	running := held.recordStart(true)
	f.clock.Advance(2 * time.Second)
	is.Equal(f.Health()[0].CommitStall, 2*time.Second)
	is.Equal(f.Health()[0].SilentFor, time.Duration(0))
	held.recordFinish(running, true)
	is.Equal(len(f.Health()), 0)
}

// Guards against a report of silence, which would reassign the lease or start a promotion, because single
// responses of a target are lost.
func TestSingleLostResponsesAreNotSilence(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	held := f.lookup("db")
	read, commit := held.recordStart(false), held.recordStart(true)
	for range 10 {
		f.clock.Advance(200 * time.Millisecond)
		f.Start(context.Background(), newRequest("t", statement.Write, "x", nil))
		is.Equal(len(f.Health()), 0)
	}
	held.recordFinish(read, false)
	held.recordFinish(commit, false)
}

// Guards against statements that wait for a silent target, and against a replica that gets no statements
// after it has recovered from silence.
func TestSilentTargetRefusesWork(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.grantedLease.Primary = false
	f.Apply([]Lease{f.grantedLease})
	read := newRequest("t", statement.Read, "x", nil)
	read.NeedsPrimary = false
	f.target.unreachable = true
	reply, _ := f.Start(context.Background(), read)
	is.Equal(reply.Code, verdict.CodeUnavailable)
	f.clock.Advance(silenceLimit)
	f.target.unreachable = false
	reply, _ = f.Start(context.Background(), read)
	is.Equal(reply.Code, verdict.CodeUnavailable)
	is.Equal(verdict.Verdict(reply.Verdict), verdict.NotRun)
	is.Equal(f.target.dials, 0)
	f.lookup("db").tick(context.Background())
	deadline := time.Now().Add(time.Second)
	for f.lookup("db").healthReport().SilentFor > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	reply, _ = f.Start(context.Background(), read)
	is.Equal(reply.Code, "")
}

// Guards against a flood of callers without a team, at a route of high priority, that takes a database from the teams.
func TestOpenCallersAreOwedNoShare(t *testing.T) {
	is := is.New(t)
	is.Equal(weight("t", 0), 8*weight("t", 3))
	is.Equal(weight(catalog.OpenTeam, 0), weight("t", 3))
}
