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

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

var (
	errBroken = errors.New("connection broken")
	errHang   = errors.New("no answer before the end of the context")
)

// fakeTarget is a target that connections of a test reach.
type fakeTarget struct {
	mu       sync.Mutex
	open     int
	most     int
	dials    int
	refused  int // dials, for want of room
	log      []string
	pos      position.Position
	rows     []string                           // of each answer
	broken   bool                               // dials fail
	onRun    func(st statement.Statement) error // called without mu
	maxConns int
}

// fakeConn checks what a target would check of a connection.
type fakeConn struct {
	t        *fakeTarget
	team     string
	values   map[string]string
	prepared map[string]bool
	block    bool
	closed   bool
}

func (t *fakeTarget) Dial(_ context.Context, _ wire.TargetGrant, team string) (Conn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.broken {
		return nil, errBroken
	}
	if t.maxConns > 0 && t.open >= t.maxConns {
		t.refused++
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooBusy, "too many connections")
	}
	t.open++
	t.dials++
	t.most = max(t.most, t.open)
	return &fakeConn{t: t, team: team, values: map[string]string{}, prepared: map[string]bool{}}, nil
}

func (c *fakeConn) Run(ctx context.Context, st statement.Statement, _ position.Position) (statement.Result, error) {
	c.t.mu.Lock()
	hook := c.t.onRun
	c.t.mu.Unlock()
	if hook != nil {
		if err := hook(st); err != nil {
			if errors.Is(err, errHang) {
				<-ctx.Done()
			}
			return statement.Result{}, err
		}
	}
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	if st.Prepared != nil && !c.prepared[st.Prepared.Name()] {
		return statement.Result{}, verdict.New(verdict.NotRun, verdict.CodeUnknownStatement, "not prepared")
	}
	c.t.log = append(c.t.log, fmt.Sprintf("%s %s %v %s", c.team, st.Kind, c.values, st.Text))
	switch st.Kind {
	case statement.Begin, statement.BeginRead:
		c.block = true
	case statement.Commit, statement.Rollback:
		c.block = false
		c.t.pos.Offset++
	case statement.Write:
		if !c.block {
			c.t.pos.Offset++
		}
	}
	res := statement.Result{Rows: c.t.rows, Signature: "sig", Position: c.t.pos}
	if c.block {
		res.Status = statement.Block
	}
	return res, nil
}

func (c *fakeConn) Set(_ context.Context, name, value string) error {
	c.values[name] = value
	return nil
}

func (c *fakeConn) Prepare(_ context.Context, d statement.Definition) error {
	c.prepared[d.Name()] = true
	return nil
}

func (c *fakeConn) Reset(context.Context) error {
	clear(c.values)
	clear(c.prepared)
	return nil
}

func (c *fakeConn) Ping(context.Context) (position.Position, error) { return c.t.pos, nil }

func (c *fakeConn) Usable() bool { return !c.closed }

func (c *fakeConn) Close() {
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	if !c.closed {
		c.t.open--
	}
	c.closed = true
}

// fakeLeases is the host's view of its leases.
type fakeLeases struct {
	mu       sync.Mutex
	valid    bool
	primary  bool
	returned []uint64
	released []uint64
}

func (l *fakeLeases) TargetValid(_ string, _ uint64, primary bool, _ uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.valid && (!primary || l.primary)
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
	target *fakeTarget
	leases *fakeLeases
	clock  *clock.Fake
	lease  Lease
}

func newFixture(conns int) *fixture {
	f := &fixture{
		target: &fakeTarget{pos: position.Position{Term: 1, Offset: 1}, maxConns: conns},
		leases: &fakeLeases{valid: true, primary: true},
		clock:  clock.NewFake(time.Unix(1000, 0)),
	}
	f.Manager = New(Config{Dialer: f.target, Leases: f.leases, Clock: f.clock, Logger: log.NewNopLogger()})
	f.lease = Lease{TargetGrant: wire.TargetGrant{
		Target: "db", Epoch: 5, Service: "s", Slots: 2, Connections: conns, Primary: true, Term: 1,
	}}
	f.Apply([]Lease{f.lease})
	return f
}

func work(team string, kind statement.Kind, text string, values map[string]string) wire.StatementRequest {
	return wire.StatementRequest{
		Target: "db", Team: team, NeedsPrimary: true, SessionSettings: values, Timeout: time.Second,
		Statement: statement.Statement{ID: "1", Kind: kind, Text: text},
	}
}

func block(team string, text string) wire.StatementRequest {
	w := work(team, statement.Write, text, nil)
	w.StartsBlock = true
	w.Begin = statement.Statement{ID: "0", Kind: statement.Begin, Text: "BEGIN"}
	return w
}

// Guards against a statement that runs with the values of another session, on a connection that
// sessions of a team share.
func TestValuesBelongToTheSession(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	for _, values := range []map[string]string{{"a": "1"}, {"b": "2"}, nil, {"a": "1", "b": "3"}} {
		reply, _ := f.Start(context.Background(), work("t", statement.Read, "x", values))
		is.Equal(reply.Code, "")
		want := maps.Clone(values)
		if want == nil {
			want = map[string]string{}
		}
		is.Equal(f.target.log[len(f.target.log)-1], fmt.Sprintf("t read %v x", want))
	}
	is.Equal(f.target.dials, 1)
}

// Guards against an execution of a statement that the connection doesn't know.
func TestPreparedStatements(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	w := work("t", statement.Read, "item", nil)
	w.Statement.Prepared = &statement.Definition{Kind: statement.Read, Body: "READ q"}
	for range 2 {
		reply, _ := f.Start(context.Background(), w)
		is.Equal(reply.Code, "")
	}
	// Values of another session reset the connection, and with it the prepared statements.
	f.Start(context.Background(), work("t", statement.Read, "x", map[string]string{"a": "1"}))
	f.Start(context.Background(), work("t", statement.Read, "x", nil))
	reply, _ := f.Start(context.Background(), w)
	is.Equal(reply.Code, "")
}

// Guards against more connections than the lease allows, and against a team that gets another team's
// connection.
func TestConnectionsAreShared(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	for i := range 30 {
		reply, _ := f.Start(context.Background(), work(fmt.Sprint("team", i%5), statement.Read, "x", nil))
		is.Equal(reply.Code, "")
		is.Equal(f.target.log[len(f.target.log)-1], fmt.Sprintf("team%d read map[] x", i%5))
	}
	is.True(f.target.most <= 3)
}

// Guards against an acknowledged write whose lease ended while it ran, and against a statement that
// starts without a lease.
func TestLeaseEndsDuringAWrite(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.target.onRun = func(statement.Statement) error {
		f.leases.set(true, false)
		return nil
	}
	reply, _ := f.Start(context.Background(), work("t", statement.Write, "x", nil))
	is.Equal(reply.Code, verdict.CodeOutcomeUnknown)
	is.Equal(verdict.Verdict(reply.Verdict), verdict.MayHaveRun)
	n := len(f.target.log)
	reply, _ = f.Start(context.Background(), work("t", statement.Read, "x", nil))
	is.Equal(verdict.Verdict(reply.Verdict), verdict.NotRun)
	is.Equal(len(f.target.log), n) // nothing was sent
}

// Guards against a write with a lost answer that counts as not run, and against a block's lost answer
// that leaves its caller in doubt although nothing can be kept.
func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.target.onRun = func(st statement.Statement) error {
		if st.Kind == statement.Begin {
			return nil
		}
		return errBroken
	}
	reply, _ := f.Start(context.Background(), work("t", statement.Write, "x", nil))
	is.Equal(verdict.Verdict(reply.Verdict), verdict.MayHaveRun)
	reply, b := f.Start(context.Background(), block("t", "x"))
	is.True(b == nil)
	is.Equal(reply.Code, verdict.CodeAborted)
	is.Equal(verdict.Verdict(reply.Verdict), verdict.NotRun)
	is.Equal(f.target.open, 0)
	f.target.onRun = func(st statement.Statement) error {
		if st.Kind == statement.Commit {
			return errBroken
		}
		return nil
	}
	reply, b = f.Start(context.Background(), block("t", "x"))
	is.Equal(reply.Code, "")
	reply = b.Next(context.Background(), wire.BlockStatementRequest{Timeout: time.Second, Statement: statement.Statement{Kind: statement.Commit}})
	is.Equal(verdict.Verdict(reply.Verdict), verdict.MayHaveRun)
}

// Guards against a connection that goes to another session while a block is open on it, and against a
// block that stays open after its caller has left.
func TestBlocks(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	_, b := f.Start(context.Background(), block("t", "x"))
	is.True(b != nil)
	short := work("t", statement.Read, "y", nil)
	short.Timeout = 20 * time.Millisecond
	reply, _ := f.Start(context.Background(), short)
	is.Equal(reply.Code, verdict.CodeTooBusy) // the only connection is in the block
	b.Close()
	is.Equal(f.target.log[len(f.target.log)-1], "t rollback map[] ROLLBACK")
	reply, _ = f.Start(context.Background(), work("t", statement.Read, "y", nil))
	is.Equal(reply.Code, "")
}

// Guards against a stream of refused connections to a target that still keeps those of a lost holder,
// and against teams that get none although another team's connection is idle.
func TestTargetWithoutRoom(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	f.target.open = 3 // of the lost holder
	run := func(team string) string {
		reply, _ := f.Start(context.Background(), work(team, statement.Read, "x", nil))
		return reply.Code
	}
	is.Equal(run("a"), "")
	is.Equal(run("b"), verdict.CodeTooBusy)
	refused := f.target.refused
	is.Equal(run("b"), "") // instead of the idle connection of a
	is.Equal(f.target.refused, refused)
	_, b := f.Start(context.Background(), block("b", "x"))
	for range 10 {
		is.Equal(run("a"), verdict.CodeTooBusy)
	}
	is.Equal(f.target.refused, refused)
	f.clock.Advance(fullPause)
	is.Equal(run("a"), verdict.CodeTooBusy)
	is.Equal(f.target.refused, refused+1)
	b.Close()
	f.target.open = 1
	f.clock.Advance(fullPause)
	is.Equal(run("a"), "")
}

// Guards against a lease that is given back while work runs under it.
func TestRevokedLease(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	_, b := f.Start(context.Background(), block("t", "x"))
	revoked := f.lease
	revoked.Revoked = true
	f.Apply([]Lease{revoked})
	f.lookup("db").tick(context.Background())
	is.Equal(len(f.leases.returned), 0)
	reply, _ := f.Start(context.Background(), work("t", statement.Read, "y", nil))
	is.Equal(verdict.Verdict(reply.Verdict), verdict.NotRun)
	reply = b.Next(context.Background(), wire.BlockStatementRequest{Timeout: time.Second, Statement: statement.Statement{Kind: statement.Commit}})
	is.Equal(reply.Code, "")
	is.Equal(f.leases.returned, []uint64{5})
	is.Equal(f.target.open, 0)
	is.Equal(f.metrics.gained.Get(), uint64(1))
	is.Equal(f.metrics.returned.Get(), uint64(1))
	is.Equal(f.metrics.ended.Get(), uint64(0))
}

// Guards against a promotion that waits for a caller that rests inside a block.
func TestPrimaryTakenBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	_, b := f.Start(context.Background(), block("t", "x"))
	taken := f.lease
	taken.Primary = false
	f.Apply([]Lease{taken})
	f.lookup("db").tick(context.Background())
	is.Equal(len(f.leases.released), 0)
	f.clock.Advance(primaryDrain)
	f.lookup("db").tick(context.Background())
	is.True(eventually(b.Ended))
	is.True(eventually(func() bool {
		f.lookup("db").tick(context.Background())
		f.leases.mu.Lock()
		defer f.leases.mu.Unlock()
		return len(f.leases.released) == 1
	}))
	reply := b.Next(context.Background(), wire.BlockStatementRequest{Timeout: time.Second, Statement: statement.Statement{Kind: statement.Commit}})
	is.Equal(reply.Code, verdict.CodeAborted)
}

// Guards against a promotion that waits for statements at a primary that doesn't answer.
func TestSilentPrimaryTakenBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	reached := make(chan struct{})
	f.target.onRun = func(statement.Statement) error {
		close(reached)
		return errHang
	}
	answered := make(chan wire.StatementReply, 1)
	go func() {
		w := work("t", statement.Write, "x", nil)
		w.Timeout = time.Minute
		reply, _ := f.Start(context.Background(), w)
		answered <- reply
	}()
	<-reached
	f.clock.Advance(time.Second)
	taken := f.lease
	taken.Primary = false
	f.Apply([]Lease{taken})
	is.Equal(verdict.Verdict((<-answered).Verdict), verdict.MayHaveRun)
	is.True(eventually(func() bool {
		f.leases.mu.Lock()
		defer f.leases.mu.Unlock()
		return len(f.leases.released) == 1
	}))
}

// eventually waits for work in the background, which takes no fake time.
func eventually(ok func() bool) bool {
	for range 1000 {
		if ok() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// Guards against a sample of a log that isn't the primary's.
func TestSamples(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.clock.Advance(time.Second)
	reply, _ := f.Start(context.Background(), work("t", statement.Read, "x", nil))
	is.Equal(reply.Sample.Position, f.target.pos)
	f.clock.Advance(time.Second)
	f.leases.set(true, false)
	w := work("t", statement.Read, "x", nil)
	w.NeedsPrimary = false
	reply, _ = f.Start(context.Background(), w)
	is.Equal(reply.Sample.Age, time.Second) // the earlier one
}

// Guards against a dead target that nobody reports, and against a stuck commit that looks like one.
func TestHealth(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	is.Equal(len(f.Health()), 0)
	f.target.broken = true
	f.Start(context.Background(), work("t", statement.Read, "x", nil))
	f.clock.Advance(time.Second)
	is.Equal(f.Health()[0].SilentFor, time.Second)
	f.target.broken = false
	t1 := f.lookup("db")
	t1.ping(context.Background()) // statements are refused until it is answered
	is.Equal(len(f.Health()), 0)
	reply, _ := f.Start(context.Background(), work("t", statement.Read, "x", nil))
	is.Equal(reply.Code, "")
	is.Equal(len(f.Health()), 0)
	r := t1.start(true)
	f.clock.Advance(2 * time.Second)
	is.Equal(f.Health()[0].CommitStall, 2*time.Second)
	is.Equal(f.Health()[0].SilentFor, time.Duration(0))
	t1.finish(r, true)
	is.Equal(len(f.Health()), 0)
}

// Guards against a move of the lease, or a promotion, because a target loses single answers.
func TestLostAnswersAreNoSilence(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	t1 := f.lookup("db")
	read, commit := t1.start(false), t1.start(true)
	for range 10 {
		f.clock.Advance(200 * time.Millisecond)
		f.Start(context.Background(), work("t", statement.Write, "x", nil))
		is.Equal(len(f.Health()), 0)
	}
	t1.finish(read, false)
	t1.finish(commit, false)
}

// Guards against statements that wait for a target which doesn't answer, and against a replica that gets
// none any more after it has been silent.
func TestSilentTargetRefusesWork(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.lease.Primary = false
	f.Apply([]Lease{f.lease})
	read := work("t", statement.Read, "x", nil)
	read.NeedsPrimary = false
	f.target.broken = true
	reply, _ := f.Start(context.Background(), read)
	is.Equal(reply.Code, verdict.CodeUnavailable)
	f.clock.Advance(silentBound)
	f.target.broken = false
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
