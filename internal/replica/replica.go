// Package replica runs one consensus member: it connects the consensus package to disk (wal) and to
// the other members (Peers), and applies committed entries to a state machine.
//
// One goroutine owns the consensus state. Callers hand their requests to it through a queue, and it
// serves all queued requests together, so that many callers share one fsync and one heartbeat round.
package replica

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/wal"
)

const (
	// DefaultSnapshotEntries is the number of applied entries between two snapshots.
	DefaultSnapshotEntries = 500
	// DefaultTailEntries is the number of entries before a snapshot that are kept in the log.
	DefaultTailEntries = 100
	tickInterval       = consensus.TickMillis * time.Millisecond
)

// ErrClosed is the cause of errors of requests to a closed Replica, and of its Status().Err.
var ErrClosed = errors.New("consensus member is closed")

// Member identifies a consensus member. In this package, a group is a set of consensus members and "member"
// alone means one of them.
type Member = consensus.Member

// StateMachine is the replicated state. Its methods are called by one goroutine at a time.
type StateMachine interface {
	// Apply executes a committed entry. It must be deterministic. The result is returned to the
	// caller of Propose if it is on this member.
	Apply(index uint64, data []byte) any
	// Snapshot encodes the state. The result must fit into one message of wire.MaxSnapshotBytes.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(data []byte) error
}

// Peers sends batches to other members. Send must return at once; batches may be lost. The receiver
// passes the batch to Receive.
type Peers interface {
	Send(to Member, batch []byte)
}

// Config configures a Replica.
type Config struct {
	Dir  string // data directory, used by this member only
	Addr string // address at which other members reach this one
	// Initial lists the addresses of the hosts that form the group initially. Without being asked, the
	// leader adds those that have never belonged to a group.
	Initial []string
	// Bootstrap allows a host with an empty data directory to bootstrap the group. It does so only after
	// all other hosts in Initial have answered that they have never belonged to a group, so that a host
	// that lost its disk doesn't bootstrap a second group.
	Bootstrap bool
	// Join makes a host that has never belonged to a group ask the initial hosts to be added, and allows a
	// leader to add any host that asks. If set, only hosts in Initial bootstrap a group.
	Join bool
	// MinVoters is the minimum number of answering voters that must remain when a silent member is
	// removed; 0: silent members are never removed.
	MinVoters int
	// CatchUpTime is the time after the start of a host that replaces a lost one within which the group must again
	// bear the loss of (MinVoters-1)/2 of its hosts; 0: no such limit.
	CatchUpTime     time.Duration
	SnapshotEntries uint64           // 0: DefaultSnapshotEntries
	TailEntries     uint64           // 0: DefaultTailEntries
	Seed            uint64           // of randomized election timeouts; 0: random
	Clock           clock.Clock      // nil: clock.System
	Ticks           <-chan time.Time // one value every 50 ms; nil: a ticker
	FS              wal.FS           // nil: wal.OS
	Logger          log.Logger       // nil: no logging
}

// Status describes a member at one moment.
type Status struct {
	ID          uint64
	Role        consensus.Role
	Term        uint64
	Leader      Member // zero if unknown
	Commit      uint64 // index
	Applied     uint64 // index
	Members     []Member
	LeaderSince time.Time // when this member's leadership began; zero if it doesn't lead
	Err         error     // why the member has stopped; nil while it runs
}

// Replica is a running member. Its methods are safe for concurrent use.
type Replica struct {
	cfg   Config
	sm    StateMachine
	peers Peers
	log   *wal.Log
	stop  chan struct{}
	done  chan struct{}
	wake  chan struct{}
	once  sync.Once

	status atomic.Pointer[Status]

	mu      sync.Mutex // guards in, stopped and changed
	in      inputs
	stopped error         // why the loop has ended; nil while it runs
	changed chan struct{} // closed at the next change of leadership

	// The fields below are accessed only by the loop.
	node           *consensus.Node
	id             uint64
	applied        uint64
	snapshotIndex  uint64
	appended       map[uint64]*proposal // by index: proposals in the log, not applied yet
	lastReadID     uint64
	readCallers    map[uint64][]chan error // by read id
	confirmedReads []consensus.Read        // reads that wait until their index is applied
	addresses      map[uint64]string       // by member id: last known address of senders
	bootstrap      *bootstrap              // nil unless this host is bootstrapping a group
	ticks          int

	rounds []sentRound // latest heartbeat rounds, oldest first; at most maxRounds

	redirectedTo       string // address of the leader according to the latest redirect; empty: none
	ticksWithoutLeader int    // ticks without a known leader

	lastKept keptMember // latest log entry of logKeptMember
}

// Open loads the member's data directory and starts the member. In an empty directory it creates a
// member with a random id.
func Open(cfg Config, sm StateMachine, peers Peers) (*Replica, error) {
	setDefaults(&cfg)
	store, state, err := wal.Open(cfg.Dir, wal.Options{FS: cfg.FS, NewMember: randomID})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, sm: sm, peers: peers, log: store, id: state.Member,
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
		wake:        make(chan struct{}, 1),
		changed:     make(chan struct{}),
		appended:    map[uint64]*proposal{},
		readCallers: map[uint64][]chan error{},
		addresses:   map[uint64]string{},
	}
	if err := r.start(state); err != nil {
		_ = store.Close()
		return nil, err
	}
	go r.run()
	return r, nil
}

func setDefaults(cfg *Config) {
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = DefaultSnapshotEntries
	}
	if cfg.TailEntries == 0 {
		cfg.TailEntries = DefaultTailEntries
	}
	if cfg.Seed == 0 {
		cfg.Seed = randomID()
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	cfg.Logger = log.With(cfg.Logger, "part", "replica")
}

// randomID returns a random number other than 0.
func randomID() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // never fails
		if id := binary.BigEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

// start restores the state machine and consensus from the state on disk.
func (r *Replica) start(state wal.State) error {
	if state.Snapshot.Index > 0 {
		if err := r.sm.Restore(state.Snapshot.Data); err != nil {
			return fmt.Errorf("restore the snapshot at %d: %w", state.Snapshot.Index, err)
		}
	}
	if err := r.newNode(state); err != nil {
		return err
	}
	mayBootstrap := r.cfg.Bootstrap && (!r.cfg.Join || slices.Contains(r.cfg.Initial, r.cfg.Addr))
	if state.Snapshot.Index == 0 && mayBootstrap {
		return r.beginBootstrap()
	}
	r.publish()
	return nil
}

func (r *Replica) newNode(state wal.State) error {
	node, err := consensus.New(consensus.Config{
		ID: r.id, Seed: r.cfg.Seed, Hard: state.Hard, Snapshot: state.Snapshot, Entries: state.Entries,
	})
	if err != nil {
		return fmt.Errorf("load member %x: %w", r.id, err)
	}
	r.node = node
	r.applied = state.Snapshot.Index
	r.snapshotIndex = state.Snapshot.Index
	return nil
}

// Status returns the member's state as of the last completed step of its loop.
func (r *Replica) Status() Status { return *r.status.Load() }

// LeadershipChanged returns a channel that is closed when the role, term or leader next changes or the
// member stops. Call it before Status to avoid missing a change.
func (r *Replica) LeadershipChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Done returns a channel that is closed when the member has stopped, because of Close or a fatal error
// such as a disk failure. Status().Err holds the cause.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Close stops the member and unlocks its data directory. For a graceful shutdown call TransferLeadership
// first.
func (r *Replica) Close() error {
	var err error
	r.once.Do(func() {
		close(r.stop)
		<-r.done
		err = r.log.Close()
	})
	return err
}

// publish updates the status, and logs and signals a change of leadership.
func (r *Replica) publish() {
	n := r.node.Status()
	s := &Status{
		ID: r.id, Role: n.Role, Term: n.Term, Commit: n.Commit, Applied: r.applied, Members: n.Members,
	}
	s.Leader = r.memberByID(n.Leader, n.Members)
	old := r.status.Load()
	if n.Role == consensus.Leader {
		s.LeaderSince = r.cfg.Clock.Now()
		if old != nil && old.Role == consensus.Leader && old.Term == n.Term {
			s.LeaderSince = old.LeaderSince
		}
	}
	r.status.Store(s)
	if old != nil && !slices.Equal(old.Members, s.Members) {
		r.logMembers(s.Members)
	}
	if old == nil || old.Role != s.Role || old.Term != s.Term || old.Leader != s.Leader {
		r.signalLeadershipChange(s)
	}
}

// logMembers logs the members of the group.
func (r *Replica) logMembers(members []Member) {
	var voters, learners []string
	for _, m := range members {
		if m.Learner {
			learners = append(learners, m.Addr)
		} else {
			voters = append(voters, m.Addr)
		}
	}
	_ = r.cfg.Logger.Log("msg", "members changed", "voters", fmt.Sprint(voters), "learners", fmt.Sprint(learners))
}

// signalLeadershipChange logs a change of leadership and closes the channel that LeadershipChanged has
// returned.
func (r *Replica) signalLeadershipChange(s *Status) {
	_ = r.cfg.Logger.Log("msg", "leadership changed", "role", s.Role, "term", s.Term, "leader", fmt.Sprintf("%x", s.Leader.ID))
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}

// memberByID returns the member with an id. For a sender that isn't a member it returns the last known
// address.
func (r *Replica) memberByID(id uint64, members []Member) Member {
	if id == 0 {
		return Member{}
	}
	for _, m := range members {
		if m.ID == id {
			return m
		}
	}
	return Member{ID: id, Addr: r.addresses[id]}
}
