package replica

import (
	"errors"
	"fmt"
	"slices"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/wal"
)

// probeTicks is the interval, in ticks, at which a bootstrapping host or a leader probes the initial hosts
// that aren't members.
const probeTicks = 10

const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// bootstrap is the state of a host that is trying to bootstrap a group.
type bootstrap struct {
	unaffiliated map[string]bool // by address: initial hosts that have answered that they belong to no group
}

// beginBootstrap starts to bootstrap a group. It creates the group immediately if there are no other
// initial hosts.
func (r *Replica) beginBootstrap() error {
	r.bootstrap = &bootstrap{unaffiliated: map[string]bool{}}
	if err := r.bootstrapIfReady(); err != nil {
		return err
	}
	r.publish()
	return nil
}

// joined reports whether this host belongs, or has belonged, to a group.
func (r *Replica) joined() bool { return len(r.node.Status().Members) > 0 }

// bootstrapIfReady creates the group once all other initial hosts have answered that they belong to none.
// The group starts with this member alone, which becomes its leader and then adds the others.
func (r *Replica) bootstrapIfReady() error {
	if r.bootstrap == nil {
		return nil
	}
	for _, addr := range r.cfg.Initial {
		if addr != r.cfg.Addr && !r.bootstrap.unaffiliated[addr] {
			return nil
		}
	}
	r.bootstrap = nil
	data, err := r.sm.Snapshot()
	if err != nil {
		return fmt.Errorf("take the initial snapshot: %w", err)
	}
	s := consensus.Snapshot{
		Index: bootstrapIndex, Term: bootstrapTerm, Data: data,
		Members: []Member{{ID: r.id, Addr: r.cfg.Addr}},
	}
	hard := consensus.HardState{Term: bootstrapTerm, Commit: bootstrapIndex}
	if err := r.log.Install(s, hard); err != nil {
		return err
	}
	return r.newNode(wal.State{Hard: hard, Snapshot: s})
}

// sendProbes asks the initial hosts that aren't members whether they belong to a group, so that a
// bootstrapping host can create the group and a leader can add them.
func (r *Replica) sendProbes() {
	status := r.node.Status()
	if r.bootstrap == nil && status.Role != consensus.Leader {
		return
	}
	for _, addr := range r.cfg.Initial {
		if addr != r.cfg.Addr && !hasAddress(status.Members, addr) {
			r.sendEnvelope(Member{Addr: addr}, envelope{Probe: probeQuery})
		}
	}
}

func hasAddress(members []Member, addr string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Addr == addr })
}

// handleProbe handles a probe. A leader adds an initial host that replies that it belongs to no group.
func (r *Replica) handleProbe(e envelope) error {
	switch e.Probe {
	case probeJoin:
		r.handleJoin(e)
		return nil
	case probeRedirect:
		r.handleRedirect(e)
		return nil
	}
	if e.Probe == probeQuery {
		answer := envelope{Probe: probeReply, Joined: r.joined(), Bootstrapping: r.bootstrap != nil}
		r.sendEnvelope(e.From, answer)
		return nil
	}
	if !slices.Contains(r.cfg.Initial, e.From.Addr) || e.From.Addr == r.cfg.Addr {
		return nil
	}
	if r.bootstrap != nil {
		return r.handleBootstrapReply(e)
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

// handleBootstrapReply records that the sender belongs to no group. It ends the bootstrap if the sender
// belongs to one, or is also bootstrapping and has the lower address: of several bootstrapping hosts, the
// one with the lowest address proceeds.
func (r *Replica) handleBootstrapReply(e envelope) error {
	if e.Joined || e.Bootstrapping && e.From.Addr < r.cfg.Addr {
		r.bootstrap = nil
		return nil
	}
	r.bootstrap.unaffiliated[e.From.Addr] = true
	return r.bootstrapIfReady()
}
