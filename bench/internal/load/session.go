package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/citronrun/citronrun/bench/internal/history"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/verdict"
)

// ownRow is a row that only its session updates.
type ownRow struct {
	id      string
	version int64 // history.UnknownVersion after an update whose outcome is unknown
}

// session is one caller, across reconnects.
type session struct {
	run           *Run
	team          Team
	service       string
	name          string
	rng           *rand.Rand
	presentsToken bool // presents the session token when it reconnects
	policy        catalog.EffectivePolicy
	rows          []ownRow
	otherRows     []string // rows of other sessions of the service

	conn         *pgx.Conn
	connectCount int
	lastToken    string // latest session token received
	lastID       int    // suffix of the latest booking or tag
}

func (s *session) loop(ctx context.Context) {
	due := time.Now()
	for ctx.Err() == nil && !s.run.cfg.KeyWithdrawn(s.team.Name) {
		due = due.Add(s.run.interarrivalTime(s))
		op := s.nextOperation()
		s.run.recordOffered(s.team.Name, op.statements)
		if time.Since(due) > maxBacklog {
			due = due.Add(s.run.interarrivalTime(s))
			continue
		}
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		s.runOperation(ctx, op)
	}
	s.disconnect()
}

func (s *session) runOperation(ctx context.Context, op operation) {
	if !s.connect(ctx) {
		return
	}
	opCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), statementTimeout)
	defer cancel()
	outcome := op.run(opCtx)
	if s.conn != nil {
		if token := s.conn.PgConn().ParameterStatus("citron.token"); token != "" {
			s.lastToken = token
		}
	}
	switch {
	case s.conn != nil && s.conn.IsClosed(), outcome == history.MayHaveRun:
		s.disconnect()
	case s.run.cfg.Roaming && op.write:
		s.disconnect()
	}
	if outcome == history.NotRun {
		time.Sleep(refusalRetryDelay)
	}
}

func (s *session) connect(ctx context.Context) bool {
	if s.conn != nil && !s.conn.IsClosed() {
		return true
	}
	token := ""
	if s.presentsToken {
		token = s.lastToken
	}
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := s.run.cfg.Connect(connectCtx, s.rng, s.team.Name, s.service, token)
	if err != nil {
		time.Sleep(reconnectDelay)
		return false
	}
	s.conn = conn
	s.connectCount++
	return true
}

func (s *session) disconnect() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
}

// readerName returns the session name under which reads of other sessions' rows are recorded. A new
// connection without the token guarantees that the session reads its own writes, but not that its
// reads of other rows are monotonic, so these are recorded under a name per connection.
func (s *session) readerName() string {
	if s.presentsToken {
		return s.name
	}
	return fmt.Sprintf("%s/%d", s.name, s.connectCount)
}

// event returns an event of this session that starts now.
func (s *session) event(op history.Op) history.Event {
	return history.Event{
		Session: s.name, Team: s.team.Name, Service: s.service, Op: op,
		Start: s.run.Recorder.Elapsed(), Statements: 1,
	}
}

// finish records an event with the outcome of its request.
func (s *session) finish(e history.Event, err error) history.Outcome {
	e.Outcome, e.Code = outcomeOf(err)
	e.End = s.run.Recorder.Elapsed()
	s.run.Recorder.Add(e)
	if err != nil {
		s.run.countError(err, e)
	}
	return e.Outcome
}

// outcomeOf returns the outcome and the SQLSTATE of a request that returned err. A failed request counts
// as without effect only if the error states this in its verdict or comes from the database itself.
func outcomeOf(err error) (history.Outcome, string) {
	if err == nil {
		return history.OK, ""
	}
	pg, ok := errors.AsType[*pgconn.PgError](err)
	if !ok {
		return history.MayHaveRun, ""
	}
	switch {
	case pg.Detail == verdictDetail(verdict.NotRun):
		return history.NotRun, pg.Code
	case pg.Detail == verdictDetail(verdict.Ran):
		return history.Denied, pg.Code
	case pg.Detail == verdictDetail(verdict.MayHaveRun), isConnectionLoss(pg.Code):
		return history.MayHaveRun, pg.Code
	}
	return history.Denied, pg.Code
}

// isConnectionLoss reports whether a SQLSTATE belongs to connection exceptions (08) or shutdowns (57P).
func isConnectionLoss(code string) bool {
	return strings.HasPrefix(code, "08") || strings.HasPrefix(code, "57P")
}

func verdictDetail(v verdict.Verdict) string { return "verdict: " + v.String() }

// countError counts an error by operation, outcome, code and message. Digits are masked, so that
// messages that differ only in numbers are counted together.
func (r *Run) countError(err error, e history.Event) {
	text := err.Error()
	if pg, ok := errors.AsType[*pgconn.PgError](err); ok {
		text = pg.Code + " " + pg.Message
	}
	r.incrementError("%s %s: %s", e.Op, e.Outcome, strings.Map(maskDigit, text))
}

func maskDigit(c rune) rune {
	if c >= '0' && c <= '9' {
		return '#'
	}
	return c
}
