// Package consensus implements a replicated log with the Raft protocol, including pre-vote, learners,
// single-member membership changes, leadership transfer and leader leases.
//
// A Node is a deterministic state machine: it does no I/O, starts no goroutine and reads no clock. A
// driver passes input to it through Step, Tick, Propose, ConfirmRead and the membership changes, and
// carries out the work that Ready returns. A Node must be used by one goroutine at a time, and no input
// may be passed between a call of Ready and the following call of Advance.
package consensus

import (
	"fmt"
	"math/rand/v2"
)

// Config holds a member's identity and its persisted state.
type Config struct {
	ID       uint64    // must not be 0
	Seed     uint64    // for the random election timeouts
	Hard     HardState // zero for a new member
	Snapshot Snapshot  // zero for a member that is yet to be added to the group by a leader
	Entries  []Entry   // persisted entries after Snapshot.Index, without gaps
}

// Node is the protocol state of one member.
type Node struct {
	id       uint64
	rng      *rand.Rand
	term     uint64
	vote     uint64
	role     Role
	leader   uint64
	log      entryLog
	snapshot Snapshot // latest

	members      []Member
	membersIndex uint64 // index of the entry or snapshot that holds members

	elapsed     int // ticks since the election timer was reset
	timeout     int // randomized election timeout, in ticks
	sinceLeader int // ticks since the last message from a leader of the current term, up to ElectionMaxTicks
	started     int // ticks since New, up to LeaseTicks
	votes       map[uint64]bool
	force       bool // the current campaign is part of a leadership transfer

	progress       map[uint64]*progress // leader only
	heartbeatTicks int
	transferTo     uint64 // member that leadership is being transferred to; 0 if none
	transferTicks  int
	transferred    bool // a transfer was attempted in this term

	round   uint64   // last heartbeat round
	waiting []uint64 // reads without a heartbeat round
	reads   []pendingRead

	messages     []Message
	confirmed    []Read
	failed       []uint64
	install      *Snapshot // received from the leader, not yet returned by Ready
	savedHard    HardState // as last persisted by the driver
	handed       Ready     // returned by the last Ready, until Advance
	handedActive bool
}

// New returns a follower that resumes from the persisted state.
func New(cfg Config) (*Node, error) {
	if cfg.ID == 0 {
		return nil, fmt.Errorf("member id 0 is reserved")
	}
	n := &Node{
		id:          cfg.ID,
		rng:         rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		term:        cfg.Hard.Term,
		vote:        cfg.Hard.Vote,
		snapshot:    cfg.Snapshot,
		sinceLeader: ElectionMaxTicks,
		savedHard:   cfg.Hard,
	}
	if cfg.Hard.Term <= cfg.Snapshot.Term && len(cfg.Entries) == 0 {
		n.started = LeaseTicks // this member has never received a message from a leader
	}
	n.log.reset(cfg.Snapshot.Index, cfg.Snapshot.Term)
	for i, e := range cfg.Entries {
		if e.Index != cfg.Snapshot.Index+uint64(i)+1 {
			return nil, fmt.Errorf("gap in the persisted log: entry %d follows entry %d", e.Index, n.log.last()+uint64(i))
		}
	}
	n.log.append(cfg.Entries...)
	n.log.stable = n.log.last()
	n.log.commit = min(max(cfg.Snapshot.Index, cfg.Hard.Commit), n.log.last())
	if last := n.log.lastTerm(); n.term < last {
		return nil, fmt.Errorf("persisted log ends in term %d, but the persisted hard state is of term %d", last, n.term)
	}
	n.reloadMembers()
	n.resetElectionTimer()
	return n, nil
}

// Status returns a summary of the node. The caller must not modify Members.
func (n *Node) Status() Status {
	return Status{
		ID: n.id, Role: n.role, Term: n.term, Leader: n.leader, Commit: n.log.commit,
		Applied: n.log.applied, Last: n.log.last(), Members: n.members,
	}
}

// Tick advances the node's time by TickMillis.
func (n *Node) Tick() {
	n.sinceLeader = min(n.sinceLeader+1, ElectionMaxTicks)
	n.started = min(n.started+1, LeaseTicks)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.elapsed++
	alone := n.isVoter(n.id) && n.quorum() == 1
	if alone || n.elapsed >= n.timeout && n.mayCampaign() {
		n.campaign(PreCandidate)
	}
}

// Propose appends data to the leader's log. The proposal was committed if the entry that is applied at
// the returned index has the returned term; otherwise another entry has replaced it.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.transferTo != 0 {
		return 0, 0, ErrTransferring
	}
	if len(data) > MaxEntryBytes {
		return 0, 0, ErrTooLarge
	}
	n.appendOwn(Entry{Kind: EntryData, Data: data})
	return n.log.last(), n.term, nil
}

// Ready returns the pending work. Advance must be called once it is done.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.startReadRound()
		n.replicateAll()
	}
	r := Ready{
		Snapshot:    n.install,
		Entries:     n.unstable(),
		Messages:    n.messages,
		Committed:   n.log.slice(n.log.applied+1, n.log.commit),
		Reads:       n.confirmed,
		FailedReads: n.failed,
	}
	hard := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	changed := hard.Term != n.savedHard.Term || hard.Vote != n.savedHard.Vote
	// A change of the commit index alone does not need a disk write: a restarted member learns it
	// again from the leader. It is persisted with the next write.
	if changed || len(r.Entries) > 0 || r.Snapshot != nil {
		r.Hard = &hard
	}
	n.handed = r
	n.handedActive = true
	return r
}

// Advance tells the node that the work of the last Ready is done.
func (n *Node) Advance() {
	if !n.handedActive {
		return
	}
	r := n.handed
	n.handed = Ready{}
	n.handedActive = false
	n.messages = nil
	n.confirmed = nil
	n.failed = nil
	n.install = nil
	if r.Hard != nil {
		n.savedHard = *r.Hard
	}
	if k := len(r.Committed); k > 0 {
		n.log.applied = r.Committed[k-1].Index
	}
	if k := len(r.Entries); k > 0 {
		n.log.stable = r.Entries[k-1].Index
	}
	if n.role == Leader {
		n.advanceOwnMatch()
	}
}

// unstable returns the entries that are not persisted yet.
func (n *Node) unstable() []Entry {
	entries := n.log.entries[n.log.stable-n.log.baseIndex:]
	return entries[:len(entries):len(entries)]
}

func (n *Node) send(m Message) {
	m.From = n.id
	m.Term = n.term
	n.messages = append(n.messages, m)
}
