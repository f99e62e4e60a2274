package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wal"
	"github.com/citronrun/citronrun/internal/wire"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// counter is a state machine that counts entries and adds up their bytes.
type counter struct {
	mu         sync.Mutex
	count, sum uint64
	restored   uint64 // count at the last Restore
}

func (c *counter) Apply(_ uint64, data []byte) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	for _, b := range data {
		c.sum += uint64(b)
	}
	return c.count
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, c.count), c.sum), nil
}

func (c *counter) Restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count, c.sum = binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])
	c.restored = c.count
	return nil
}

func (c *counter) value() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// testNetwork is an in-memory network that connects replicas by address. The test sends their ticks.
type testNetwork struct {
	mu           sync.Mutex
	replicas     map[string]*Replica
	ticks        map[string]chan time.Time
	disconnected map[string]bool
}

func newTestNetwork() *testNetwork {
	return &testNetwork{replicas: map[string]*Replica{}, ticks: map[string]chan time.Time{}, disconnected: map[string]bool{}}
}

type testPeer struct {
	network *testNetwork
	from    string
}

// Send delivers the batch to its receiver's queue synchronously.
func (p testPeer) Send(to Member, batch []byte) {
	p.network.mu.Lock()
	r := p.network.replicas[to.Addr]
	dropped := p.network.disconnected[to.Addr] || p.network.disconnected[p.from]
	p.network.mu.Unlock()
	if r != nil && !dropped {
		r.Receive(batch)
	}
}

func (net *testNetwork) open(t *testing.T, dir, addr string, sm StateMachine, cfg Config) *Replica {
	t.Helper()
	cfg.Dir, cfg.Addr, cfg.Seed = dir, addr, 1
	ticks := make(chan time.Time)
	cfg.Ticks = ticks
	r, err := Open(cfg, sm, testPeer{net, addr})
	if err != nil {
		t.Fatal(err)
	}
	net.mu.Lock()
	net.replicas[addr], net.ticks[addr] = r, ticks
	net.mu.Unlock()
	t.Cleanup(func() { _ = r.Close() })
	return r
}

// tickUntil sends ticks to all members, as fast as they handle them, until done returns true.
func (net *testNetwork) tickUntil(t *testing.T, done func() bool) {
	t.Helper()
	const maxTicks = 20000
	for range maxTicks {
		if done() {
			return
		}
		for addr, ticks := range net.ticks {
			select {
			case ticks <- time.Time{}:
			case <-net.replicas[addr].Done():
			}
		}
		for range exchangesPerTick {
			net.awaitDelivery()
		}
	}
	t.Fatalf("condition not met within %d ticks", maxTicks)
}

// exchangesPerTick is the number of message exchanges between two ticks. A real tick interval leaves time
// for far more.
const exchangesPerTick = 4

// awaitDelivery waits until all members have handled the messages sent to them. Otherwise, on a busy host,
// ticks outpace message handling and the leader steps down because it has lost contact with its quorum.
func (net *testNetwork) awaitDelivery() {
	for _, r := range net.replicas {
		handled := make(chan struct{})
		err := r.enqueue(func(in *inputs) {
			in.calls = append(in.calls, func() { close(handled) })
		})
		if err != nil {
			continue
		}
		select {
		case <-handled:
		case <-r.Done():
		}
	}
}

func (net *testNetwork) setDisconnected(addr string, down bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.disconnected[addr] = down
}

func (net *testNetwork) leader() *Replica {
	for addr, r := range net.replicas {
		if !net.disconnected[addr] && r.Status().Role == consensus.Leader {
			return r
		}
	}
	return nil
}

func voters(r *Replica) int {
	count := 0
	for _, m := range r.Status().Members {
		if !m.Learner {
			count++
		}
	}
	return count
}

// TestRestart guards against lost or repeated entries after a restart, with 1,000 entries and a snapshot
// in between.
func TestRestart(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "a")
	ctx := context.Background()
	cfg := Config{Dir: dir, Addr: "a", Bootstrap: true}
	sm := &counter{}
	r, err := Open(cfg, sm, testPeer{newTestNetwork(), "a"})
	is.NoErr(err)
	var group sync.WaitGroup
	for worker := range 10 {
		group.Go(func() {
			for i := range 100 {
				if _, err := r.Propose(ctx, fmt.Append(nil, worker, i)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	is.NoErr(r.ReadBarrier(ctx))
	id := r.Status().ID
	is.NoErr(r.Close())
	_, err = r.Propose(ctx, nil)
	is.Equal(verdict.Of(err), verdict.NotRun)

	begin := time.Now()
	restarted := &counter{}
	r, err = Open(cfg, restarted, testPeer{newTestNetwork(), "a"})
	is.NoErr(err)
	defer r.Close()
	is.NoErr(r.ReadBarrier(ctx))
	t.Logf("restart after 1,000 entries until the first read barrier: %v", time.Since(begin))
	is.Equal(restarted.value(), uint64(1000))
	is.Equal(restarted.sum, sm.sum)
	is.Equal(r.Status().ID, id)
	is.True(restarted.restored >= DefaultSnapshotEntries-2) // the initial snapshot and an empty entry also use indexes
}

// TestGroup guards the life cycle of a group: bootstrap, promotion of learners, writes, leadership
// transfer, the replacement of a member that lost its disk, and then the loss of a second member.
func TestGroup(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork()
	initial := []string{"a", "b", "c"}
	cfg := Config{Initial: initial, Bootstrap: true, SnapshotEntries: 10, TailEntries: 2}
	machines := map[string]*counter{}
	for _, addr := range initial {
		machines[addr] = &counter{}
		net.open(t, t.TempDir(), addr, machines[addr], cfg)
	}
	net.tickUntil(t, func() bool { return net.leader() != nil && voters(net.leader()) == 3 })
	is.Equal(net.leader(), net.replicas["a"]) // the host with the lowest address bootstraps the group
	net.propose(t, 30)

	old := net.leader()
	started := make(chan error, 1)
	go func() { started <- old.TransferLeadership(context.Background()) }()
	net.tickUntil(t, func() bool { return len(started) > 0 && net.leader() != nil && net.leader() != old })
	is.NoErr(<-started)
	net.propose(t, 5)

	// Host a loses its disk and restarts with Bootstrap set.
	lost := old.Status().ID
	net.setDisconnected("a", true)
	is.NoErr(old.Close())
	leader := net.leader()
	removed := make(chan error, 1)
	go func() { removed <- leader.RemoveMember(context.Background(), lost) }()
	net.tickUntil(t, func() bool { return len(removed) > 0 })
	is.NoErr(<-removed)
	net.setDisconnected("a", false)
	machines["a"] = &counter{}
	repaired := net.open(t, t.TempDir(), "a", machines["a"], cfg)
	net.tickUntil(t, func() bool { return net.leader() != nil && voters(net.leader()) == 3 })
	is.True(repaired.Status().ID != lost)

	leader = net.leader()
	net.setDisconnected(leader.cfg.Addr, true)
	is.NoErr(leader.Close())
	net.tickUntil(t, func() bool { return net.leader() != nil })
	net.propose(t, 5)
	net.tickUntil(t, func() bool { return machines["a"].value() == 40 })
}

// propose sends proposals one by one while ticks pass.
func (net *testNetwork) propose(t *testing.T, count int) {
	t.Helper()
	for range count {
		result := make(chan error, 1)
		leader := net.leader()
		go func() {
			_, err := leader.Propose(context.Background(), []byte("x"))
			if err == nil {
				err = leader.ReadBarrier(context.Background())
			}
			result <- err
		}()
		net.tickUntil(t, func() bool { return len(result) > 0 })
		if err := <-result; err != nil {
			t.Fatal(err)
		}
	}
}

// TestVerdicts guards against NotRun errors for proposals that may still be committed, and against
// read barriers at a leader that has lost its quorum.
func TestVerdicts(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork()
	cfg := Config{Initial: []string{"a", "b"}, Bootstrap: true}
	for _, addr := range cfg.Initial {
		net.open(t, t.TempDir(), addr, &counter{}, cfg)
	}
	net.tickUntil(t, func() bool { return net.leader() != nil && voters(net.leader()) == 2 })
	leader := net.leader()
	for addr, r := range net.replicas {
		if r != leader {
			_, err := r.Propose(context.Background(), nil)
			is.Equal(verdict.Of(err), verdict.NotRun)
			net.setDisconnected(addr, true)
		}
	}
	_, err := leader.Propose(context.Background(), make([]byte, consensus.MaxEntryBytes+1))
	is.Equal(verdict.Of(err), verdict.NotRun)
	results := make(chan error, 2)
	go func() {
		_, err := leader.Propose(context.Background(), []byte("x"))
		results <- err
	}()
	net.tickUntil(t, func() bool { return len(results) > 0 || leader.Status().Role != consensus.Leader })
	err = <-results
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	err = leader.ReadBarrier(context.Background())
	is.Equal(verdict.Of(err), verdict.NotRun)
}

// brokenFS is a file system on which each sync fails once broken is closed.
type brokenFS struct {
	wal.OS
	broken chan struct{}
}

type brokenFile struct {
	wal.File
	broken chan struct{}
}

func (b brokenFS) Append(name string) (wal.File, error) {
	f, err := b.OS.Append(name)
	return brokenFile{f, b.broken}, err
}

func (b brokenFS) Create(name string) (wal.File, error) {
	f, err := b.OS.Create(name)
	return brokenFile{f, b.broken}, err
}

func (f brokenFile) Sync() error {
	select {
	case <-f.broken:
		return fmt.Errorf("sync failed")
	default:
		return f.File.Sync()
	}
}

// TestStopsWhenDiskFails guards against a member that keeps running after a failed sync.
func TestStopsWhenDiskFails(t *testing.T) {
	is := is.New(t)
	fsys := brokenFS{broken: make(chan struct{})}
	r, err := Open(Config{Dir: t.TempDir(), Addr: "a", Bootstrap: true, FS: fsys}, &counter{}, testPeer{newTestNetwork(), "a"})
	is.NoErr(err)
	_, err = r.Propose(context.Background(), []byte("x"))
	is.NoErr(err)
	close(fsys.broken)
	_, err = r.Propose(context.Background(), []byte("y"))
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	<-r.Done()
	is.True(r.Status().Err != nil)
	is.Equal(r.Status().Role, consensus.Follower)
	is.Equal(verdict.Of(r.ReadBarrier(context.Background())), verdict.NotRun)
	is.NoErr(r.Close())
}

// fullFS is a file system on which writes to created files fail with ENOSPC while full is set.
type fullFS struct {
	wal.OS
	full *atomic.Bool
}

func (f fullFS) Create(name string) (wal.File, error) {
	file, err := f.OS.Create(name)
	return fullFile{file, f.full}, err
}

type fullFile struct {
	wal.File
	full *atomic.Bool
}

func (f fullFile) Write(p []byte) (int, error) {
	if !f.full.Load() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	if err == nil {
		err = unix.ENOSPC
	}
	return n, err
}

// TestWaitsWhileDiskIsFull guards against a member that stops, or loses acknowledged entries, because
// the disk was temporarily full.
func TestWaitsWhileDiskIsFull(t *testing.T) {
	is := is.New(t)
	fsys := fullFS{full: &atomic.Bool{}}
	cfg := Config{Dir: filepath.Join(t.TempDir(), "a"), Addr: "a", Bootstrap: true, FS: fsys}
	r, err := Open(cfg, &counter{}, testPeer{newTestNetwork(), "a"})
	is.NoErr(err)
	_, err = r.Propose(context.Background(), []byte("x"))
	is.NoErr(err)
	fsys.full.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 4*tickInterval)
	defer cancel()
	_, err = r.Propose(ctx, []byte("y"))
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	fsys.full.Store(false)
	_, err = r.Propose(context.Background(), []byte("z"))
	is.NoErr(err)
	is.NoErr(r.Status().Err)

	fsys.full.Store(true)
	ctx, cancel = context.WithTimeout(context.Background(), 4*tickInterval)
	defer cancel()
	_, err = r.Propose(ctx, []byte("w"))
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.NoErr(r.Close()) // doesn't wait for disk space
	cfg.FS = nil
	again := &counter{}
	r, err = Open(cfg, again, testPeer{newTestNetwork(), "a"})
	is.NoErr(err)
	defer r.Close()
	is.NoErr(r.ReadBarrier(context.Background()))
	is.Equal(again.value(), uint64(3)) // x, y and z
}

// FuzzReceive guards against batches that crash the decoder or consensus, although no correct member
// sends them.
func FuzzReceive(f *testing.F) {
	snapshot := consensus.Snapshot{Index: 5, Term: 2, Members: []Member{{ID: 9, Addr: "x"}}}
	seeds := []consensus.Message{
		{Kind: consensus.MsgAppend, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: []consensus.Entry{{Index: 2, Term: 3}}},
		{Kind: consensus.MsgSnapshot, From: 2, To: 1, Term: 3, Snapshot: &snapshot},
		{Kind: consensus.MsgVote, From: 2, To: 1, Term: 4, Index: 9, LogTerm: 3},
		{Kind: consensus.MsgAppendReply, From: 2, To: 1, Term: 2, Reject: true, Index: 1 << 63, Hint: 1<<64 - 1},
	}
	for _, m := range seeds {
		batch, err := wire.Marshal(envelope{Version: batchVersion, From: Member{ID: 2, Addr: "b"}, Messages: []consensus.Message{m}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(batch)
	}
	f.Fuzz(func(t *testing.T, batch []byte) {
		e, err := decodeBatch(batch)
		if err != nil {
			return
		}
		members := []Member{{ID: 1, Addr: "a"}, {ID: 2, Addr: "b"}}
		for _, leads := range []bool{false, true} {
			n, err := consensus.New(consensus.Config{
				ID: 1, Hard: consensus.HardState{Term: 1}, Snapshot: consensus.Snapshot{Index: 1, Term: 1, Members: members},
			})
			if err != nil {
				t.Fatal(err)
			}
			if leads {
				makeLeader(n)
			}
			for _, m := range e.Messages {
				_ = n.Step(m)
				n.Ready()
				n.Advance()
			}
			n.Tick()
			n.Ready()
		}
	})
}

func makeLeader(n *consensus.Node) {
	for n.Status().Role != consensus.Leader {
		n.Tick()
		r := n.Ready()
		n.Advance()
		for _, m := range r.Messages {
			_ = n.Step(consensus.Message{Kind: m.Kind + 1, From: m.To, To: m.From, Term: m.Term})
		}
	}
}
