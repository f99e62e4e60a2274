package gateway

import (
	"context"
	"maps"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// Session is one caller's session. Its methods are called by one goroutine at a time, except that Abort
// may be called by any.
type Session struct {
	g        *Gateway
	id       string
	database string
	key      catalog.KeyDigest
	keyed    bool // the caller showed a key

	values   map[string]string // replaced, never changed
	prepared map[string]statement.Definition
	floors   map[string]position.Position // of own commits, by service
	unknown  map[string]bool              // services with a commit of unknown position

	team   string // of the last operation, for logs
	target string // that the last statement was sent to, for logs

	block   *block // nil outside of a block
	inBlock atomic.Bool
}

// block is an open block of a session.
type block struct {
	begin  statement.Statement
	route  *catalog.Route
	team   string
	link   Block // nil before the first statement
	at     wire.TargetRoute
	values map[string]string // as the holder knows them
	failed bool
	wrote  bool
}

// Open starts a session for a database with the key that the caller showed.
func (g *Gateway) Open(database, key string) (*Session, error) {
	s := &Session{
		g: g, database: database, key: catalog.DigestKey(key), keyed: key != "",
		prepared: map[string]statement.Definition{},
		floors:   map[string]position.Position{},
		unknown:  map[string]bool{},
	}
	if _, _, err := s.admit(); err != nil {
		g.metrics.outcome(0, verdict.As(err).Code)
		return nil, err
	}
	g.mu.Lock()
	g.lastID++
	s.id = strconv.FormatUint(g.lastID, 36)
	g.sessions[s] = struct{}{}
	g.mu.Unlock()
	g.metrics.opened.Inc()
	return s, nil
}

// Close ends the session and rolls an open block back.
func (s *Session) Close() {
	s.endBlock()
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	delete(s.g.sessions, s)
}

// admit returns the route and the team of the session's next operation under the newest deployment.
func (s *Session) admit() (*catalog.Route, string, error) {
	x := s.g.index()
	route, ok := x.Route(s.database)
	if !ok {
		if x.Version() == 0 {
			return nil, "", verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this host has no configuration yet")
		}
		return nil, "", verdict.New(verdict.NotRun, verdict.CodeUnknownService, "database %q does not exist", s.database)
	}
	if team, ok := x.TeamOf(s.key); ok && s.keyed {
		return route, team, nil
	}
	if route.Open {
		return route, catalog.OpenTeam, nil
	}
	return nil, "", verdict.New(verdict.NotRun, verdict.CodeInvalidKey, "the key is unknown or was withdrawn")
}

// Status returns the state between two statements.
func (s *Session) Status() statement.Status {
	switch {
	case s.block == nil:
		return statement.Idle
	case s.block.failed:
		return statement.Failed
	default:
		return statement.Block
	}
}

// BlockIdleTimeout returns how long the session may now stay idle; 0: without limit.
func (s *Session) BlockIdleTimeout() time.Duration {
	if s.block == nil || s.block.link == nil {
		return 0
	}
	if d := s.g.index().Deployment(); d != nil && d.BlockIdleTimeout > 0 {
		return d.BlockIdleTimeout
	}
	return idleBlockDefault
}

// ExpireBlock rolls back a block that stayed idle for too long. The caller learns of it with its next
// statement.
func (s *Session) ExpireBlock() {
	if s.block == nil || s.block.link == nil {
		return
	}
	_ = level.Info(s.g.logger).Log("msg", "idle block rolled back", "session", s.id, "database", s.database, "team", s.block.team)
	s.failBlock()
}

// Do runs a statement. Errors are of type *verdict.Error; Status says what state they leave.
func (s *Session) Do(ctx context.Context, st statement.Statement) (statement.Result, error) {
	arrived := s.g.cfg.Clock.Now()
	res, err := s.do(ctx, arrived, st)
	res.Status = s.Status()
	s.inBlock.Store(s.block != nil)
	code := ""
	if err != nil {
		code = verdict.As(err).Code
		s.g.logFailure(s, st, arrived, err)
	}
	s.g.metrics.outcome(st.Kind, code)
	s.g.metrics.latency.Update(s.g.cfg.Clock.Now().Sub(arrived).Seconds())
	return res, err
}

func (s *Session) do(ctx context.Context, arrived time.Time, st statement.Statement) (statement.Result, error) {
	switch st.Kind {
	case statement.Rollback:
		s.endBlock()
		return statement.Result{}, nil
	case statement.Commit:
		return s.commit(ctx, arrived, st)
	}
	if s.block != nil && s.block.failed {
		return statement.Result{}, verdict.New(verdict.NotRun, verdict.CodeFailedBlock, "the block has failed; roll it back")
	}
	switch st.Kind {
	case statement.Set:
		values := maps.Clone(s.values)
		if values == nil {
			values = map[string]string{}
		}
		values[st.Name] = st.Value
		s.values = values
		return statement.Result{}, nil
	case statement.Prepare:
		s.prepared[st.Name] = *st.Prepared
		return statement.Result{}, nil
	case statement.Deallocate:
		delete(s.prepared, st.Name)
		return statement.Result{}, nil
	case statement.Begin, statement.BeginRead:
		return statement.Result{}, s.beginBlock(ctx, st)
	default:
		return s.run(ctx, arrived, st)
	}
}

// Execute returns the statement that executes a prepared one.
func (s *Session) Execute(id, name, args string) (statement.Statement, error) {
	d, ok := s.prepared[name]
	if !ok {
		return statement.Statement{}, verdict.New(verdict.NotRun, verdict.CodeUnknownStatement, "prepared statement %q does not exist", name)
	}
	return statement.Statement{ID: id, Kind: d.Kind, Text: args, Prepared: &d, Name: name}, nil
}

// RecordRefusal notes that a statement was refused before Do saw it. In a block, the block has failed.
func (s *Session) RecordRefusal() {
	if s.block != nil {
		s.failBlock()
	}
}

func (s *Session) beginBlock(ctx context.Context, st statement.Statement) error {
	if s.block != nil {
		s.failBlock()
		return verdict.New(verdict.NotRun, verdict.CodeProtocol, "a block is open already")
	}
	route, team, err := s.admit()
	if err != nil {
		return err
	}
	s.team, s.target = team, ""
	if err := s.takeToken(ctx, team); err != nil {
		return err
	}
	s.block = &block{begin: st, route: route, team: team}
	return nil
}

// endBlock rolls the block back and leaves it.
func (s *Session) endBlock() {
	if s.block != nil && s.block.link != nil {
		s.block.link.Close()
	}
	s.block = nil
}

// failBlock rolls the block back; its caller still has to end it.
func (s *Session) failBlock() {
	if s.block.link != nil {
		s.block.link.Close()
		s.block.link = nil
	}
	s.block.failed = true
}

func (s *Session) takeToken(ctx context.Context, team string) error {
	if t, ok := s.g.index().Team(team); !ok || t.Unlimited {
		return nil // a caller on an open route, or a team without a limit
	}
	ctx, cancel := context.WithTimeout(ctx, tokenWait)
	defer cancel()
	return s.g.cfg.Directory.AcquireTokensFailFast(ctx, team, 1)
}

// noteCommit raises the floor of the session's reads.
func (s *Session) noteCommit(service string, pos position.Position) {
	if pos.IsZero() {
		s.unknown[service] = true
		return
	}
	delete(s.unknown, service)
	s.floors[service] = s.floors[service].Max(pos)
}
