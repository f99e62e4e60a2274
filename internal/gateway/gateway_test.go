package gateway

import (
	"context"
	"errors"
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

// fakeHost is a host's view of the fleet, and the way to all holders.
type fakeHost struct {
	snap    *catalog.Snapshot
	tokens  int
	targets []wire.TargetRoute
	sent    []sentWork
	answer  func(at string, w wire.StatementRequest) (wire.StatementReply, error)
	block   *fakeBlock
}

type sentWork struct {
	at string
	wire.StatementRequest
}

type fakeBlock struct {
	next   []wire.BlockStatementRequest
	answer func(n wire.BlockStatementRequest) (wire.StatementReply, error)
	closed bool
}

func (b *fakeBlock) Next(_ context.Context, n wire.BlockStatementRequest) (wire.StatementReply, error) {
	b.next = append(b.next, n)
	return b.answer(n)
}

func (b *fakeBlock) Close() { b.closed = true }

func (h *fakeHost) Catalog() *catalog.Snapshot { return h.snap }

func (h *fakeHost) AcquireTokensFailFast(context.Context, string, int) error {
	if h.tokens == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeRateExceeded, "rate exceeded")
	}
	h.tokens--
	return nil
}

func (h *fakeHost) TargetsOf(string) []wire.TargetRoute { return h.targets }

func (h *fakeHost) Start(_ context.Context, r wire.TargetRoute, w wire.StatementRequest) (wire.StatementReply, Block, error) {
	h.sent = append(h.sent, sentWork{r.Target, w})
	reply, err := h.answer(r.Target, w)
	if err != nil || !w.StartsBlock || reply.Code != "" {
		return reply, nil, err
	}
	return reply, h.block, nil
}

func (h *fakeHost) at() []string {
	var out []string
	for _, s := range h.sent {
		out = append(out, s.at)
	}
	return out
}

const maxAge = 1500 * time.Millisecond

func newTestGateway(t *testing.T) (*Gateway, *fakeHost, *clock.Fake) {
	t.Helper()
	h := &fakeHost{tokens: 1000, block: &fakeBlock{}}
	h.targets = []wire.TargetRoute{
		{Target: "p", Service: "s", Place: "y", Holder: "h1", Primary: true},
		{Target: "a", Service: "s", Place: "x", Holder: "h2"},
		{Target: "b", Service: "s", Place: "y", Holder: "h3"},
	}
	ok := wire.StatementReply{Result: statement.Result{Signature: "sig", Position: position.Position{Term: 1, Offset: 50}}}
	h.answer = func(string, wire.StatementRequest) (wire.StatementReply, error) { return ok, nil }
	h.block.answer = func(wire.BlockStatementRequest) (wire.StatementReply, error) { return ok, nil }
	h.deploy(t, nil)
	clk := clock.NewFake(time.Unix(1000, 0))
	g := New(Config{Place: "x", Directory: h, Holders: h, Clock: clk, Logger: log.NewNopLogger()})
	return g, h, clk
}

// deploy puts a deployment in force.
func (h *fakeHost) deploy(t *testing.T, change func(*catalog.Deployment)) {
	t.Helper()
	route := func(name string, mode wire.ReadMode, open bool) catalog.Route {
		return catalog.Route{
			Name: name, Database: name, Service: "s", Mode: mode, MaxAge: maxAge,
			Timeout: time.Second, LatencyObjective: 40 * time.Millisecond, Open: open,
		}
	}
	d := &catalog.Deployment{
		Version:  1,
		Routes:   []catalog.Route{route("current", wire.ReadCurrent, false), route("aged", wire.ReadMaxAge, false), route("own", wire.ReadSession, false), route("open", wire.ReadMaxAge, true)},
		Services: []catalog.DeployedService{{Name: "s"}},
		Teams:    []catalog.DeployedTeam{{Name: "t", Keys: []catalog.KeyDigest{catalog.DigestKey("key")}, Rate: 1, Burst: 1}},
	}
	if change != nil {
		change(d)
	}
	snap, err := catalog.NewSnapshot(catalog.Catalog{Revision: d.Version, Deployment: d})
	if err != nil {
		t.Fatal(err)
	}
	h.snap = snap
}

func (g *Gateway) sample(clk clock.Clock, age time.Duration, offset uint64) {
	g.router.mu.Lock()
	defer g.router.mu.Unlock()
	g.router.samples("s").add(clk.Now(), &wire.Sample{Age: age, Position: position.Position{Term: 1, Offset: offset}})
}

func mustOpen(t *testing.T, g *Gateway, database string) *Session {
	t.Helper()
	s, err := g.Open(database, "key")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func read() statement.Statement {
	return statement.Statement{ID: "1", Kind: statement.Read, Text: "READ x"}
}

func write() statement.Statement {
	return statement.Statement{ID: "2", Kind: statement.Write, Text: "WRITE x y"}
}

func failWith(v verdict.Verdict, code string) (wire.StatementReply, error) {
	return wire.StatementReply{Verdict: uint8(v), Code: code, Message: "refused"}, nil
}

// Guards against requests of callers whose key is unknown or was withdrawn while they are connected,
// and against a key that travels on.
func TestKeys(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	_, err := g.Open("current", "wrong")
	is.Equal(verdict.As(err).Code, verdict.CodeInvalidKey)
	_, err = g.Open("missing", "key")
	is.Equal(verdict.As(err).Code, verdict.CodeUnknownService)
	_, err = g.Open("open", "")
	is.NoErr(err)
	s := mustOpen(t, g, "current")
	_, err = s.Do(context.Background(), read())
	is.NoErr(err)
	is.Equal(h.sent[0].Team, "t")
	h.deploy(t, func(d *catalog.Deployment) { d.Version, d.Teams[0].Keys = 2, nil })
	_, err = s.Do(context.Background(), read())
	is.Equal(verdict.As(err).Code, verdict.CodeInvalidKey)
	is.Equal(len(h.sent), 1)
}

// Guards against reads that a replica answers although the route asks for the primary, and against
// older data than a route allows.
func TestFreshness(t *testing.T) {
	is := is.New(t)
	g, h, clk := newTestGateway(t)
	_, err := mustOpen(t, g, "current").Do(context.Background(), read())
	is.NoErr(err)
	is.Equal(h.at(), []string{"p"})
	is.True(h.sent[0].NeedsPrimary)

	aged := mustOpen(t, g, "aged")
	_, err = aged.Do(context.Background(), read()) // no sample yet
	is.NoErr(err)
	is.True(h.sent[1].NeedsPrimary)
	g.sample(clk, 0, 10)
	clk.Advance(time.Second)
	g.sample(clk, 0, 20)
	_, err = aged.Do(context.Background(), read())
	is.NoErr(err)
	is.True(!h.sent[2].NeedsPrimary)
	is.Equal(h.sent[2].MinPosition.Offset, uint64(10)) // the oldest that is young enough
	clk.Advance(time.Second)
	_, err = aged.Do(context.Background(), read())
	is.NoErr(err)
	is.Equal(h.sent[3].MinPosition.Offset, uint64(20))
	clk.Advance(time.Second)
	_, err = aged.Do(context.Background(), read())
	is.NoErr(err)
	is.True(h.sent[4].NeedsPrimary) // all samples are too old
}

// Guards against a session that doesn't see its own commits.
func TestReadYourWrites(t *testing.T) {
	is := is.New(t)
	g, h, clk := newTestGateway(t)
	g.sample(clk, 0, 10)
	own, other := mustOpen(t, g, "own"), mustOpen(t, g, "own")
	_, err := own.Do(context.Background(), write())
	is.NoErr(err)
	is.True(h.sent[0].NeedsPrimary)
	_, err = own.Do(context.Background(), read())
	is.NoErr(err)
	is.Equal(h.sent[1].MinPosition.Offset, uint64(50))
	_, err = other.Do(context.Background(), read())
	is.NoErr(err)
	is.Equal(h.sent[2].MinPosition.Offset, uint64(10))
	h.answer = func(string, wire.StatementRequest) (wire.StatementReply, error) { return wire.StatementReply{}, nil } // no position
	_, err = own.Do(context.Background(), write())
	is.NoErr(err)
	_, err = own.Do(context.Background(), read())
	is.NoErr(err)
	is.True(h.sent[4].NeedsPrimary) // the position of the own commit isn't known
}

// Guards against a write that is sent twice after an unknown outcome, and against one that isn't tried
// again although it can't have run.
func TestRetries(t *testing.T) {
	is := is.New(t)
	g, h, clk := newTestGateway(t)
	s := mustOpen(t, g, "own")
	calls := 0
	h.answer = func(string, wire.StatementRequest) (wire.StatementReply, error) {
		calls++
		return failWith(verdict.MayHaveRun, verdict.CodeOutcomeUnknown)
	}
	_, err := s.Do(context.Background(), write())
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(calls, 1)
	h.answer = func(string, wire.StatementRequest) (wire.StatementReply, error) {
		return wire.StatementReply{}, errors.New("stream reset")
	}
	_, err = s.Do(context.Background(), write())
	is.Equal(verdict.Of(err), verdict.MayHaveRun)

	h.answer = func(string, wire.StatementRequest) (wire.StatementReply, error) {
		if calls++; calls < 4 {
			return failWith(verdict.NotRun, verdict.CodeTooBusy)
		}
		return wire.StatementReply{}, nil
	}
	_, err = s.Do(context.Background(), write())
	is.NoErr(err)

	// A read goes on at the next target, also after an unknown outcome, and last at the primary.
	g.sample(clk, 0, 10)
	h.sent = nil
	h.answer = func(at string, _ wire.StatementRequest) (wire.StatementReply, error) {
		if at == "p" {
			return wire.StatementReply{}, nil
		}
		return wire.StatementReply{}, errors.New("stream reset")
	}
	_, err = mustOpen(t, g, "aged").Do(context.Background(), read())
	is.NoErr(err)
	is.Equal(h.at(), []string{"a", "b", "p"})
}

// Guards against a block that goes on after an error, a commit of a failed block, and a promise that
// nothing is kept after a commit without an answer.
func TestBlocks(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	s := mustOpen(t, g, "own")
	do := func(k statement.Kind) error {
		_, err := s.Do(context.Background(), statement.Statement{ID: "3", Kind: k, Text: k.String()})
		return err
	}
	is.NoErr(do(statement.Begin))
	is.Equal(len(h.sent), 0) // begun with the first statement
	is.NoErr(do(statement.Write))
	is.Equal(h.sent[0].Begin.Kind, statement.Begin)
	is.True(h.sent[0].NeedsPrimary)
	h.block.answer = func(wire.BlockStatementRequest) (wire.StatementReply, error) {
		return failWith(verdict.NotRun, verdict.CodeTooBusy)
	}
	is.Equal(verdict.As(do(statement.Read)).Code, verdict.CodeTooBusy)
	is.Equal(s.Status(), statement.Failed)
	is.True(h.block.closed)
	is.Equal(verdict.As(do(statement.Read)).Code, verdict.CodeFailedBlock)
	is.Equal(verdict.As(do(statement.Commit)).Code, verdict.CodeAborted)
	is.Equal(s.Status(), statement.Idle)

	h.block.answer = func(wire.BlockStatementRequest) (wire.StatementReply, error) {
		return wire.StatementReply{}, errors.New("stream reset")
	}
	is.NoErr(do(statement.Begin))
	is.NoErr(do(statement.Write))
	is.Equal(verdict.Of(do(statement.Commit)), verdict.MayHaveRun)
	is.NoErr(do(statement.Begin))
	is.NoErr(do(statement.Read))
	is.Equal(verdict.Of(do(statement.Commit)), verdict.NotRun) // it wrote nothing
}

// Guards against prepared statements and values that leave their session or miss a block.
func TestSessionState(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	s := mustOpen(t, g, "own")
	d := &statement.Definition{Kind: statement.Write, Body: "WRITE q"}
	_, err := s.Do(context.Background(), statement.Statement{Kind: statement.Prepare, Name: "n", Prepared: d})
	is.NoErr(err)
	st, err := s.Execute("9", "n", "item data")
	is.NoErr(err)
	is.Equal(st.Kind, statement.Write)
	_, err = mustOpen(t, g, "own").Execute("9", "n", "item data")
	is.Equal(verdict.As(err).Code, verdict.CodeUnknownStatement)
	set := statement.Statement{Kind: statement.Set, Name: "v", Value: "1"}
	_, err = s.Do(context.Background(), set)
	is.NoErr(err)
	_, err = s.Do(context.Background(), statement.Statement{ID: "4", Kind: statement.Begin})
	is.NoErr(err)
	_, err = s.Do(context.Background(), st)
	is.NoErr(err)
	is.Equal(h.sent[0].SessionSettings, map[string]string{"v": "1"})
	set.Value = "2"
	_, err = s.Do(context.Background(), set)
	is.NoErr(err)
	_, err = s.Do(context.Background(), read())
	is.NoErr(err)
	is.True(h.block.next[0].SettingsChanged)
	is.Equal(h.block.next[0].SessionSettings, map[string]string{"v": "2"})
}

// Guards against an operation that costs more than one token, and against one that costs none.
func TestRates(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	h.tokens = 2
	s := mustOpen(t, g, "own")
	_, err := s.Do(context.Background(), statement.Statement{ID: "1", Kind: statement.Begin})
	is.NoErr(err)
	for range 5 {
		_, err = s.Do(context.Background(), read())
		is.NoErr(err)
	}
	_, err = s.Do(context.Background(), statement.Statement{ID: "1", Kind: statement.Commit})
	is.NoErr(err)
	_, err = s.Do(context.Background(), read())
	is.NoErr(err)
	_, err = s.Do(context.Background(), read())
	is.Equal(verdict.As(err).Code, verdict.CodeRateExceeded)
	_, err = s.Do(context.Background(), statement.Statement{ID: "1", Kind: statement.Begin})
	is.Equal(verdict.As(err).Code, verdict.CodeRateExceeded)
	is.Equal(s.Status(), statement.Idle)
	h.deploy(t, func(d *catalog.Deployment) { d.Version, d.Teams[0].Unlimited = 2, true })
	_, err = s.Do(context.Background(), read())
	is.NoErr(err)
}

// Guards against new work at a target that leaves.
func TestLeavingTargets(t *testing.T) {
	is := is.New(t)
	g, h, clk := newTestGateway(t)
	g.sample(clk, 0, 10)
	h.targets[1].Leaving = true
	_, err := mustOpen(t, g, "aged").Do(context.Background(), read())
	is.NoErr(err)
	is.True(h.at()[0] != "a")
}
