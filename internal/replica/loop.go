package replica

import (
	"errors"
	"fmt"
	"time"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wal"
	"github.com/go-kit/log/level"
)

// inputs are the requests queued for the loop.
type inputs struct {
	batches      []envelope
	batchBytes   int // encoded size of batches
	proposals    []*proposal
	readBarriers []chan error
	calls        []func()
}

// run is the loop that owns the consensus state. It ends on Close or on a fatal error, such as a disk
// failure.
func (r *Replica) run() {
	defer close(r.done)
	if r.cfg.Ticks == nil {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		r.cfg.Ticks = ticker.C
	}
	// The first tick doesn't wait for the ticker, so that the only member of a group becomes the leader
	// without delay.
	err := r.tick()
	for err == nil {
		select {
		case <-r.stop:
			err = ErrClosed
		case <-r.cfg.Ticks:
			err = r.tick()
		case <-r.wake:
			err = r.step()
		}
	}
	r.terminate(err)
}

func (r *Replica) tick() error {
	r.tickNode()
	r.ticks++
	r.ticksWithoutLeader++
	if r.node.Status().Leader != 0 {
		r.ticksWithoutLeader = 0
	}
	if r.ticks%discoveryTicks == 0 {
		r.sendDiscoveryQueries()
		r.requestJoin()
		r.removeSilentMember()
	}
	return r.step()
}

// step handles all queued inputs and then the node's resulting output.
func (r *Replica) step() error {
	r.mu.Lock()
	in := r.in
	r.in = inputs{}
	r.mu.Unlock()
	for _, b := range in.batches {
		if err := r.handleBatch(b); err != nil {
			return err
		}
	}
	for _, p := range in.proposals {
		r.startProposal(p)
	}
	r.startReadBarriers(in.readBarriers)
	for _, call := range in.calls {
		call()
	}
	return r.processReady()
}

// enqueue passes a request to the loop. It fails once the loop has ended.
func (r *Replica) enqueue(add func(*inputs)) error {
	r.mu.Lock()
	if r.stopped != nil {
		r.mu.Unlock()
		return r.stopped
	}
	add(&r.in)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return nil
}

// processReady processes the node's output until there is none left: it persists state, sends messages,
// applies committed entries and answers waiting requests.
func (r *Replica) processReady() error {
	for {
		ready := r.node.Ready()
		if err := r.persist(ready); err != nil {
			return err
		}
		r.send(ready.Messages)
		if err := r.apply(ready); err != nil {
			return err
		}
		r.node.Advance()
		if err := r.snapshotIfDue(); err != nil {
			return err
		}
		r.publish()
		r.answerReads(ready)
		if r.status.Load().Role != consensus.Leader {
			r.failProposals(errLeadershipLost)
		}
		if ready.Empty() {
			return nil
		}
	}
}

func (r *Replica) persist(ready consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := r.writeLog(func() error { return r.log.Install(*ready.Snapshot, *ready.Hard) }); err != nil {
			return err
		}
	}
	return r.writeLog(func() error { return r.log.Save(ready.Hard, ready.Entries) })
}

// errDiskFull is the cause of errors of requests that wait at a member whose disk is full.
var errDiskFull = errors.New("the disk of this member is full")

// fullDiskTicks is the time for which the disk has to be full before proposals in the log are answered: 500 ms. By then
// the other members elect a leader if this one led.
const fullDiskTicks = 500 / consensus.TickMillis

// writeLog writes to the log. While the disk is full it retries at each tick and blocks the loop. As with a
// stalled disk, the member takes no part in consensus during that time. If it is the leader, the others
// elect a new one. Requests at this member are answered meanwhile, so that their callers try another member.
func (r *Replica) writeLog(write func() error) error {
	err := write()
	if !errors.Is(err, wal.ErrNoSpace) {
		return err
	}
	_ = level.Error(r.cfg.Logger).Log("msg", "disk full", "err", err)
	begin := r.cfg.Clock.Now()
	for ticks := 1; errors.Is(err, wal.ErrNoSpace); ticks++ {
		select {
		case <-r.stop:
			return ErrClosed
		case <-r.cfg.Ticks:
			err = write()
		}
		if err != nil && ticks >= fullDiskTicks {
			r.failWaiting(errDiskFull)
		}
	}
	if err == nil {
		_ = level.Info(r.cfg.Logger).Log("msg", "disk has space again", "after", r.cfg.Clock.Now().Sub(begin))
	}
	return err
}

// failWaiting answers all queued requests and all proposals in the log.
func (r *Replica) failWaiting(cause error) {
	r.mu.Lock()
	proposals, barriers := r.in.proposals, r.in.readBarriers
	r.in.proposals, r.in.readBarriers = nil, nil
	r.mu.Unlock()
	for _, p := range proposals {
		if p.claimed.CompareAndSwap(false, true) {
			p.finish(nil, notRun(verdict.CodeUnavailable, cause))
		}
	}
	for _, c := range barriers {
		c <- notRun(verdict.CodeUnavailable, cause)
	}
	r.failProposals(cause)
}

func (r *Replica) apply(ready consensus.Ready) error {
	if s := ready.Snapshot; s != nil {
		if err := r.sm.Restore(s.Data); err != nil {
			return fmt.Errorf("restore the snapshot at %d: %w", s.Index, err)
		}
		r.applied = s.Index
		r.snapshotIndex = s.Index
		r.failProposals(errLeadershipLost)
	}
	for _, e := range ready.Committed {
		var result any
		if e.Kind == consensus.EntryData {
			result = r.sm.Apply(e.Index, e.Data)
		}
		r.applied = e.Index
		r.finishProposal(e, result)
	}
	return nil
}

// snapshotIfDue saves a snapshot of the state machine and compacts the log, once SnapshotEntries entries
// have been applied since the last snapshot.
func (r *Replica) snapshotIfDue() error {
	if r.applied-r.snapshotIndex < r.cfg.SnapshotEntries {
		return nil
	}
	data, err := r.sm.Snapshot()
	if err != nil {
		return fmt.Errorf("take a snapshot at %d: %w", r.applied, err)
	}
	s, err := r.node.NewSnapshot(r.applied, data)
	if err != nil {
		return err
	}
	if err := r.writeLog(func() error { return r.log.SaveSnapshot(s) }); err != nil {
		return err
	}
	r.snapshotIndex = s.Index
	first := r.node.Compact(s, r.cfg.TailEntries)
	return r.log.Compact(first)
}

// terminate publishes the cause of the loop's end and fails all outstanding requests.
func (r *Replica) terminate(cause error) {
	if !errors.Is(cause, ErrClosed) {
		_ = r.cfg.Logger.Log("msg", "member stopped", "err", cause)
	}
	s := *r.status.Load()
	s.Role = consensus.Follower
	s.Leader = Member{}
	s.LeaderSince = time.Time{}
	s.Err = cause
	r.status.Store(&s)
	r.mu.Lock()
	r.stopped = cause
	in := r.in
	r.in = inputs{}
	r.mu.Unlock()
	for _, p := range in.proposals {
		p.finish(nil, notRun(verdict.CodeShutdown, cause))
	}
	for _, c := range in.readBarriers {
		c <- notRun(verdict.CodeShutdown, cause)
	}
	r.failProposals(cause)
	for id, callers := range r.readCallers {
		r.answerRead(id, callers, notRun(verdict.CodeShutdown, cause))
	}
	r.signalLeadershipChange(&s)
}
