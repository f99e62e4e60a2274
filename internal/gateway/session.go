package gateway

import (
	"context"
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

// Session is one caller's session. Its methods are not called concurrently.
type Session struct {
	gateway   *Gateway
	id        string
	database  string
	keyDigest catalog.KeyDigest
	hasKey    bool // the caller has presented a key

	settings       map[string]string // replaced as a whole, never modified
	prepared       map[string]statement.Definition
	stateBytes     int64                        // of settings and prepared
	commitFloors   map[string]position.Position // highest known position of the session's commits, by service
	unknownCommits map[string]bool              // services whose last commit has an unknown position

	lastTeam   string // team of the last operation, for logs
	lastTarget string // target of the last statement, for logs

	block   *block // nil outside of a block
	inBlock atomic.Bool
}

// block is an open block of a session.
type block struct {
	begin          statement.Statement
	route          *catalog.Route
	team           string
	holderBlock    Block // nil before the first statement and after a failure
	targetRoute    wire.TargetRoute
	holderSettings map[string]string // settings that were last sent to the holder
	failed         bool
	wrote          bool
}

// Open starts a session for a database with the key that the caller has presented.
func (g *Gateway) Open(database, key string) (*Session, error) {
	s := &Session{
		gateway: g, database: database, keyDigest: catalog.DigestKey(key), hasKey: key != "",
		prepared:       map[string]statement.Definition{},
		commitFloors:   map[string]position.Position{},
		unknownCommits: map[string]bool{},
	}
	if _, _, err := s.admit(); err != nil {
		g.metrics.countOutcome(0, verdict.As(err).Code)
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

// Close rolls back an open block and ends the session.
func (s *Session) Close() {
	s.endBlock()
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	delete(s.gateway.sessions, s)
}

// admit checks the session against the current deployment, and returns the route and the team of its next
// operation.
func (s *Session) admit() (*catalog.Route, string, error) {
	index, route, err := s.gateway.routeOf(s.database)
	if err != nil {
		return nil, "", err
	}
	if team, ok := index.TeamOf(s.keyDigest); ok && s.hasKey {
		return route, team, nil
	}
	if route.Open {
		return route, catalog.OpenTeam, nil
	}
	return nil, "", errInvalidKey
}

var errInvalidKey = verdict.New(verdict.NotRun, verdict.CodeInvalidKey, "the key is unknown or was withdrawn")

// routeOf returns the current deployment and its route for a database, or why none can be used.
func (g *Gateway) routeOf(database string) (*catalog.Index, *catalog.Route, error) {
	if age := g.cfg.Directory.ConfirmedAge(); age > g.cfg.MaxConfirmedAge {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the control leader has not confirmed the deployment within %v", g.cfg.MaxConfirmedAge)
	}
	index := g.index()
	route, ok := index.Route(database)
	switch {
	case ok:
		return index, route, nil
	case index.Version() == 0:
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this host has no deployment yet")
	}
	return nil, nil, verdict.New(verdict.NotRun, verdict.CodeUnknownService, "database %q does not exist", database)
}

// Status returns the transaction status between two statements.
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

// RequestTime returns the time that the session's route gives a statement, or 0 if it has no route at present.
func (s *Session) RequestTime() time.Duration {
	if _, route, err := s.gateway.routeOf(s.database); err == nil {
		return route.Timeout
	}
	return 0
}

// BlockIdleTimeout returns how long the session may be idle before ExpireBlock is due, or 0 if no block
// occupies a target.
func (s *Session) BlockIdleTimeout() time.Duration {
	if s.block == nil || s.block.holderBlock == nil {
		return 0
	}
	if deployment := s.gateway.index().Deployment(); deployment != nil && deployment.BlockIdleTimeout > 0 {
		return deployment.BlockIdleTimeout
	}
	return defaultBlockIdleTimeout
}

// ExpireBlock rolls back a block that was idle for BlockIdleTimeout. The caller's next statement fails.
func (s *Session) ExpireBlock() {
	if s.block == nil || s.block.holderBlock == nil {
		return
	}
	_ = level.Info(s.gateway.logger).Log("msg", "idle block rolled back", "session", s.id, "database", s.database, "team", s.block.team)
	s.failBlock()
}

// Do runs a statement. Errors are of type *verdict.Error; Status returns the status after them.
func (s *Session) Do(ctx context.Context, st statement.Statement) (statement.Result, error) {
	arrived := s.gateway.cfg.Clock.Now()
	res, err := s.dispatch(ctx, arrived, st)
	res.Status = s.Status()
	s.inBlock.Store(s.block != nil)
	code := ""
	if err != nil {
		code = verdict.As(err).Code
		s.gateway.logFailure(s, st, arrived, err)
	}
	s.gateway.metrics.countOutcome(st.Kind, code)
	s.gateway.metrics.latency.Update(s.gateway.cfg.Clock.Now().Sub(arrived).Seconds())
	return res, err
}

func (s *Session) dispatch(ctx context.Context, arrived time.Time, st statement.Statement) (statement.Result, error) {
	switch st.Kind {
	case statement.Rollback:
		s.endBlock()
		return statement.Result{}, nil
	case statement.Commit:
		return s.commit(ctx, arrived, st)
	}
	if s.block != nil && s.block.failed {
		return statement.Result{}, verdict.New(verdict.NotRun, verdict.CodeFailedBlock, "the block has failed: only ROLLBACK and COMMIT are accepted")
	}
	switch st.Kind {
	case statement.Set:
		return statement.Result{}, s.set(st.Name, st.Value)
	case statement.Prepare:
		s.prepare(st.Name, *st.Prepared)
		return statement.Result{}, nil
	case statement.Deallocate:
		s.deallocate(st.Name)
		return statement.Result{}, nil
	case statement.Begin, statement.BeginRead:
		return statement.Result{}, s.beginBlock(ctx, st)
	default:
		return s.runStatement(ctx, arrived, st)
	}
}

// BindPrepared returns the statement that executes a prepared statement with the given arguments.
func (s *Session) BindPrepared(id, name, args string) (statement.Statement, error) {
	def, ok := s.prepared[name]
	if !ok {
		return statement.Statement{}, verdict.New(verdict.NotRun, verdict.CodeUnknownStatement, "prepared statement %q does not exist", name)
	}
	return statement.Statement{ID: id, Kind: def.Kind, Text: args, Prepared: &def, Name: name}, nil
}

// RecordRefusal records that a statement was refused before it reached Do, which fails an open block.
func (s *Session) RecordRefusal() {
	if s.block != nil {
		s.failBlock()
	}
}

func (s *Session) beginBlock(ctx context.Context, st statement.Statement) error {
	if s.block != nil {
		s.failBlock()
		return verdict.New(verdict.NotRun, verdict.CodeProtocol, "BEGIN inside an open block")
	}
	route, team, err := s.admit()
	if err != nil {
		return err
	}
	s.lastTeam, s.lastTarget = team, ""
	if err := s.acquireRateToken(ctx, route, team); err != nil {
		return err
	}
	s.block = &block{begin: st, route: route, team: team}
	return nil
}

// endBlock rolls back the block, if it is still open at its target, and leaves it.
func (s *Session) endBlock() {
	if s.block != nil && s.block.holderBlock != nil {
		s.block.holderBlock.Close()
	}
	s.block = nil
}

// failBlock rolls the block back. The session stays in the failed block until the caller ends it.
func (s *Session) failBlock() {
	if s.block.holderBlock != nil {
		s.block.holderBlock.Close()
		s.block.holderBlock = nil
	}
	s.block.failed = true
}

func (s *Session) acquireRateToken(ctx context.Context, route *catalog.Route, team string) error {
	if limits, ok := s.gateway.index().Team(team); !ok || limits.Unlimited {
		return nil // an open route, or a team without a rate limit
	}
	directory := s.gateway.cfg.Directory
	ctx, cancel := context.WithTimeout(ctx, tokenWait(route.LatencyObjective, directory.ConfirmedAge()))
	defer cancel()
	return directory.AcquireTokensFailFast(ctx, team, 1)
}

// recordCommit raises the floor of the session's following reads of a service. While the position of the
// last commit is unknown, these reads go to the primary.
func (s *Session) recordCommit(service string, pos position.Position) {
	if pos.IsZero() {
		s.unknownCommits[service] = true
		return
	}
	delete(s.unknownCommits, service)
	s.commitFloors[service] = s.commitFloors[service].Max(pos)
}
