package replica

import (
	"errors"
	"fmt"
	"slices"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/wal"
)

// helloTicks is the interval, in ticks, at which a founder or a leader sends hellos to the initial hosts
// that aren't members.
const helloTicks = 10

const (
	foundingIndex = 1
	foundingTerm  = 1
)

// founding is the state of a host that is trying to found a group.
type founding struct {
	free map[string]bool // by address: initial hosts that have answered that they belong to no group
}

// beginFounding starts to found a group. It founds the group immediately if there are no other initial
// hosts.
func (r *Replica) beginFounding() error {
	r.founding = &founding{free: map[string]bool{}}
	if err := r.foundIfFree(); err != nil {
		return err
	}
	r.publish()
	return nil
}

// joined reports whether this host belongs, or has belonged, to a group.
func (r *Replica) joined() bool { return len(r.node.Status().Members) > 0 }

// foundIfFree founds the group once all other initial hosts have answered that they belong to none. The
// group starts with this member alone, which becomes its leader and then adds the others.
func (r *Replica) foundIfFree() error {
	if r.founding == nil {
		return nil
	}
	for _, addr := range r.cfg.Initial {
		if addr != r.cfg.Addr && !r.founding.free[addr] {
			return nil
		}
	}
	r.founding = nil
	data, err := r.sm.Snapshot()
	if err != nil {
		return fmt.Errorf("take the initial snapshot: %w", err)
	}
	s := consensus.Snapshot{
		Index: foundingIndex, Term: foundingTerm, Data: data,
		Members: []Member{{ID: r.id, Addr: r.cfg.Addr}},
	}
	hard := consensus.HardState{Term: foundingTerm, Commit: foundingIndex}
	if err := r.log.Install(s, hard); err != nil {
		return err
	}
	return r.newNode(wal.State{Hard: hard, Snapshot: s})
}

// sendHellos asks the initial hosts that aren't members whether they belong to a group, so that a
// founder can found one and a leader can add them.
func (r *Replica) sendHellos() {
	status := r.node.Status()
	if r.founding == nil && status.Role != consensus.Leader {
		return
	}
	for _, addr := range r.cfg.Initial {
		if addr != r.cfg.Addr && !hasAddress(status.Members, addr) {
			r.sendEnvelope(Member{Addr: addr}, envelope{Hello: helloAsk})
		}
	}
}

func hasAddress(members []Member, addr string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Addr == addr })
}

func (r *Replica) handleHello(e envelope) error {
	switch e.Hello {
	case helloJoin:
		r.handleJoin(e)
		return nil
	case helloRefer:
		r.handleReferral(e)
		return nil
	}
	if e.Hello == helloAsk {
		answer := envelope{Hello: helloAnswer, Joined: r.joined(), Founding: r.founding != nil}
		r.sendEnvelope(e.From, answer)
		return nil
	}
	if !slices.Contains(r.cfg.Initial, e.From.Addr) || e.From.Addr == r.cfg.Addr {
		return nil
	}
	if r.founding != nil {
		return r.handleFoundingAnswer(e)
	}
	if e.Joined || r.node.Status().Role != consensus.Leader {
		return nil
	}
	_, _, err := r.node.AddLearner(Member{ID: e.From.ID, Addr: e.From.Addr})
	if err != nil && !errors.Is(err, consensus.ErrChangePending) && !errors.Is(err, consensus.ErrMemberExists) {
		_ = r.cfg.Logger.Log("msg", "host not added", "addr", e.From.Addr, "err", err)
	}
	return nil
}

// handleFoundingAnswer records that the sender belongs to no group. It stops founding if the sender
// belongs to one, or is trying to found one and has the lower address: of several founders, the one with
// the lowest address proceeds.
func (r *Replica) handleFoundingAnswer(e envelope) error {
	if e.Joined || e.Founding && e.From.Addr < r.cfg.Addr {
		r.founding = nil
		return nil
	}
	r.founding.free[e.From.Addr] = true
	return r.foundIfFree()
}
