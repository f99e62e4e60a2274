// Package session holds the state of one caller's session: the transaction state, which follows the
// state chart caller_session, prepared statements and portals, settings, and the floor of its reads. It
// also classifies SQL statements. It does no I/O and isn't safe for concurrent use.
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

// Events of the state chart caller_session.
const (
	EventRequest     = "request"      // frames are sent to the owner
	EventReadyIdle   = "ready_idle"   // ReadyForQuery: no transaction
	EventReadyBlock  = "ready_block"  // ReadyForQuery: in a transaction block
	EventReadyFailed = "ready_failed" // ReadyForQuery: in a failed transaction block
	EventRefused     = "refused"      // the entry host refused a request
	EventLost        = "lost"         // the stream to the owner was interrupted
	EventEnded       = "ended"        // COMMIT or ROLLBACK of a transaction that was aborted
	EventClose       = "close"        // the caller disconnects
)

// ActionAbort is the action of the state chart that ends the stream of an open transaction.
const ActionAbort = "abort"

// States of the state chart caller_session.
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
	TargetName string // name under which it is prepared at targets; empty for the unnamed statement
	ParseTail  []byte // body of the Parse message after the name: SQL and parameter types
	Statement  Statement
}

// Session is the state of one caller.
type Session struct {
	service       string
	machine       *statechart.Machine
	prepared      map[string]*Prepared
	portals       map[string]*Prepared
	preparedBytes int // total length of ParseTail in prepared, bytes

	readOverride  ReadOverride
	timeout       time.Duration // 0: not set
	requestKey    string
	floor         position.Position
	observedReads []position.ObservedRead // earlier reads whose positions may be past floor
	hasFloor      bool
	lastSeq       uint64 // number of the last transaction
}

// New returns the session of a caller that is connected to a service.
func New(service string) (*Session, error) {
	chart, err := loadChart()
	if err != nil {
		return nil, err
	}
	return &Session{service: service, machine: chart.New()}, nil
}

// Fire applies an event to the state chart and returns the actions of the transition.
func (s *Session) Fire(event string) ([]string, error) { return s.machine.Fire(event) }

// State returns the current state of the state chart.
func (s *Session) State() string { return s.machine.State() }

// Limits of one session, which bound the memory that a caller can use on the host.
const (
	MaxPrepared      = 10000    // prepared statements
	MaxPreparedBytes = 32 << 20 // SQL and parameter types of all prepared statements
	MaxPortals       = 10000    // within one transaction
)

const codeProgramLimitExceeded = "54000"

// Prepare records a prepared statement and replaces an earlier one of the same name; the name of the
// unnamed statement is empty. tail is the body of the Parse message after the name; Prepare copies it. The
// error has SQLSTATE 54000 if the statement would exceed MaxPrepared or MaxPreparedBytes.
func (s *Session) Prepare(name string, sql, tail []byte) (*Prepared, error) {
	s.CloseStatement(name)
	if len(s.prepared) >= MaxPrepared || s.preparedBytes+len(tail) > MaxPreparedBytes {
		return nil, verdict.New(verdict.NotRun, codeProgramLimitExceeded,
			"too many prepared statements in this session: it holds %d with %d bytes; the limits are %d and %d bytes",
			len(s.prepared), s.preparedBytes, MaxPrepared, MaxPreparedBytes)
	}
	p := &Prepared{ParseTail: bytes.Clone(tail), Statement: Classify(string(sql))}
	if name != "" {
		p.TargetName = TargetName(tail)
	}
	if s.prepared == nil {
		s.prepared = map[string]*Prepared{}
	}
	s.prepared[name] = p
	s.preparedBytes += len(tail)
	return p, nil
}

// TargetName returns the name under which a statement with the given SQL and parameter types is
// prepared at targets. It depends on these alone, so that callers share the statement on a connection.
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

// CloseStatement removes a prepared statement.
func (s *Session) CloseStatement(name string) {
	if p, ok := s.prepared[name]; ok {
		s.preparedBytes -= len(p.ParseTail)
		delete(s.prepared, name)
	}
}

// Bind records the statement of a portal. The error has SQLSTATE 54000 if the transaction has
// MaxPortals portals already.
func (s *Session) Bind(portal string, p *Prepared) error {
	if len(s.portals) >= MaxPortals {
		return verdict.New(verdict.NotRun, codeProgramLimitExceeded, "too many portals in this transaction: the limit is %d", MaxPortals)
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

// ClosePortal removes a portal.
func (s *Session) ClosePortal(name string) { delete(s.portals, name) }

// ClosePortals removes all portals, at the end of a transaction.
func (s *Session) ClosePortals() { clear(s.portals) }

// RaiseFloor applies what the owner reports after a transaction. It raises the floor to p unless the
// floor is past p already. The reported reads replace the earlier ones, which the owner has merged into
// its report.
func (s *Session) RaiseFloor(p position.Position, observed []position.ObservedRead) {
	s.floor = s.floor.Max(p)
	s.observedReads = observed
	s.hasFloor = true
}

// Floor returns the floor of the session's reads. ok is false while the session has none; the owner then
// uses the team's floor.
func (s *Session) Floor() (p position.Position, ok bool) { return s.floor, s.hasFloor }

// Timeout returns the value of citron.timeout, or fallback if the caller hasn't set it.
func (s *Session) Timeout(fallback time.Duration) time.Duration {
	if s.timeout > 0 {
		return s.timeout
	}
	return fallback
}

// NextTxRequest starts the next transaction and returns its header. The header carries the request key unless
// the transaction is read-only.
func (s *Session) NextTxRequest(policy catalog.EffectivePolicy, readOnly, inBlock bool) wire.TxRequest {
	s.lastSeq++
	req := wire.TxRequest{
		Service:       s.service,
		Seq:           s.lastSeq,
		ReadOnly:      readOnly,
		InBlock:       inBlock,
		Mode:          policy.Mode,
		MaxAge:        policy.MaxAge,
		Floor:         s.floor,
		HasFloor:      s.hasFloor,
		ObservedReads: s.observedReads,
	}
	if s.readOverride.Set {
		req.Mode, req.MaxAge = s.readOverride.Mode, s.readOverride.MaxAge
	}
	if !readOnly {
		req.RequestKey = s.requestKey
	}
	return req
}

// ClearRequestKey clears the request key. It is called once a transaction that carried the key was
// admitted.
func (s *Session) ClearRequestKey() { s.requestKey = "" }
