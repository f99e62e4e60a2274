// Package consensus implements a replicated log with the Raft protocol, including pre-vote, learners,
// single-member membership changes, leadership transfer and leader leases. Its members are control hosts;
// the targets of a service are not members, and the elections of this package elect a leader, not a primary.
//
// A Node is a deterministic state machine: it does no I/O, starts no goroutine and reads no clock. A
// driver passes input to it through Step, Tick, Propose, ReadIndex and the membership changes, and
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
	Snapshot Snapshot  // zero for a new member, which receives one after the leader has added it to the group
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

	electionElapsed  int             // ticks since the election timer was reset
	electionTimeout  int             // randomized election timeout, in ticks
	ticksSinceLeader int             // since the last message from a leader; at most ElectionMaxTicks
	ticksSinceStart  int             // since New; at most LeaseTicks
	votes            map[uint64]bool // IDs of the members that have granted their vote; nil unless campaigning
	transferCampaign bool            // the current campaign is part of a leadership transfer

	progress                map[uint64]*progress // leader only
	heartbeatElapsed        int                  // ticks since the last periodic heartbeat round
	transferee              uint64               // member that leadership is being transferred to; 0 if none
	ticksSinceTransferStart int                  // of leadership; meaningless without a transferee
	transferAttempted       bool                 // in this term

	heartbeatRound uint64   // last heartbeat round
	queuedReads    []uint64 // IDs of reads without a heartbeat round
	pendingReads   []pendingRead

	messages           []Message
	confirmedReads     []Read
	failedReads        []uint64
	receivedSnapshot   *Snapshot // received from the leader, not yet installed by the driver
	persistedHardState HardState // as last persisted by the driver
	outstandingReady   Ready     // returned by the last Ready, until Advance
	awaitingAdvance    bool
}

// New returns a follower that resumes from the persisted state.
func New(cfg Config) (*Node, error) {
	if cfg.ID == 0 {
		return nil, fmt.Errorf("member id 0 is reserved")
	}
	n := &Node{
		id:                 cfg.ID,
		rng:                rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		term:               cfg.Hard.Term,
		vote:               cfg.Hard.Vote,
		snapshot:           cfg.Snapshot,
		ticksSinceLeader:   ElectionMaxTicks,
		persistedHardState: cfg.Hard,
	}
	if cfg.Snapshot.Index <= 1 && cfg.Hard.Term <= cfg.Snapshot.Term && len(cfg.Entries) == 0 {
		n.ticksSinceStart = LeaseTicks // at most its bootstrap is on disk: this member has never received a message from a leader
	}
	n.log.reset(cfg.Snapshot.Index, cfg.Snapshot.Term)
	for i, e := range cfg.Entries {
		if e.Index != cfg.Snapshot.Index+uint64(i)+1 {
			return nil, fmt.Errorf("gap in the persisted log: entry %d follows entry %d", e.Index, n.log.last()+uint64(i))
		}
	}
	n.log.append(cfg.Entries...)
	n.log.persisted = n.log.last()
	n.log.commit = min(max(cfg.Snapshot.Index, cfg.Hard.Commit), n.log.last())
	if last := n.log.lastTerm(); n.term < last {
		return nil, fmt.Errorf("persisted log ends in term %d, but the persisted hard state is of term %d", last, n.term)
	}
	n.reloadMembers()
	n.startElectionTimer()
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
	n.ticksSinceLeader = min(n.ticksSinceLeader+1, ElectionMaxTicks)
	n.ticksSinceStart = min(n.ticksSinceStart+1, LeaseTicks)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.electionElapsed++
	onlyVoter := n.isVoter(n.id) && n.quorum() == 1
	if onlyVoter || n.electionElapsed >= n.electionTimeout && n.mayCampaign() {
		n.campaign(PreCandidate)
	}
}

// Propose appends data to the leader's log. The proposal was committed if the entry that is applied at the
// returned index has the returned term. If that entry has another term, it has replaced the proposal.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.transferee != 0 {
		return 0, 0, ErrTransferring
	}
	if len(data) > MaxEntryBytes {
		return 0, 0, ErrTooLarge
	}
	n.appendEntry(Entry{Kind: EntryData, Data: data})
	return n.log.last(), n.term, nil
}

// Ready returns the pending work. The driver must call Advance once it is done.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.startReadRound()
		n.replicateAll()
	}
	r := Ready{
		Snapshot:    n.receivedSnapshot,
		Entries:     n.unpersistedEntries(),
		Messages:    n.messages,
		Committed:   n.log.slice(n.log.applied+1, n.log.commit),
		Reads:       n.confirmedReads,
		FailedReads: n.failedReads,
	}
	hard := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	changed := hard.Term != n.persistedHardState.Term || hard.Vote != n.persistedHardState.Vote
	// A change of the commit index alone does not justify a disk write: a restarted member receives it
	// again from the leader. It is persisted with the next write.
	if changed || len(r.Entries) > 0 || r.Snapshot != nil {
		r.Hard = &hard
	}
	n.outstandingReady = r
	n.awaitingAdvance = true
	return r
}

// Advance tells the node that the work of the last Ready is done.
func (n *Node) Advance() {
	if !n.awaitingAdvance {
		return
	}
	r := n.outstandingReady
	n.outstandingReady = Ready{}
	n.awaitingAdvance = false
	n.messages = nil
	n.confirmedReads = nil
	n.failedReads = nil
	n.receivedSnapshot = nil
	if r.Hard != nil {
		n.persistedHardState = *r.Hard
	}
	if k := len(r.Committed); k > 0 {
		n.log.applied = r.Committed[k-1].Index
	}
	if k := len(r.Entries); k > 0 {
		n.log.persisted = r.Entries[k-1].Index
	}
	if n.role == Leader {
		n.advanceOwnMatch()
	}
}

// unpersistedEntries returns the entries that are not persisted yet.
func (n *Node) unpersistedEntries() []Entry {
	entries := n.log.entries[n.log.persisted-n.log.baseIndex:]
	return entries[:len(entries):len(entries)]
}

func (n *Node) send(m Message) {
	m.From = n.id
	m.Term = n.term
	n.messages = append(n.messages, m)
}
