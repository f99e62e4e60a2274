package replica

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/verdict"
)

const (
	maxProposals    = 4096    // queued, and the same number waiting to be applied
	maxReadBarriers = 1 << 16 // queued
)

var errLeadershipLost = errors.New("leadership was lost before the outcome was known")

// proposal is a request that appends an entry and is answered when the entry is applied.
type proposal struct {
	start   func(*consensus.Node) (index, term uint64, err error)
	term    uint64
	claimed atomic.Bool // set by the loop when it starts the proposal, or earlier by a caller that cancels it
	result  chan outcome
}

type outcome struct {
	value any
	err   error
}

func (p *proposal) finish(value any, err error) { p.result <- outcome{value: value, err: err} }

func notRun(code string, cause error) error { return verdict.New(verdict.NotRun, code, "%w", cause) }

func mayHaveRun(cause error) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "%w", cause)
}

// Propose replicates data and returns the result of StateMachine.Apply. Errors are of type
// *verdict.Error: NotRun means that the proposal will never be applied, MayHaveRun that it may have been
// applied or may still be.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	return r.propose(ctx, func(n *consensus.Node) (uint64, uint64, error) { return n.Propose(data) })
}

// AddMember adds a member as a learner; the leader promotes it to a voter once it has caught up. The
// member's id is in its own Status. When a host has lost its disk, the member with its old id must be
// removed first. Errors are as with Propose.
func (r *Replica) AddMember(ctx context.Context, m Member) error {
	_, err := r.propose(ctx, func(n *consensus.Node) (uint64, uint64, error) { return n.AddLearner(m) })
	return err
}

// RemoveMember removes a member. It is refused if the answering voters among the remaining members
// would not form a quorum. Errors are as with Propose.
func (r *Replica) RemoveMember(ctx context.Context, id uint64) error {
	_, err := r.propose(ctx, func(n *consensus.Node) (uint64, uint64, error) { return n.RemoveMember(id) })
	return err
}

func (r *Replica) propose(ctx context.Context, start func(*consensus.Node) (uint64, uint64, error)) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, notRun(verdict.CodeTooBusy, err)
	}
	p := &proposal{start: start, result: make(chan outcome, 1)}
	full := false
	err := r.enqueue(func(in *inputs) {
		full = len(in.proposals) >= maxProposals
		if !full {
			in.proposals = append(in.proposals, p)
		}
	})
	if err != nil {
		return nil, notRun(verdict.CodeShutdown, err)
	}
	if full {
		return nil, notRun(verdict.CodeTooBusy, fmt.Errorf("proposal queue is full (limit %d)", maxProposals))
	}
	select {
	case out := <-p.result:
		return out.value, out.err
	case <-ctx.Done():
		if p.claimed.CompareAndSwap(false, true) {
			return nil, notRun(verdict.CodeTooBusy, ctx.Err())
		}
		return nil, mayHaveRun(ctx.Err())
	}
}

// startProposal appends a proposal to the log, unless its caller has cancelled it.
func (r *Replica) startProposal(p *proposal) {
	if !p.claimed.CompareAndSwap(false, true) {
		return
	}
	if len(r.appended) >= maxProposals {
		p.finish(nil, notRun(verdict.CodeTooBusy, fmt.Errorf("too many proposals are waiting to be applied (limit %d)", maxProposals)))
		return
	}
	index, term, err := p.start(r.node)
	if err != nil {
		p.finish(nil, notRun(refusalCode(err), err))
		return
	}
	p.term = term
	if old := r.appended[index]; old != nil {
		old.finish(nil, mayHaveRun(errLeadershipLost))
	}
	r.appended[index] = p
}

// refusalCode returns the SQLSTATE code for a proposal that consensus has refused.
func refusalCode(err error) string {
	switch {
	case errors.Is(err, consensus.ErrTooLarge):
		return verdict.CodeProtocol
	case errors.Is(err, consensus.ErrMemberExists), errors.Is(err, consensus.ErrUnknownMember):
		return verdict.CodeInvalidParameter
	default:
		return verdict.CodeUnavailable
	}
}

// finishProposal answers the caller whose proposal was appended at the index of a committed entry. If
// the entry has another term, it has replaced the proposal, which can no longer be committed.
func (r *Replica) finishProposal(e consensus.Entry, value any) {
	p := r.appended[e.Index]
	if p == nil {
		return
	}
	delete(r.appended, e.Index)
	if p.term != e.Term {
		p.finish(nil, notRun(verdict.CodeUnavailable,
			fmt.Errorf("proposal at index %d of term %d was replaced by an entry of term %d", e.Index, p.term, e.Term)))
		return
	}
	p.finish(value, nil)
}

func (r *Replica) failProposals(cause error) {
	for _, p := range r.appended {
		p.finish(nil, mayHaveRun(cause))
	}
	clear(r.appended)
}

// ReadBarrier makes a following read of the state machine linearizable. It returns nil once it is certain
// that no newer leader had been elected before the call, and the state machine has applied everything that
// was committed before the call. Errors have the verdict NotRun.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	result := make(chan error, 1)
	full := false
	err := r.enqueue(func(in *inputs) {
		full = len(in.readBarriers) >= maxReadBarriers
		if !full {
			in.readBarriers = append(in.readBarriers, result)
		}
	})
	if err != nil {
		return notRun(verdict.CodeShutdown, err)
	}
	if full {
		return notRun(verdict.CodeTooBusy, fmt.Errorf("read barrier queue is full (limit %d)", maxReadBarriers))
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return notRun(verdict.CodeUnavailable, ctx.Err())
	}
}

// startReadBarriers confirms one read index for all waiting callers. While the leader's read lease is
// valid, no heartbeat round is needed: the callers only wait until all committed entries are applied.
func (r *Replica) startReadBarriers(callers []chan error) {
	if len(callers) == 0 {
		return
	}
	r.lastReadID++
	if r.hasReadLease() {
		r.readCallers[r.lastReadID] = callers
		r.confirmedReads = append(r.confirmedReads, consensus.Read{ID: r.lastReadID, Index: r.node.Status().Commit})
		return
	}
	if err := r.node.ReadIndex(r.lastReadID); err != nil {
		r.answerRead(r.lastReadID, callers, notRun(verdict.CodeUnavailable, err))
		return
	}
	r.readCallers[r.lastReadID] = callers
}

// answerReads answers the callers whose read index failed, or was confirmed and has been applied.
func (r *Replica) answerReads(ready consensus.Ready) {
	for _, id := range ready.FailedReads {
		r.answerRead(id, r.readCallers[id], notRun(verdict.CodeUnavailable, consensus.ErrNotLeader))
	}
	r.confirmedReads = append(r.confirmedReads, ready.Reads...)
	var later []consensus.Read
	for _, read := range r.confirmedReads {
		if read.Index > r.applied {
			later = append(later, read)
			continue
		}
		r.answerRead(read.ID, r.readCallers[read.ID], nil)
	}
	r.confirmedReads = later
}

func (r *Replica) answerRead(id uint64, callers []chan error, err error) {
	for _, c := range callers {
		c <- err
	}
	delete(r.readCallers, id)
}

// TransferLeadership transfers leadership to another voter and returns once this member no longer leads.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	changed := r.LeadershipChanged()
	started := make(chan error, 1)
	err := r.enqueue(func(in *inputs) {
		in.calls = append(in.calls, func() { started <- r.node.TransferLeadership() })
	})
	if err != nil {
		return notRun(verdict.CodeShutdown, err)
	}
	select {
	case err = <-started:
	case <-r.done:
		err = ErrClosed
	case <-ctx.Done():
		return mayHaveRun(ctx.Err())
	}
	if err != nil {
		return notRun(verdict.CodeUnavailable, err)
	}
	for r.Status().Role == consensus.Leader {
		select {
		case <-changed:
			changed = r.LeadershipChanged()
		case <-ctx.Done():
			return mayHaveRun(ctx.Err())
		}
	}
	return nil
}
