package replica

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/verdict"
)

const (
	maxProposals = 4096 // unanswered proposals
	maxConfirms  = 1 << 16
)

var errLeadershipLost = errors.New("leadership was lost before the outcome was known")

// proposal is a request that ends with the application of an entry.
type proposal struct {
	start  func(*consensus.Node) (index, term uint64, err error)
	term   uint64
	taken  atomic.Bool // by the loop or, when it is cancelled before that, by its caller
	result chan outcome
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
// *verdict.Error: NotRun means that the proposal will never be applied; with MayHaveRun it may have
// been applied or may still be.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	return r.propose(ctx, func(n *consensus.Node) (uint64, uint64, error) { return n.Propose(data) })
}

// AddMember adds a member as a learner; the leader promotes it once it has caught up. The member's
// id is found in its own Status. After a disk was lost, the member with the old id must be removed
// first. Errors are like those of Propose.
func (r *Replica) AddMember(ctx context.Context, m Member) error {
	_, err := r.propose(ctx, func(n *consensus.Node) (uint64, uint64, error) { return n.AddLearner(m) })
	return err
}

// RemoveMember removes a member. It is refused if the reachable voters that remain would be no
// quorum. Errors are like those of Propose.
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
		return nil, notRun(verdict.CodeTooBusy, errors.New("too many proposals are waiting"))
	}
	select {
	case out := <-p.result:
		return out.value, out.err
	case <-ctx.Done():
		if p.taken.CompareAndSwap(false, true) {
			return nil, notRun(verdict.CodeTooBusy, ctx.Err())
		}
		return nil, mayHaveRun(ctx.Err())
	}
}

// startProposal appends a proposal to the log, unless its caller has given up.
func (r *Replica) startProposal(p *proposal) {
	if !p.taken.CompareAndSwap(false, true) {
		return
	}
	if len(r.waiting) >= maxProposals {
		p.finish(nil, notRun(verdict.CodeTooBusy, errors.New("too many proposals are waiting")))
		return
	}
	index, term, err := p.start(r.node)
	if err != nil {
		p.finish(nil, notRun(refusalCode(err), err))
		return
	}
	p.term = term
	if old := r.waiting[index]; old != nil {
		old.finish(nil, mayHaveRun(errLeadershipLost))
	}
	r.waiting[index] = p
}

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

// finishProposal answers the caller whose proposal got the index of a committed entry. An entry of
// another term took the place of the proposal, which then can't be committed any more.
func (r *Replica) finishProposal(e consensus.Entry, value any) {
	p := r.waiting[e.Index]
	if p == nil {
		return
	}
	delete(r.waiting, e.Index)
	if p.term != e.Term {
		p.finish(nil, notRun(verdict.CodeUnavailable, errors.New("another leader's entry replaced the proposal")))
		return
	}
	p.finish(value, nil)
}

func (r *Replica) failProposals(cause error) {
	for _, p := range r.waiting {
		p.finish(nil, mayHaveRun(cause))
	}
	clear(r.waiting)
}

// ReadBarrier returns nil once it is certain that no other member has been elected before the call, and the
// state machine has applied everything that was committed before the call. Errors carry the
// verdict NotRun.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	result := make(chan error, 1)
	full := false
	err := r.enqueue(func(in *inputs) {
		full = len(in.confirms) >= maxConfirms
		if !full {
			in.confirms = append(in.confirms, result)
		}
	})
	if err != nil {
		return notRun(verdict.CodeShutdown, err)
	}
	if full {
		return notRun(verdict.CodeTooBusy, errors.New("too many confirmed reads are waiting"))
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return notRun(verdict.CodeUnavailable, ctx.Err())
	}
}

// startConfirms passes all waiting callers to consensus as one read. Under a lease they only wait until
// everything that is committed has been applied.
func (r *Replica) startConfirms(callers []chan error) {
	if len(callers) == 0 {
		return
	}
	r.nextRead++
	if r.leased() {
		r.reads[r.nextRead] = callers
		r.confirmed = append(r.confirmed, consensus.Read{ID: r.nextRead, Index: r.node.Status().Commit})
		return
	}
	if err := r.node.ReadIndex(r.nextRead); err != nil {
		r.answer(r.nextRead, callers, notRun(verdict.CodeUnavailable, err))
		return
	}
	r.reads[r.nextRead] = callers
}

// answerReads answers the confirmed reads whose index is applied.
func (r *Replica) answerReads(ready consensus.Ready) {
	for _, id := range ready.FailedReads {
		r.answer(id, r.reads[id], notRun(verdict.CodeUnavailable, consensus.ErrNotLeader))
	}
	r.confirmed = append(r.confirmed, ready.Reads...)
	var later []consensus.Read
	for _, read := range r.confirmed {
		if read.Index > r.applied {
			later = append(later, read)
			continue
		}
		r.answer(read.ID, r.reads[read.ID], nil)
	}
	r.confirmed = later
}

func (r *Replica) answer(id uint64, callers []chan error, err error) {
	for _, c := range callers {
		c <- err
	}
	delete(r.reads, id)
}

// TransferLeadership hands leadership to another voter and returns once this member no longer leads.
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
