package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/control"
	"github.com/citronrun/citronrun/internal/pki"
	"github.com/citronrun/citronrun/internal/replica"
	"github.com/citronrun/citronrun/internal/settings"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/wire"
)

// openControl opens the replicated log and creates the control server, which acts while this member leads.
func (d *Daemon) openControl(ctx context.Context) error {
	if !d.settings.Has(settings.RoleControl) {
		return nil
	}
	machine, err := control.NewMachine(catalog.NewMachine(), decodeMachine)
	if err != nil {
		return err
	}
	sender := newRaftSender(ctx, d.endpoint)
	conf := replica.Config{
		Dir:       d.settings.DataDir,
		Addr:      d.advertisedPeerAddr(),
		Initial:   d.settings.Control,
		Bootstrap: d.settings.Bootstrap,
		Join:      d.settings.Join,
		Clock:     clock.BootTime{},
		Logger:    d.logger,

		SnapshotEntries: d.options.SnapshotEntries,
	}
	if o := d.options.Deployment; o != nil {
		conf.MinVoters = o.MinVoters
		conf.CatchUpTime = o.CatchUpTime
	}
	d.replica, err = replica.Open(conf, machine, sender)
	if err != nil {
		return fmt.Errorf("data_dir: %w", err)
	}
	for _, kind := range []wire.Kind{wire.KindRaft, wire.KindForwardedRenew, wire.KindForwardedBorrow, wire.KindRenewAll} {
		d.endpoint.RequireUnit(kind, pki.ControlUnit)
	}
	d.endpoint.Handle(wire.KindRelay, d.endpoint.RelayHandler(d.mayRelay))
	d.endpoint.Handle(wire.KindRaft, receiveRaft(d.replica))
	serverConf := control.Config{
		Name:       d.settings.Host,
		Machine:    machine,
		Log:        replicatedLog{d.replica},
		Members:    replicatedLog{d.replica},
		Transport:  d.endpoint,
		Clock:      clock.BootTime{},
		Logger:     d.logger,
		RateLimits: new(rateLimits).ofTeam,
	}
	if o := d.options.Deployment; o != nil {
		serverConf.TargetControl = o.TargetControl
		serverConf.DrainTime = o.DrainTime
		serverConf.RateTolerance = o.RateTolerance
		serverConf.ColdTolerance = o.ColdTolerance
		serverConf.ControlAddrs = d.controlAddrs
		serverConf.CheckChangeAllowed = d.checkChangeAllowed
		serverConf.PlacesToBear = o.PlacesToBear
		serverConf.VoterAddrs = d.voterAddrs
		serverConf.AcceptDetours = d.detours()
		d.openTunnels(machine)
	}
	d.control = control.New(serverConf)
	return nil
}

func decodeMachine(data []byte) (control.Configuration, error) { return catalog.DecodeMachine(data) }

// watchReplica waits until the consensus member stops and returns its error, for example that of a
// failed disk.
func (d *Daemon) watchReplica(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.replica.Done():
		return d.replica.Status().Err
	}
}

// replicatedLog adapts a replica to the interfaces of the control package.
type replicatedLog struct{ *replica.Replica }

// Leadership returns the start and the consensus term of this member's leadership, if it leads.
func (l replicatedLog) Leadership() (since time.Time, term uint64, ok bool) {
	s := l.Replica.Status()
	return s.LeaderSince, s.Term, !s.LeaderSince.IsZero()
}

// LeaderAddr returns the address of the presumed leader, or "".
func (l replicatedLog) LeaderAddr() string { return l.Replica.Status().Leader.Addr }

// AddMember adds a control host as a learner that becomes a voter once it has caught up.
func (l replicatedLog) AddMember(ctx context.Context, id uint64, addr string) error {
	return l.Replica.AddMember(ctx, replica.Member{ID: id, Addr: addr})
}

// Status returns the consensus status for operators.
func (l replicatedLog) Status() any { return l.Replica.Status() }

// rateLimits looks up the rate limits of teams. It caches the compiled policies of one catalog revision.
type rateLimits struct {
	compiled atomic.Pointer[catalog.Snapshot]
}

func (l *rateLimits) ofTeam(c *catalog.Catalog, team string) (rate, burst float64) {
	s := l.compiled.Load()
	if s == nil || s.Revision() != c.Revision {
		next, err := catalog.NewSnapshot(*c)
		if err != nil {
			return catalog.DefaultRate, catalog.DefaultBurst // unreachable: a catalog is validated before it is accepted
		}
		l.compiled.Store(next)
		s = next
	}
	return s.RateLimit(team)
}

// raftQueueBatches is the length of the send queue of one control host. Batches beyond it are dropped;
// the consensus protocol retransmits.
const raftQueueBatches = 256

// raftSender sends consensus batches over one stream per control host.
type raftSender struct {
	ctx      context.Context
	endpoint *transport.Endpoint

	mu     sync.Mutex
	queues map[string]chan []byte // by address
}

func newRaftSender(ctx context.Context, e *transport.Endpoint) *raftSender {
	return &raftSender{ctx: ctx, endpoint: e, queues: map[string]chan []byte{}}
}

// Send queues a batch. It never blocks: it drops the batch if the host's queue is full.
func (sender *raftSender) Send(to replica.Member, batch []byte) {
	sender.mu.Lock()
	q, ok := sender.queues[to.Addr]
	if !ok {
		q = make(chan []byte, raftQueueBatches)
		sender.queues[to.Addr] = q
		go sender.deliver(to.Addr, q)
	}
	sender.mu.Unlock()
	select {
	case q <- batch:
	default:
	}
}

func (sender *raftSender) deliver(addr string, q <-chan []byte) {
	var s transport.Stream
	for {
		select {
		case <-sender.ctx.Done():
			return
		case batch := <-q:
			s = sender.write(addr, s, batch)
		}
	}
}

// raftWriteTimeout bounds the write of one batch. The queue of an unreachable host therefore drains
// and holds no outdated messages when the host returns.
const raftWriteTimeout = time.Second

// write sends a batch on s, or on a new stream if s is nil, and returns the stream for the next
// batch.
func (sender *raftSender) write(addr string, s transport.Stream, batch []byte) transport.Stream {
	if s == nil {
		ctx, cancel := context.WithTimeout(sender.ctx, raftWriteTimeout)
		defer cancel()
		opened, err := sender.endpoint.Open(ctx, addr, wire.KindRaft)
		if err != nil {
			return nil
		}
		s = opened
	}
	_ = s.SetWriteDeadline(time.Now().Add(raftWriteTimeout))
	if err := wire.Write(s, batch); err != nil {
		s.Reset()
		return nil
	}
	return s
}

// receiveRaft passes consensus batches from other control hosts to the replica.
func receiveRaft(r *replica.Replica) func(ctx context.Context, peer string, s transport.Stream) {
	return func(_ context.Context, _ string, s transport.Stream) {
		for {
			var batch []byte
			if err := wire.Read(s, &batch, wire.MaxSnapshotBytes+wire.MaxMessageBytes); err != nil {
				return
			}
			r.Receive(batch)
		}
	}
}
