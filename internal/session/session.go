// Package session holds the state of one caller: the transaction state after its chart, prepared
// statements and portals, settings, and the floor of its reads. It does no I/O and isn't safe for
// concurrent use.
package session

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statechart"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// Events of the chart caller_session.
const (
	EventRequest     = "request"      // frames go to the owner
	EventReadyIdle   = "ready_idle"   // ReadyForQuery: no transaction
	EventReadyBlock  = "ready_block"  // ReadyForQuery: in a transaction block
	EventReadyFailed = "ready_failed" // ReadyForQuery: the block has failed
	EventRefused     = "refused"      // the entry host refused a request
	EventLost        = "lost"         // the stream to the owner broke
	EventEnded       = "ended"        // COMMIT or ROLLBACK of a transaction that was given up
	EventClose       = "close"        // the caller leaves
)

// ActionAbort is the chart's action that ends the stream of an open transaction.
const ActionAbort = "abort"

// States of the chart caller_session.
const (
	StateIdle         = "idle"
	StateRunning      = "running"
	StateBlock        = "block"
	StateBlockRunning = "block_running"
	StateFailed       = "failed"
	StateRolledBack   = "rolled_back"
	StateClosed       = "closed"
)

var loadChart = sync.OnceValues(func() (*statechart.Chart, error) { return statechart.Load("caller_session") })

// Prepared is a prepared statement of a caller.
type Prepared struct {
	TargetName string // unique name at targets; empty for the unnamed statement
	ParseTail  []byte // SQL and parameter types as in the body of a Parse message
	Statement  Statement
}

// Session is the state of one caller.
type Session struct {
	service  string
	machine  *statechart.Machine
	prepared map[string]*Prepared
	portals  map[string]*Prepared
	held     int // bytes of prepared

	read       ReadOverride
	timeout    time.Duration
	requestKey string
	floor      position.Position
	seen       []position.ObservedRead // reads that floor may not cover
	hasFloor   bool
	seq        uint64
}

// New returns the session of a caller that is connected to a service.
func New(service string) (*Session, error) {
	chart, err := loadChart()
	if err != nil {
		return nil, err
	}
	return &Session{service: service, machine: chart.New()}, nil
}

// Fire applies an event of the chart.
func (s *Session) Fire(event string) ([]string, error) { return s.machine.Fire(event) }

// State returns the chart's current state.
func (s *Session) State() string { return s.machine.State() }

// Limits of one session. They keep a caller from filling the host's memory.
const (
	MaxPrepared      = 10000    // statements
	MaxPreparedBytes = 32 << 20 // text of all statements
	MaxPortals       = 10000    // within one transaction
)

const codeLimit = "54000" // program_limit_exceeded

// Prepare records a prepared statement; name is empty for the unnamed one. Tail is the body of the
// Parse message after the name; it is copied. The error has SQLSTATE 54000 when the session holds
// too many statements.
func (s *Session) Prepare(name string, sql, tail []byte) (*Prepared, error) {
	s.CloseStatement(name)
	if len(s.prepared) >= MaxPrepared || s.held+len(tail) > MaxPreparedBytes {
		return nil, verdict.New(verdict.NotRun, codeLimit, "too many prepared statements in this session")
	}
	p := &Prepared{ParseTail: bytes.Clone(tail), Statement: Classify(string(sql))}
	if name != "" {
		p.TargetName = TargetName(tail)
	}
	if s.prepared == nil {
		s.prepared = map[string]*Prepared{}
	}
	s.prepared[name] = p
	s.held += len(tail)
	return p, nil
}

// TargetName returns the name at targets of a statement with the given SQL and parameter types.
func TargetName(tail []byte) string {
	sum := sha256.Sum256(tail)
	const hashBytes = 18
	return "c_" + base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}

// Statement returns a prepared statement.
func (s *Session) Statement(name string) (*Prepared, bool) {
	p, ok := s.prepared[name]
	return p, ok
}

// CloseStatement forgets a prepared statement.
func (s *Session) CloseStatement(name string) {
	if p, ok := s.prepared[name]; ok {
		s.held -= len(p.ParseTail)
		delete(s.prepared, name)
	}
}

// Bind records the statement of a portal. The error has SQLSTATE 54000 when the transaction has too
// many portals.
func (s *Session) Bind(portal string, p *Prepared) error {
	if len(s.portals) >= MaxPortals {
		return verdict.New(verdict.NotRun, codeLimit, "too many portals in this transaction")
	}
	if s.portals == nil {
		s.portals = map[string]*Prepared{}
	}
	s.portals[portal] = p
	return nil
}

// Portal returns the statement of a portal.
func (s *Session) Portal(name string) (*Prepared, bool) {
	p, ok := s.portals[name]
	return p, ok
}

// ClosePortal forgets a portal.
func (s *Session) ClosePortal(name string) { delete(s.portals, name) }

// ClosePortals forgets all portals, at the end of a transaction.
func (s *Session) ClosePortals() { clear(s.portals) }

// RaiseFloor takes over the owner's report after a transaction: the floor moves to p, unless it is
// past p already. The reported reads replace the earlier ones, which the owner has taken into account.
func (s *Session) RaiseFloor(p position.Position, seen []position.ObservedRead) {
	s.floor = s.floor.Max(p)
	s.seen = seen
	s.hasFloor = true
}

// Floor returns the floor of the session's reads. ok is false while the owner's floor of the team
// applies.
func (s *Session) Floor() (p position.Position, ok bool) { return s.floor, s.hasFloor }

// Timeout returns the caller's citron.timeout, or def when it isn't set.
func (s *Session) Timeout(def time.Duration) time.Duration {
	if s.timeout > 0 {
		return s.timeout
	}
	return def
}

// NextTxRequest starts the next transaction and returns its header. The request key is used up by it
// unless the transaction only reads.
func (s *Session) NextTxRequest(rule catalog.EffectivePolicy, readOnly, block bool) wire.TxRequest {
	s.seq++
	req := wire.TxRequest{
		Service:       s.service,
		Seq:           s.seq,
		ReadOnly:      readOnly,
		InBlock:       block,
		Mode:          rule.Mode,
		MaxAge:        rule.MaxAge,
		Floor:         s.floor,
		HasFloor:      s.hasFloor,
		ObservedReads: s.seen,
	}
	if s.read.Set {
		req.Mode, req.MaxAge = s.read.Mode, s.read.MaxAge
	}
	if !readOnly {
		req.RequestKey = s.requestKey
	}
	return req
}

// ClearRequestKey clears the request key, once a transaction that carried it was admitted.
func (s *Session) ClearRequestKey() { s.requestKey = "" }
