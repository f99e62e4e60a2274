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

// openControl opens the replicated log and the leader's work on top of it.
func (d *Daemon) openControl(ctx context.Context) error {
	if !d.settings.Has(settings.RoleControl) {
		return nil
	}
	machine, err := control.NewMachine(catalog.NewMachine(), decodeMachine)
	if err != nil {
		return err
	}
	peers := newPeers(ctx, d.endpoint)
	conf := replica.Config{
		Dir:       d.settings.DataDir,
		Addr:      d.peerAddr(),
		Initial:   d.settings.Control,
		Bootstrap: d.settings.Bootstrap,
		Join:      d.settings.Join,
		Clock:     clock.BootTime{},
		Logger:    d.logger,

		SnapshotEntries: d.options.SnapshotEntries,
	}
	if o := d.options.Deployment; o != nil {
		conf.MinVoters = o.MinVoters
	}
	d.replica, err = replica.Open(conf, machine, peers)
	if err != nil {
		return fmt.Errorf("data_dir: %w", err)
	}
	d.endpoint.RequireUnit(wire.KindRaft, pki.ControlUnit)
	d.endpoint.Handle(wire.KindRaft, receiveRaft(d.replica))
	serverConf := control.Config{
		Name:       d.settings.Host,
		Machine:    machine,
		Log:        replicatedLog{d.replica},
		Members:    replicatedLog{d.replica},
		Transport:  d.endpoint,
		Clock:      clock.BootTime{},
		Logger:     d.logger,
		RateLimits: new(limits).of,
	}
	if o := d.options.Deployment; o != nil {
		serverConf.TargetControl = o.TargetControl
		serverConf.DrainTime = o.DrainTime
		serverConf.RateTolerance = o.RateTolerance
		serverConf.ControlAddrs = d.controls
		serverConf.CheckChangeAllowed = d.mayAccept
	}
	d.control = control.New(serverConf)
	return nil
}

func decodeMachine(data []byte) (control.Configuration, error) { return catalog.DecodeMachine(data) }

// watchReplica returns the error that stopped the consensus member, for example a failed disk.
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

// Leadership returns since when and in which consensus term this member leads.
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

// limits resolves rates and keeps the policies compiled between changes of the catalog.
type limits struct {
	compiled atomic.Pointer[catalog.Snapshot]
}

func (l *limits) of(c *catalog.Catalog, team string) (rate, burst float64) {
	s := l.compiled.Load()
	if s == nil || s.Revision() != c.Revision {
		next, err := catalog.NewSnapshot(*c)
		if err != nil {
			return catalog.DefaultRate, catalog.DefaultBurst // selectors are checked before they are accepted
		}
		l.compiled.Store(next)
		s = next
	}
	return s.RateLimit(team)
}

// peerQueue is the number of batches that wait for one control host. Consensus repeats what is
// dropped.
const peerQueue = 256

// peers sends consensus batches over one stream for each control host.
type peers struct {
	ctx      context.Context
	endpoint *transport.Endpoint

	mu     sync.Mutex
	queues map[string]chan []byte
}

func newPeers(ctx context.Context, e *transport.Endpoint) *peers {
	return &peers{ctx: ctx, endpoint: e, queues: map[string]chan []byte{}}
}

// Send queues a batch. It never blocks; a batch for a host that is too slow is dropped.
func (p *peers) Send(to replica.Member, batch []byte) {
	p.mu.Lock()
	q, ok := p.queues[to.Addr]
	if !ok {
		q = make(chan []byte, peerQueue)
		p.queues[to.Addr] = q
		go p.deliver(to.Addr, q)
	}
	p.mu.Unlock()
	select {
	case q <- batch:
	default:
	}
}

func (p *peers) deliver(addr string, q <-chan []byte) {
	var s transport.Stream
	for {
		select {
		case <-p.ctx.Done():
			return
		case batch := <-q:
			s = p.write(addr, s, batch)
		}
	}
}

// peerTimeout bounds the delivery of one batch, so that an unreachable host's queue is emptied and
// holds no outdated messages when it returns.
const peerTimeout = time.Second

// write sends a batch on s, or on a new stream if s is nil, and returns the stream for the next
// batch.
func (p *peers) write(addr string, s transport.Stream, batch []byte) transport.Stream {
	if s == nil {
		ctx, cancel := context.WithTimeout(p.ctx, peerTimeout)
		defer cancel()
		opened, err := p.endpoint.Open(ctx, addr, wire.KindRaft)
		if err != nil {
			return nil
		}
		s = opened
	}
	_ = s.SetWriteDeadline(time.Now().Add(peerTimeout))
	if err := wire.Write(s, batch); err != nil {
		s.Reset()
		return nil
	}
	return s
}

// receiveRaft hands consensus batches from other control hosts to the replica.
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
