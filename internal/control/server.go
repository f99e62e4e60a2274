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
	"github.com/citronrun/citronrun/internal/pack"
	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/ratelimit"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	tick           = 100 * time.Millisecond
	confirmTimeout = 500 * time.Millisecond
	proposeTimeout = 2 * time.Second
	barrierTimeout = 3 * time.Second
	pokeTimeout    = 500 * time.Millisecond
	announceTTL    = 3 * time.Second
)

// Log is the replicated log that applies its entries to the Machine.
type Log interface {
	// Propose appends data and returns what Apply returned for it. After an error the entry may or
	// may not be applied later.
	Propose(ctx context.Context, data []byte) (any, error)
	// ReadBarrier returns nil if a quorum has confirmed this member's leadership after the call began.
	ReadBarrier(ctx context.Context) error
	// Leadership returns since when and in which consensus term this member leads.
	Leadership() (since time.Time, term uint64, ok bool)
	// LeaderAddr returns the address of the presumed leader, or "".
	LeaderAddr() string
}

// Members changes the members of the consensus group.
type Members interface {
	AddMember(ctx context.Context, id uint64, addr string) error
	RemoveMember(ctx context.Context, id uint64) error
	Status() any // for the JSON status
}

// Transport is what a Server needs of transport.Endpoint.
type Transport interface {
	Handle(kind wire.Kind, h func(ctx context.Context, peer string, s transport.Stream))
	Call(ctx context.Context, addr string, kind wire.Kind, req, resp any) error
}

// Config holds what a Server works with. All fields but Members and Limits are required.
type Config struct {
	Name      string // host name of this control host
	Machine   *Machine
	Log       Log
	Members   Members
	Transport Transport
	Clock     clock.Clock
	Logger    log.Logger
	// RateLimits returns the rate in tokens/s and burst in tokens of a team. Without it every team has
	// the catalog's defaults.
	RateLimits func(c *catalog.Catalog, team string) (rate, burst float64)
	// TargetControl reaches the targets of deployed services. Without it there are no deployments.
	TargetControl TargetControl
	// ControlAddrs returns the addresses of the control hosts, which hosts learn with each renewal. It may
	// be nil.
	ControlAddrs func() []string
	// CheckChangeAllowed returns an error while a change of the configuration must not be accepted, because too
	// few control hosts would remember it. It may be nil.
	CheckChangeAllowed func() error
	// DrainTime is how long a target that leaves may get new work after it said so; 0:
	// DefaultDrainTime.
	DrainTime time.Duration
	// RateTolerance applies to the limits of deployed teams.
	RateTolerance RateTolerance
}

// Server answers hosts while its member leads, and refers them to the leader otherwise.
type Server struct {
	Config
	confirmer confirmer

	mu     sync.Mutex
	lead   *leader // nil: this member doesn't lead
	closed bool

	otherTerm uint64    // consensus term of the latest barrier that was applied
	otherSeen time.Time // when this member first saw it

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// New returns a server and registers its handlers at the transport endpoint, which must not serve
// yet.
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
	s.Transport.Handle(wire.KindRenew, serve(s, s.renew))
	s.Transport.Handle(wire.KindBorrow, serve(s, s.borrow))
	s.Transport.Handle(wire.KindChange, serve(s, s.change))
	s.Transport.Handle(wire.KindAnnounce, serve(s, s.announce))
	s.Transport.Handle(wire.KindAdmin, serve(s, s.admin))
	s.Transport.Handle(wire.KindRegister, serve(s, s.registerTarget))
	s.Transport.Handle(wire.KindDeployment, serve(s, s.deployment))
	return s
}

// errImpostor means that a message names another host than the certificate of its sender.
var errImpostor = errors.New("message is not from the host that it names")

// serve makes a stream handler of a function from request to answer. After an error the stream is
// reset without an answer.
func serve[Req, Resp any](s *Server, f func(ctx context.Context, peer string, req *Req) (Resp, error)) transport.Handler {
	return func(ctx context.Context, peer string, stream transport.Stream) {
		var req Req
		if err := wire.Read(stream, &req, wire.MaxMessageBytes); err != nil {
			stream.Reset()
			return
		}
		resp, err := f(ctx, peer, &req)
		if err == nil {
			err = wire.Write(stream, resp)
		}
		if err != nil {
			_ = level.Debug(s.Logger).Log("msg", "request failed", "peer", peer, "err", err)
			stream.Reset()
		}
	}
}

// Run leads whenever the log says so, until ctx ends. It returns nil.
func (s *Server) Run(ctx context.Context) error {
	defer s.close()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.follow()
			s.stepAll()
			s.stepTargets()
		}
	}
}

// close ends leadership and waits for work in the background.
func (s *Server) close() {
	s.mu.Lock()
	s.lead = nil
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.work.Wait()
}

// background runs f in a goroutine unless the server is closed. Server.mu is held.
func (s *Server) background(f func()) {
	if !s.closed {
		s.work.Go(f)
	}
}

// follow starts and ends leadership as the log does.
func (s *Server) follow() {
	since, term, ok := s.Log.Leadership()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteLeaders()
	if !ok {
		s.lead = nil
		return
	}
	if s.lead != nil && s.lead.term == term {
		return
	}
	// With a deployment the users allow some slack, which covers the case that lots of two earlier
	// leaders are outstanding. Waiting for their end would refuse all teams for 2 s after a restart.
	calm := s.TargetControl != nil || s.otherTerm != 0 && since.Sub(s.otherSeen) >= ratelimit.GrantExpiryWait
	lead := newLeader(since, term, calm)
	s.lead = lead
	s.background(func() { s.takeOver(lead) })
}

// noteLeaders notes when this member has first seen the barrier of the latest leader. That is after
// the leader's election, so the time since then is never overestimated.
func (s *Server) noteLeaders() {
	if term := s.Machine.LeaderTerm(); term != s.otherTerm {
		s.otherTerm = term
		s.otherSeen = s.Clock.Now()
	}
}

// takeOver commits the barrier. Once it is applied, the machine holds everything that earlier
// leaders have committed, and the leader may act.
func (s *Server) takeOver(lead *leader) {
	ctx, cancel := context.WithTimeout(s.ctx, barrierTimeout)
	defer cancel()
	err := s.propose(ctx, command{Barrier: &barrier{Term: lead.term}})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead != lead {
		return
	}
	if err != nil {
		_ = level.Warn(s.Logger).Log("msg", "leadership not taken over", "term", lead.term, "err", err)
		s.lead = nil // the next tick tries again
		return
	}
	_ = level.Info(s.Logger).Log("msg", "leadership taken over", "term", lead.term)
	takeovers.Inc()
	lead.ready = true
	lead.readyAt = s.Clock.Now()
	lead.seats = placement.NewTable(lead.since, lead.term, s.Machine.TargetHolders())
}

// propose commits a command other than a change. A command without effect is an error.
func (s *Server) propose(ctx context.Context, c command) error {
	result, err := s.proposeAny(ctx, c)
	if err != nil {
		return err
	}
	if refused, ok := result.(error); ok {
		return refused
	}
	return nil
}

func (s *Server) proposeAny(ctx context.Context, c command) (any, error) {
	data, err := wire.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	if data, err = pack.Compress(data); err != nil {
		return nil, fmt.Errorf("pack command: %w", err)
	}
	return s.Log.Propose(ctx, data)
}

// leading returns the leader's tables, or nil when this member doesn't lead or isn't ready.
func (s *Server) leading() *leader {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead == nil || !s.lead.ready {
		return nil
	}
	return s.lead
}

// confirmed returns the leader's tables after a quorum has confirmed, since the call began, that
// this member leads in their term. It returns nil otherwise.
func (s *Server) confirmed(ctx context.Context) *leader {
	lead := s.leading()
	if lead == nil || s.confirmer.wait(ctx) != nil {
		return nil
	}
	if _, term, ok := s.Log.Leadership(); !ok || term != lead.term {
		return nil
	}
	return lead
}

// Leading reports whether this member leads and acts as the leader.
func (s *Server) Leading() bool { return s.leading() != nil }
