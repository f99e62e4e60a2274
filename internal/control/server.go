package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/contain"
	"github.com/citronrun/citronrun/internal/pack"
	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/ratelimit"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	tickInterval    = 100 * time.Millisecond
	confirmTimeout  = 500 * time.Millisecond
	proposeTimeout  = 2 * time.Second
	barrierTimeout  = 3 * time.Second
	renewNowTimeout = 500 * time.Millisecond
	announceTTL     = 3 * time.Second
)

// Log is the replicated log that applies its entries to the Machine.
type Log interface {
	// Propose appends data and returns the result of Machine.Apply. After an error the outcome is
	// unknown: the entry may still be applied later.
	Propose(ctx context.Context, data []byte) (any, error)
	// ReadBarrier returns nil once it is certain that no other consensus member had been elected leader before
	// the call, and every entry committed before the call has been applied. The certainty comes from a quorum or
	// from the leader's read lease. It has nothing to do with the barrier command.
	ReadBarrier(ctx context.Context) error
	// Leadership returns since when and in which consensus term this consensus member has been the
	// leader. ok is false while it is not the leader.
	Leadership() (since time.Time, term uint64, ok bool)
	// LeaderAddr returns the address of the presumed leader, or "" if it is unknown.
	LeaderAddr() string
}

// Members adds and removes consensus members.
type Members interface {
	AddMember(ctx context.Context, id uint64, addr string) error
	RemoveMember(ctx context.Context, id uint64) error
	Status() any // for the JSON status
}

// Transport is the part of transport.Endpoint that a Server uses.
type Transport interface {
	Handle(kind wire.Kind, h func(ctx context.Context, peer string, s transport.Stream))
	Call(ctx context.Context, addr string, kind wire.Kind, req, resp any) error
	CallVia(ctx context.Context, via transport.Via, kind wire.Kind, req, resp any) error
	CallPatient(ctx context.Context, addr string, patience transport.Patience, kind wire.Kind, req, resp any) error
	// Peers returns the addresses of the hosts with an open connection.
	Peers() []string
}

// Config holds the dependencies and settings of a Server. Name, Machine, Log, Transport, Clock and
// Logger are required.
type Config struct {
	Name      string // host name of this control host
	Machine   *Machine
	Log       Log
	Members   Members // nil: consensus members can't be changed
	Transport Transport
	Clock     clock.Clock
	Logger    log.Logger
	// RateLimits returns the rate in tokens/s and burst in tokens of a team. If nil, every team has the
	// catalog's defaults.
	RateLimits func(c *catalog.Catalog, team string) (rate, burst float64)
	// TargetControl queries and promotes the targets of deployed services. If nil, the server handles
	// no target leases and no promotions of deployed services.
	TargetControl TargetControl
	// ControlAddrs returns the addresses of the control hosts, which are sent to hosts with the target
	// routes. It may be nil.
	ControlAddrs func() []string
	// CheckChangeAllowed returns an error while catalog changes must be rejected because too few control
	// hosts would store them. It may be nil.
	CheckChangeAllowed func() error
	// PlacesToBear is the number of places that may be lost at once. Changes are refused while the loss of so many could
	// take a majority of the voters, whose addresses VoterAddrs returns; 0: no such limit.
	PlacesToBear int
	VoterAddrs   func() []string
	// DrainTime is how long a target may still get new work after it has reported that it is leaving. After
	// that time its lease is no longer renewed.
	// If zero or negative, DefaultDrainTime applies.
	DrainTime time.Duration
	// AcceptDetours accepts renewals and requests for tokens that an entry host sends for another one. Set only where hosts
	// don't authenticate each other.
	AcceptDetours bool
	// RateTolerance applies to the rate limits of deployed teams.
	RateTolerance RateTolerance
	// ColdTolerance applies to the rates of cold targets.
	ColdTolerance ColdTolerance
}

// Server handles requests of hosts, targets and operators while its consensus member is the leader.
// Otherwise it replies with the address of the presumed leader. In this package, "this member" is the
// consensus member of the Server.
type Server struct {
	Config
	confirmer confirmationBatcher
	forwarded forwardedHosts

	mu     sync.Mutex
	leader *leaderState // nil: this member is not the leader
	closed bool

	barrierTerm   uint64    // consensus term of the latest applied barrier
	barrierSeenAt time.Time // time at which this member first observed barrierTerm

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// New returns a server and registers its handlers with the transport endpoint, which must not be
// serving yet.
func New(c Config) *Server {
	if c.RateLimits == nil {
		c.RateLimits = func(*catalog.Catalog, string) (float64, float64) {
			return catalog.DefaultRate, catalog.DefaultBurst
		}
	}
	if c.DrainTime <= 0 {
		c.DrainTime = DefaultDrainTime
	}
	c.Logger = log.With(c.Logger, "part", "control")
	s := &Server{Config: c}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.confirmer.confirm = s.Log.ReadBarrier
	s.Transport.Handle(wire.KindRenew, serve(s, s.handleRenew))
	s.Transport.Handle(wire.KindBorrow, serve(s, s.handleBorrow))
	s.Transport.Handle(wire.KindForwardedRenew, serve(s, s.handleForwardedRenew))
	s.Transport.Handle(wire.KindForwardedBorrow, serve(s, s.handleForwardedBorrow))
	s.Transport.Handle(wire.KindRenewAll, s.handleRenewAll)
	s.Transport.Handle(wire.KindChange, serve(s, s.handleChange))
	s.Transport.Handle(wire.KindAnnounce, serve(s, s.handleAnnounce))
	s.Transport.Handle(wire.KindAdmin, serve(s, s.handleAdmin))
	s.Transport.Handle(wire.KindRegister, serve(s, s.handleRegistration))
	s.Transport.Handle(wire.KindDeployment, serve(s, s.handleDeploymentQuery))
	return s
}

// errHostMismatch means that a message names another host than the certificate of its sender.
var errHostMismatch = errors.New("host name mismatch")

func hostMismatch(named, peer string) error {
	return fmt.Errorf("%w: message names host %q, but the certificate is for host %q", errHostMismatch, named, peer)
}

// serve adapts a request handler to a stream handler. If the handler returns an error, the stream is
// reset without a reply.
func serve[Req, Resp any](s *Server, f func(ctx context.Context, peer string, req *Req) (Resp, error)) transport.Handler {
	return func(ctx context.Context, peer string, stream transport.Stream) {
		var req Req
		if err := wire.Read(stream, &req, wire.MaxMessageBytes); err != nil {
			stream.Reset()
			return
		}
		if ctx.Err() != nil {
			return // the sender has given up; working for it would delay the others
		}
		var resp Resp
		var err error
		contain.Whole(func() { resp, err = f(ctx, peer, &req) })
		if err == nil {
			err = wire.Write(stream, resp)
		}
		if err != nil {
			_ = level.Debug(s.Logger).Log("msg", "request failed", "peer", peer, "err", err)
			stream.Reset()
		}
	}
}

// Run tracks leadership changes of the log, and does the leader's periodic work while this member
// leads. It returns nil when ctx ends.
func (s *Server) Run(ctx context.Context) error {
	defer s.close()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.syncLeadership()
			s.stepAllFailovers()
			s.stepTargets()
		}
	}
}

// close discards the leader state and waits for background goroutines to end.
func (s *Server) close() {
	s.mu.Lock()
	s.leader = nil
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.background.Wait()
}

// runInBackground runs f in a goroutine unless the server is closed. Server.mu must be held.
func (s *Server) runInBackground(f func()) {
	if !s.closed {
		s.background.Go(f)
	}
}

// syncLeadership creates or discards the leader state, depending on whether the log reports this member
// as the leader and in which consensus term.
func (s *Server) syncLeadership() {
	since, term, ok := s.Log.Leadership()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLeaders()
	if !ok {
		s.leader = nil
		return
	}
	if s.leader != nil && s.leader.term == term {
		return
	}
	// A leader lends nothing until earlier token grants have expired, unless they come from a single leader. With
	// a deployment it never waits: the wait would refuse all teams for 2 s after a restart, and the rate tolerance
	// covers the case that grants of two earlier leaders are outstanding.
	assumeSinglePredecessor := s.TargetControl != nil || s.barrierTerm != 0 && since.Sub(s.barrierSeenAt) >= ratelimit.GrantExpiryWait
	leader := newLeaderState(since, term, assumeSinglePredecessor)
	s.leader = leader
	s.runInBackground(func() { s.commitBarrier(leader) })
}

// recordLeaders records when this member first observed the barrier of the latest leader. The leader
// was elected before that, so the time since its election is never overestimated.
func (s *Server) recordLeaders() {
	if term := s.Machine.LeaderTerm(); term != s.barrierTerm {
		s.barrierTerm = term
		s.barrierSeenAt = s.Clock.Now()
	}
}

// commitBarrier commits the barrier of a new leader. Once the barrier is applied, the replicated state
// includes all commands that earlier leaders committed, and the leader is ready.
func (s *Server) commitBarrier(leader *leaderState) {
	ctx, cancel := context.WithTimeout(s.ctx, barrierTimeout)
	defer cancel()
	err := s.propose(ctx, command{Barrier: &barrier{Term: leader.term}})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != leader {
		return
	}
	if err != nil {
		_ = level.Warn(s.Logger).Log("msg", "leadership not taken over", "term", leader.term, "err", err)
		s.leader = nil // the next tick retries
		return
	}
	_ = level.Info(s.Logger).Log("msg", "leadership taken over", "term", leader.term)
	takeovers.Inc()
	leader.inheritLeaving(s.Machine.Groups(), s.DrainTime)
	leader.inheritPauses(s.Clock.Now(), s.Machine.Groups())
	leader.ready = true
	leader.readyAt = s.Clock.Now()
	holders := s.Machine.TargetHolders()
	leader.targetLeases = placement.NewTable(leader.electedAt, leader.term, holders)
	leader.recordedHolders = map[string]bool{}
	for _, r := range holders {
		leader.recordedHolders[r.Host] = true
	}
	s.announceLeadership()
}

// maxAnnouncementSpread is the time over which a new leader lets the hosts of other places renew. It doesn't know yet how many
// there are.
const maxAnnouncementSpread = 400 * time.Millisecond

// announceLeadership tells all connected hosts that this member leads, and the control hosts to tell those whose renewals
// they forward, so that they renew at once instead of waiting for the previous leader to answer. Server.mu must be held.
func (s *Server) announceLeadership() {
	own := s.Log.LeaderAddr()
	for _, addr := range s.Transport.Peers() {
		s.sendInBackground(0, transport.Via{Addr: addr}, wire.KindRenewNow, wire.RenewNow{LeaderAddr: own})
	}
	if s.ControlAddrs == nil {
		return
	}
	for _, addr := range s.ControlAddrs() {
		if addr != own {
			s.sendInBackground(0, transport.Via{Addr: addr}, wire.KindRenewAll, wire.RenewNow{Within: maxAnnouncementSpread})
		}
	}
}

// propose commits a command other than a catalog change. It returns an error if the command was
// committed but rejected by the state machine.
func (s *Server) propose(ctx context.Context, c command) error {
	result, err := s.proposeForResult(ctx, c)
	if err != nil {
		return err
	}
	if rejected, ok := result.(error); ok {
		return rejected
	}
	return nil
}

func (s *Server) proposeForResult(ctx context.Context, c command) (any, error) {
	data, err := wire.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	if data, err = pack.Compress(data); err != nil {
		return nil, fmt.Errorf("compress command: %w", err)
	}
	return s.Log.Propose(ctx, data)
}

// readyLeader returns the leader state, or nil if this member isn't the leader or the barrier of its term
// hasn't been applied yet.
func (s *Server) readyLeader() *leaderState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil || !s.leader.ready {
		return nil
	}
	return s.leader
}

// confirmedLeader returns the leader state if it is certain that no other consensus member had been elected
// leader before the call (see Log.ReadBarrier). Otherwise it returns nil.
func (s *Server) confirmedLeader(ctx context.Context) *leaderState {
	leader := s.readyLeader()
	if leader == nil || s.confirmer.wait(ctx) != nil {
		return nil
	}
	if _, term, ok := s.Log.Leadership(); !ok || term != leader.term {
		return nil
	}
	return leader
}

// Leading reports whether this member is the leader and the barrier of its term has been applied.
func (s *Server) Leading() bool { return s.readyLeader() != nil }
