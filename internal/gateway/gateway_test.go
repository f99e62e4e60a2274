package gateway

import (
	"context"
	"errors"
	"slices"
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

// fakeHost is the Directory and the HolderClient of a gateway.
type fakeHost struct {
	catalogSnapshot *catalog.Snapshot
	confirmedAge    time.Duration
	rateTokens      int
	targets         []wire.TargetRoute
	sent            []sentRequest
	respond         func(target string, req wire.StatementRequest) (wire.StatementReply, error)
	block           *fakeBlock
}

type sentRequest struct {
	sentTo string
	wire.StatementRequest
}

type fakeBlock struct {
	requests []wire.BlockStatementRequest
	respond  func(req wire.BlockStatementRequest) (wire.StatementReply, error)
	closed   bool
}

func (b *fakeBlock) Next(_ context.Context, req wire.BlockStatementRequest) (wire.StatementReply, error) {
	b.requests = append(b.requests, req)
	return b.respond(req)
}

func (b *fakeBlock) Close() { b.closed = true }

func (h *fakeHost) Catalog() *catalog.Snapshot { return h.catalogSnapshot }

func (h *fakeHost) ConfirmedAge() time.Duration { return h.confirmedAge }

func (h *fakeHost) AcquireTokensFailFast(context.Context, string, int) error {
	if h.rateTokens == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeRateExceeded, "rate exceeded")
	}
	h.rateTokens--
	return nil
}

func (h *fakeHost) TargetsOf(string) []wire.TargetRoute { return h.targets }

func (h *fakeHost) Start(_ context.Context, route wire.TargetRoute, req wire.StatementRequest) (wire.StatementReply, Block, error) {
	h.sent = append(h.sent, sentRequest{route.Target, req})
	reply, err := h.respond(route.Target, req)
	if err != nil || !req.StartsBlock || reply.Code != "" {
		return reply, nil, err
	}
	return reply, h.block, nil
}

func (h *fakeHost) sentTargets() []string {
	var targets []string
	for _, sent := range h.sent {
		targets = append(targets, sent.sentTo)
	}
	return targets
}

const maxAge = 1500 * time.Millisecond

func newTestGateway(t *testing.T) (*Gateway, *fakeHost, *clock.Fake) {
	t.Helper()
	h := &fakeHost{rateTokens: 1000, block: &fakeBlock{}}
	h.targets = []wire.TargetRoute{
		{Target: "p", Service: "s", Place: "y", Holder: "h1", Primary: true},
		{Target: "a", Service: "s", Place: "x", Holder: "h2"},
		{Target: "b", Service: "s", Place: "y", Holder: "h3"},
	}
	okReply := wire.StatementReply{Result: statement.Result{Signature: "sig", Position: position.Position{Term: 1, Offset: 50}}}
	h.respond = func(string, wire.StatementRequest) (wire.StatementReply, error) { return okReply, nil }
	h.block.respond = func(wire.BlockStatementRequest) (wire.StatementReply, error) { return okReply, nil }
	h.deploy(t, nil)
	fakeClock := clock.NewFake(time.Unix(1000, 0))
	g := New(Config{Place: "x", MaxConfirmedAge: time.Second, Directory: h, Holders: h, Clock: fakeClock, Logger: log.NewNopLogger()})
	return g, h, fakeClock
}

// deploy makes a deployment the current one.
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
	h.catalogSnapshot = snap
}

func mustOpen(t *testing.T, g *Gateway, database string) *Session {
	t.Helper()
	s, err := g.Open(database, "key")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func readStatement() statement.Statement {
	return statement.Statement{ID: "1", Kind: statement.Read, Text: "READ x"}
}

func writeStatement() statement.Statement {
	return statement.Statement{ID: "2", Kind: statement.Write, Text: "WRITE x y"}
}

func replyWithError(v verdict.Verdict, code string) (wire.StatementReply, error) {
	return wire.StatementReply{Verdict: uint8(v), Code: code, Message: "refused"}, nil
}

// Guards against statements of callers whose key is unknown, or was withdrawn during the session, and against
// a key that is forwarded to holders, which need only the team.
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
	_, err = s.Do(context.Background(), readStatement())
	is.NoErr(err)
	is.Equal(h.sent[0].Team, "t")
	h.deploy(t, func(d *catalog.Deployment) { d.Version, d.Teams[0].Keys = 2, nil })
	_, err = s.Do(context.Background(), readStatement())
	is.Equal(verdict.As(err).Code, verdict.CodeInvalidKey)
	is.Equal(len(h.sent), 1)
}

// Guards against reads at a replica although the route requires the primary, and against reads of data that
// is older than the route allows.
func TestFreshness(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	_, err := mustOpen(t, g, "current").Do(context.Background(), readStatement())
	is.NoErr(err)
	is.Equal(h.sentTargets(), []string{"p"})
	is.True(h.sent[0].NeedsPrimary)

	aged := mustOpen(t, g, "aged")
	_, err = aged.Do(context.Background(), readStatement())
	is.NoErr(err)
	is.True(!h.sent[1].NeedsPrimary)
	is.Equal(h.sent[1].MaxAge, maxAge) // the holder must reject the read if the replica may be behind that

	// No replica is known to be recent enough: the primary is, and has no maximum age.
	h.sent = nil
	h.respond = func(target string, _ wire.StatementRequest) (wire.StatementReply, error) {
		if target == "p" {
			return wire.StatementReply{}, nil
		}
		return replyWithError(verdict.NotRun, verdict.CodeReplicaBehind)
	}
	_, err = aged.Do(context.Background(), readStatement())
	is.NoErr(err)
	last := h.sent[len(h.sent)-1]
	is.Equal(last.sentTo, "p")
	is.True(last.NeedsPrimary || last.MaxAge == maxAge)
}

// Guards against a session that does not read its own commits.
func TestReadYourWrites(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	own, other := mustOpen(t, g, "own"), mustOpen(t, g, "own")
	_, err := own.Do(context.Background(), writeStatement())
	is.NoErr(err)
	is.True(h.sent[0].NeedsPrimary)
	_, err = own.Do(context.Background(), readStatement())
	is.NoErr(err)
	is.Equal(h.sent[1].MinPosition.Offset, uint64(50))
	is.Equal(h.sent[1].MaxAge, maxAge)
	_, err = other.Do(context.Background(), readStatement())
	is.NoErr(err)
	is.Equal(h.sent[2].MinPosition.Offset, uint64(0)) // another session needs only the maximum age of the route
	is.Equal(h.sent[2].MaxAge, maxAge)
	h.respond = func(string, wire.StatementRequest) (wire.StatementReply, error) { return wire.StatementReply{}, nil } // no position
	_, err = own.Do(context.Background(), writeStatement())
	is.NoErr(err)
	_, err = own.Do(context.Background(), readStatement())
	is.NoErr(err)
	is.True(h.sent[4].NeedsPrimary) // the position of the session's commit is unknown
}

// Guards against a write that is sent again after an unknown outcome, and against one that is not retried
// although it has not run.
func TestRetries(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	s := mustOpen(t, g, "own")
	calls := 0
	h.respond = func(string, wire.StatementRequest) (wire.StatementReply, error) {
		calls++
		return replyWithError(verdict.MayHaveRun, verdict.CodeOutcomeUnknown)
	}
	_, err := s.Do(context.Background(), writeStatement())
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(calls, 1)
	h.respond = func(string, wire.StatementRequest) (wire.StatementReply, error) {
		return wire.StatementReply{}, errors.New("stream reset")
	}
	_, err = s.Do(context.Background(), writeStatement())
	is.Equal(verdict.Of(err), verdict.MayHaveRun)

	h.respond = func(string, wire.StatementRequest) (wire.StatementReply, error) {
		if calls++; calls < 4 {
			return replyWithError(verdict.NotRun, verdict.CodeTooBusy)
		}
		return wire.StatementReply{}, nil
	}
	_, err = s.Do(context.Background(), writeStatement())
	is.NoErr(err)

	// A read is retried at the other replicas even after an unknown outcome, and finally at the primary.
	h.sent = nil
	h.respond = func(target string, _ wire.StatementRequest) (wire.StatementReply, error) {
		if target == "p" {
			return wire.StatementReply{}, nil
		}
		return wire.StatementReply{}, errors.New("stream reset")
	}
	_, err = mustOpen(t, g, "aged").Do(context.Background(), readStatement())
	is.NoErr(err)
	is.Equal(h.sentTargets(), []string{"a", "b", "p"})
}

// Guards against a block that continues after an error, against the commit of a failed block, and against the
// verdict NotRun for the lost reply to the commit of a block that has written.
func TestBlocks(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	s := mustOpen(t, g, "own")
	do := func(kind statement.Kind) error {
		_, err := s.Do(context.Background(), statement.Statement{ID: "3", Kind: kind, Text: kind.String()})
		return err
	}
	is.NoErr(do(statement.Begin))
	is.Equal(len(h.sent), 0) // BEGIN is sent with the first statement
	is.NoErr(do(statement.Write))
	is.Equal(h.sent[0].Begin.Kind, statement.Begin)
	is.True(h.sent[0].NeedsPrimary)
	h.block.respond = func(wire.BlockStatementRequest) (wire.StatementReply, error) {
		return replyWithError(verdict.NotRun, verdict.CodeTooBusy)
	}
	is.Equal(verdict.As(do(statement.Read)).Code, verdict.CodeTooBusy)
	is.Equal(s.Status(), statement.Failed)
	is.True(h.block.closed)
	is.Equal(verdict.As(do(statement.Read)).Code, verdict.CodeFailedBlock)
	is.Equal(verdict.As(do(statement.Commit)).Code, verdict.CodeAborted)
	is.Equal(s.Status(), statement.Idle)

	h.block.respond = func(wire.BlockStatementRequest) (wire.StatementReply, error) {
		return wire.StatementReply{}, errors.New("stream reset")
	}
	is.NoErr(do(statement.Begin))
	is.NoErr(do(statement.Write))
	is.Equal(verdict.Of(do(statement.Commit)), verdict.MayHaveRun)
	is.NoErr(do(statement.Begin))
	is.NoErr(do(statement.Read))
	is.Equal(verdict.Of(do(statement.Commit)), verdict.NotRun) // the block has written nothing
}

// Guards against prepared statements and settings that are visible to other sessions or missing in a block.
func TestSessionState(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	s := mustOpen(t, g, "own")
	def := &statement.Definition{Kind: statement.Write, Body: "WRITE q"}
	_, err := s.Do(context.Background(), statement.Statement{Kind: statement.Prepare, Name: "n", Prepared: def})
	is.NoErr(err)
	st, err := s.BindPrepared("9", "n", "item data")
	is.NoErr(err)
	is.Equal(st.Kind, statement.Write)
	_, err = mustOpen(t, g, "own").BindPrepared("9", "n", "item data")
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
	_, err = s.Do(context.Background(), readStatement())
	is.NoErr(err)
	is.True(h.block.requests[0].SettingsChanged)
	is.Equal(h.block.requests[0].SessionSettings, map[string]string{"v": "2"})
}

// Guards against an operation that does not cost exactly one rate token. An operation is a statement outside
// of a block, or an entire block.
func TestOperationCostsOneRateToken(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	h.rateTokens = 2
	s := mustOpen(t, g, "own")
	_, err := s.Do(context.Background(), statement.Statement{ID: "1", Kind: statement.Begin})
	is.NoErr(err)
	for range 5 {
		_, err = s.Do(context.Background(), readStatement())
		is.NoErr(err)
	}
	_, err = s.Do(context.Background(), statement.Statement{ID: "1", Kind: statement.Commit})
	is.NoErr(err)
	_, err = s.Do(context.Background(), readStatement())
	is.NoErr(err)
	_, err = s.Do(context.Background(), readStatement())
	is.Equal(verdict.As(err).Code, verdict.CodeRateExceeded)
	_, err = s.Do(context.Background(), statement.Statement{ID: "1", Kind: statement.Begin})
	is.Equal(verdict.As(err).Code, verdict.CodeRateExceeded)
	is.Equal(s.Status(), statement.Idle)
	h.deploy(t, func(d *catalog.Deployment) { d.Version, d.Teams[0].Unlimited = 2, true })
	_, err = s.Do(context.Background(), readStatement())
	is.NoErr(err)
}

// Guards against operations that are judged by a deployment that may have been replaced: a host that does not hear from
// control must neither serve them, nor say that a database does not exist or a key was withdrawn.
func TestUnconfirmedDeployment(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	s := mustOpen(t, g, "own")
	_, err := s.Do(context.Background(), statement.Statement{ID: "1", Kind: statement.Begin})
	is.NoErr(err)
	h.confirmedAge = time.Second + 1
	_, err = s.Do(context.Background(), writeStatement()) // of a block that began before
	is.NoErr(err)
	_, err = s.Do(context.Background(), statement.Statement{ID: "1", Kind: statement.Commit})
	is.NoErr(err)
	sent := len(h.sent)
	unavailable := func(err error) {
		t.Helper()
		is.Equal(verdict.As(err).Code, verdict.CodeUnavailable)
		is.Equal(verdict.Of(err), verdict.NotRun)
	}
	for _, st := range []statement.Statement{readStatement(), writeStatement(), {ID: "1", Kind: statement.Begin}} {
		_, err = s.Do(context.Background(), st)
		unavailable(err)
	}
	is.Equal(len(h.sent), sent)
	_, err = g.Open("own", "key")
	unavailable(err)
	_, err = g.Open("missing", "key")
	unavailable(err)
	_, err = g.Open("own", "withdrawn")
	unavailable(err)
	h.confirmedAge = time.Second
	_, err = s.Do(context.Background(), readStatement())
	is.NoErr(err)
}

// Guards against new statements at a target that is leaving.
func TestLeavingTargets(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	h.targets[1].Leaving = true
	_, err := mustOpen(t, g, "aged").Do(context.Background(), readStatement())
	is.NoErr(err)
	is.True(h.sentTargets()[0] != "a")
}

// Guards against statements at targets in an emptied place, and against callers who wait for a target although all are in
// emptied places.
func TestEmptiedPlaces(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	empty := func(places ...string) {
		c := h.catalogSnapshot.Catalog()
		c.Places = map[string]catalog.Place{}
		for _, place := range places {
			c.Places[place] = catalog.Place{Emptied: true}
		}
		snap, err := catalog.NewSnapshot(c)
		is.NoErr(err)
		h.catalogSnapshot = snap
	}
	empty("x")
	s := mustOpen(t, g, "aged")
	for range 20 {
		_, err := s.Do(context.Background(), readStatement())
		is.NoErr(err)
	}
	is.True(!slices.Contains(h.sentTargets(), "a"))
	h.sent = nil
	empty("x", "y")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := s.Do(ctx, readStatement())
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.NoErr(ctx.Err())
	is.Equal(len(h.sent), 0)
}
