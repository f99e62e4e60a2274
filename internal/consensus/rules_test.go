package consensus

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// newMember returns member 1 of a group of the given size, whose log holds an entry of each of entryTerms
// after the bootstrap snapshot at index 1.
func newMember(t *testing.T, size int, term uint64, entryTerms ...uint64) *Node {
	t.Helper()
	var members []Member
	for id := 1; id <= size; id++ {
		members = append(members, Member{ID: uint64(id), Addr: fmt.Sprint("addr-", id)})
	}
	cfg := Config{ID: 1, Seed: 1, Hard: HardState{Term: term}, Snapshot: Snapshot{Index: 1, Term: 1, Members: members}}
	for i, entryTerm := range entryTerms {
		cfg.Entries = append(cfg.Entries, Entry{Index: uint64(i) + 2, Term: entryTerm})
	}
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// drain carries out all pending work of the node and returns the messages that it sends.
func drain(n *Node) []Message {
	var sent []Message
	for {
		r := n.Ready()
		sent = append(sent, r.Messages...)
		n.Advance()
		if r.Empty() {
			return sent
		}
	}
}

// Guards against committing an entry of an earlier term by counting replicas. A later leader may replace
// such an entry even if a quorum holds it, as member 5 does in the scenario of figure 8 of the Raft paper;
// a committed entry of the leader's own term rules that out.
func TestEarlierTermNotCommittedByCounting(t *testing.T) {
	is := is.New(t)
	n := newMember(t, 5, 2, 2) // entry 2 of term 2; another member's entry 2 has term 3
	for range LeaseTicks {
		n.Tick() // a restarted member ignores vote requests for LeaseTicks
	}
	is.NoErr(n.Step(Message{Kind: MsgVote, From: 5, To: 1, Term: 3, Index: 1, LogTerm: 1}))
	for n.Status().Role != PreCandidate {
		n.Tick()
	}
	for _, from := range []uint64{2, 3} {
		is.NoErr(n.Step(Message{Kind: MsgPreVoteReply, From: from, To: 1, Term: 3}))
	}
	for _, from := range []uint64{2, 3} {
		is.NoErr(n.Step(Message{Kind: MsgVoteReply, From: from, To: 1, Term: 4}))
	}
	is.Equal(n.Status().Role, Leader)
	is.Equal(n.Status().Term, uint64(4))
	drain(n)
	for _, from := range []uint64{2, 3} { // members 1, 2 and 3 hold entry 2 of term 2
		is.NoErr(n.Step(Message{Kind: MsgAppendReply, From: from, To: 1, Term: 4, Index: 2}))
	}
	drain(n)
	is.Equal(n.Status().Commit, uint64(1))
	for _, from := range []uint64{2, 3} { // now they also hold entry 3 of term 4
		is.NoErr(n.Step(Message{Kind: MsgAppendReply, From: from, To: 1, Term: 4, Index: 3}))
	}
	drain(n)
	is.Equal(n.Status().Commit, uint64(3))
}

// Guards against a vote for a candidate whose log lacks entries that may be committed. The pre-vote
// normally stops such a candidate, but a leadership transfer skips the pre-vote.
func TestVoteRefusedForStaleLog(t *testing.T) {
	cases := []struct {
		name           string
		index, logTerm uint64
		granted        bool
	}{
		{"older last term, longer log", 9, 2, false},
		{"same last term, shorter log", 2, 3, false},
		{"same log", 3, 3, true},
		{"later last term, shorter log", 2, 4, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newMember(t, 3, 4, 2, 3)
			is.NoErr(n.Step(Message{Kind: MsgVote, From: 2, To: 1, Term: 5, Index: c.index, LogTerm: c.logTerm, Force: true}))
			sent := drain(n)
			is.Equal(len(sent), 1)
			is.Equal(sent[0].Kind, MsgVoteReply)
			is.Equal(sent[0].Term, uint64(5)) // the later term is adopted even if the vote is refused
			is.Equal(sent[0].Reject, !c.granted)
		})
	}
}

// Guards against a member whose log ends at its snapshot and that grants a vote right after its restart, although it may have
// acknowledged a heartbeat of the term of that snapshot just before: the leader's read lease may still be valid.
func TestNoVoteRightAfterSnapshot(t *testing.T) {
	is := is.New(t)
	for _, snapshot := range []Snapshot{{Index: 40, Term: 3}, {Index: 1, Term: 1}} {
		snapshot.Members = []Member{{ID: 1, Addr: "a"}, {ID: 2, Addr: "b"}, {ID: 3, Addr: "c"}}
		n, err := New(Config{ID: 1, Seed: 1, Hard: HardState{Term: snapshot.Term}, Snapshot: snapshot})
		is.NoErr(err)
		is.NoErr(n.Step(Message{Kind: MsgVote, From: 2, To: 1, Term: snapshot.Term + 1, Index: 50, LogTerm: snapshot.Term}))
		granted := len(drain(n)) > 0
		is.Equal(granted, snapshot.Index == 1) // after its bootstrap a member has had no leader
	}
}

// Guards against a member that grants a vote right after its restart, although it may have acknowledged a
// heartbeat of another leader, and thereby extended its lease, just before.
func TestRestartedMemberIgnoresVoteRequests(t *testing.T) {
	is := is.New(t)
	n := newMember(t, 3, 2, 2)
	vote := Message{Kind: MsgVote, From: 2, To: 1, Term: 3, Index: 9, LogTerm: 2}
	for range LeaseTicks - 1 {
		n.Tick()
		is.NoErr(n.Step(vote))
		is.Equal(len(drain(n)), 0)
	}
	n.Tick()
	is.NoErr(n.Step(vote))
	sent := drain(n)
	is.Equal(len(sent), 1)
	is.True(!sent[0].Reject)
}

// newLeader returns the leader of three members in term 3. Its no-op entry, at index 3, is not committed.
func newLeader(t *testing.T) *Node {
	t.Helper()
	n := newMember(t, 3, 2, 2)
	for n.Status().Role != PreCandidate {
		n.Tick()
	}
	for _, kind := range []MessageKind{MsgPreVoteReply, MsgVoteReply} {
		if err := n.Step(Message{Kind: kind, From: 2, To: 1, Term: n.Status().Term}); err != nil {
			t.Fatal(err)
		}
	}
	drain(n)
	if n.Status().Role != Leader {
		t.Fatalf("role is %s, want leader", n.Status().Role)
	}
	return n
}

// Guards against a ConfirmedRound, on which leader leases are based, that no quorum has acknowledged, that
// is from before the leader has committed an entry in its term, or that is returned after an attempted
// leadership transfer.
func TestConfirmedRound(t *testing.T) {
	is := is.New(t)
	n := newLeader(t)
	ackHeartbeat := func() {
		is.NoErr(n.Step(Message{Kind: MsgHeartbeatReply, From: 2, To: 1, Term: n.Status().Term, Round: n.HeartbeatRound()}))
		drain(n)
	}
	for range HeartbeatTicks {
		n.Tick()
	}
	ackHeartbeat()
	is.Equal(n.ConfirmedRound(), uint64(0)) // nothing is committed in this term
	is.NoErr(n.Step(Message{Kind: MsgAppendReply, From: 2, To: 1, Term: n.Status().Term, Index: n.Status().Last}))
	drain(n)
	firstRound := n.HeartbeatRound()
	is.Equal(n.ConfirmedRound(), firstRound)
	for range HeartbeatTicks {
		n.Tick()
	}
	is.True(n.HeartbeatRound() > firstRound)
	is.Equal(n.ConfirmedRound(), firstRound) // the new round is not acknowledged yet
	ackHeartbeat()
	is.Equal(n.ConfirmedRound(), n.HeartbeatRound())
	is.NoErr(n.TransferLeadership())
	is.Equal(n.ConfirmedRound(), uint64(0))
	for range 2 * ElectionMinTicks { // the transfer has failed
		n.Tick()
		ackHeartbeat()
	}
	is.Equal(n.Status().Role, Leader)
	is.Equal(n.ConfirmedRound(), uint64(0))
}
