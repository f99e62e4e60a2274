package replica

import (
	"errors"
	"fmt"
	"slices"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/wal"
)

// discoveryTicks is the interval, in ticks, between two rounds of discovery: a bootstrapping host or a leader
// queries the initial hosts that aren't members, other hosts ask to be added if needed, and the leader looks
// for silent members. A member counts as answering if it has been in contact within one interval.
const discoveryTicks = 10

const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// bootstrap is the state of a host that is trying to bootstrap a group.
type bootstrap struct {
	neverJoined map[string]bool // by address: initial hosts that have answered that they have never belonged to a group
}

// beginBootstrap starts to bootstrap a group. It creates the group immediately if there are no other
// initial hosts.
func (r *Replica) beginBootstrap() error {
	r.bootstrap = &bootstrap{neverJoined: map[string]bool{}}
	if err := r.bootstrapIfReady(); err != nil {
		return err
	}
	r.publish()
	return nil
}

// joined reports whether this host belongs, or has belonged, to a group.
func (r *Replica) joined() bool { return len(r.node.Status().Members) > 0 }

// bootstrapIfReady creates the group once all other initial hosts have answered that they have never
// belonged to one. The group starts with this member alone, which becomes its leader and then adds the
// others.
func (r *Replica) bootstrapIfReady() error {
	if r.bootstrap == nil {
		return nil
	}
	for _, addr := range r.cfg.Initial {
		if addr != r.cfg.Addr && !r.bootstrap.neverJoined[addr] {
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

// sendDiscoveryQueries asks the initial hosts that aren't members whether they have ever belonged to a
// group, so that a bootstrapping host can create the group and a leader can add them.
func (r *Replica) sendDiscoveryQueries() {
	status := r.node.Status()
	if r.bootstrap == nil && status.Role != consensus.Leader {
		return
	}
	for _, addr := range r.cfg.Initial {
		if addr != r.cfg.Addr && !hasAddress(status.Members, addr) {
			r.sendEnvelope(Member{Addr: addr}, envelope{Discovery: discoveryQuery})
		}
	}
}

func hasAddress(members []Member, addr string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Addr == addr })
}

// handleDiscovery handles a discovery message. If an initial host answers that it has never belonged to a
// group, the leader adds it.
func (r *Replica) handleDiscovery(e envelope) error {
	switch e.Discovery {
	case discoveryJoin:
		r.handleJoin(e)
		return nil
	case discoveryRedirect:
		r.handleRedirect(e)
		return nil
	}
	if e.Discovery == discoveryQuery {
		answer := envelope{Discovery: discoveryReply, Joined: r.joined(), Bootstrapping: r.bootstrap != nil}
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

// handleBootstrapReply handles a reply to this bootstrapping host. The host abandons its bootstrap if the sender
// has belonged to a group, or is bootstrapping too and has the lower address: of several bootstrapping hosts, the
// one with the lowest address proceeds. Otherwise it records that the sender has never belonged to a group.
func (r *Replica) handleBootstrapReply(e envelope) error {
	if e.Joined || e.Bootstrapping && e.From.Addr < r.cfg.Addr {
		r.bootstrap = nil
		return nil
	}
	r.bootstrap.neverJoined[e.From.Addr] = true
	return r.bootstrapIfReady()
}
