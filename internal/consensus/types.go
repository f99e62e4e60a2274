package consensus

import "errors"

// Protocol timing, in ticks of TickMillis.
const (
	// TickMillis is the length of one tick in milliseconds.
	TickMillis = 50
	// HeartbeatTicks is the interval between heartbeats of a leader.
	HeartbeatTicks = 2
	// ElectionMinTicks is the shortest election timeout. A follower that received a message from the
	// leader within this number of ticks ignores vote requests, and a leader that received no reply from a
	// quorum for this time steps down.
	ElectionMinTicks = 8
	// LeaseTicks is the duration of a leader lease, counted from the moment the leader sent a heartbeat
	// that a quorum acknowledged. The first tick that a voter counts may come right after a message from the
	// leader, so ElectionMinTicks ticks last at least the length of ElectionMinTicks-1. For that long, voters
	// ignore vote requests after a message from the leader. After a restart they ignore them for LeaseTicks,
	// since they may have acknowledged a heartbeat just before it.
	LeaseTicks = 5
	// ElectionMaxTicks is the longest election timeout.
	ElectionMaxTicks = 16
)

const (
	// MaxEntryBytes limits the data of one entry. A deployment with several thousand routes fits.
	MaxEntryBytes = 1 << 20
	// MaxAppendBytes limits the total size of the entries in one message or one Ready. A single entry
	// may exceed it.
	MaxAppendBytes = 512 << 10
	maxInflight    = 16 // unacknowledged append messages per member
	// snapshotRetryTicks is the time after which an unacknowledged snapshot is sent again.
	snapshotRetryTicks = 40
	// maxPromotionLag is the largest lag behind the commit index at which a learner is promoted.
	maxPromotionLag = 16
	// activeQuorumTicks is the time within which a quorum of a proposed membership must have replied.
	// It tolerates one lost heartbeat. With a longer time, a member that has just failed could be
	// counted towards a quorum that can no longer be reached.
	activeQuorumTicks = 2*HeartbeatTicks + 1
	// entryOverheadBytes estimates the encoded size of an entry without its data, and of a Member.
	entryOverheadBytes = 32
)

// Errors returned by the methods of a Node.
var (
	ErrNotLeader     = errors.New("this member is not the leader")
	ErrTransferring  = errors.New("leadership is being transferred")
	ErrTooLarge      = errors.New("proposal exceeds the size limit")
	ErrChangePending = errors.New("a membership change is in progress, or the leader has not committed an entry of its term yet")
	ErrMemberExists  = errors.New("a member with this id or address already exists")
	ErrUnknownMember = errors.New("no member has this id")
	ErrQuorumAtRisk  = errors.New("the remaining reachable voters would not form a quorum")
	ErrWrongMember   = errors.New("message is addressed to another member")
	ErrMalformed     = errors.New("malformed message")
	ErrConflict      = errors.New("message contradicts the state of this member")
)

// Member is one member of the consensus group. IDs are random and never reused: a host that lost its disk
// joins under a new ID.
type Member struct {
	ID      uint64 `cbor:"1,keyasint"`
	Addr    string `cbor:"2,keyasint"`
	Learner bool   `cbor:"3,keyasint,omitempty"` // replicates the log but does not vote
}

// EntryKind is the type of an Entry's content.
type EntryKind uint8

// Entry kinds.
const (
	EntryData       EntryKind = iota // a proposal for the state machine
	EntryNoOp                        // a no-op, appended by each new leader
	EntryMembership                  // a membership change; holds the complete new membership
)

// Entry is one entry of the replicated log. Indexes start at 1.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members []Member  `cbor:"5,keyasint,omitempty"` // for EntryMembership
}

func (e Entry) size() int {
	return len(e.Data) + len(e.Members)*entryOverheadBytes + entryOverheadBytes
}

// HardState is the state of a member that must survive restarts, apart from its log and snapshot.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   uint64 `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"` // a lower bound of the commit index
}

// Snapshot is the state of the state machine, and the membership, after the entry at Index.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint,omitempty"`
}

// MessageKind is the type of a Message.
type MessageKind uint8

// Message kinds.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot   // answered by MsgAppendReply
	MsgTimeoutNow // tells the receiver to start an election immediately
)

// Message is a protocol message between two members. The handler of each kind documents how it uses
// Index.
type Message struct {
	Kind     MessageKind `cbor:"1,keyasint"`
	From     uint64      `cbor:"2,keyasint"`
	To       uint64      `cbor:"3,keyasint"`
	Term     uint64      `cbor:"4,keyasint"` // current term of the sender
	Index    uint64      `cbor:"5,keyasint,omitempty"`
	LogTerm  uint64      `cbor:"6,keyasint,omitempty"` // term of the entry at Index
	Commit   uint64      `cbor:"7,keyasint,omitempty"`
	Hint     uint64      `cbor:"8,keyasint,omitempty"`  // in a reply that rejects an append: highest index at which the logs may agree
	Round    uint64      `cbor:"9,keyasint,omitempty"`  // heartbeat round
	Reject   bool        `cbor:"10,keyasint,omitempty"` // in replies
	Force    bool        `cbor:"11,keyasint,omitempty"` // in vote requests: part of a leadership transfer
	Entries  []Entry     `cbor:"12,keyasint,omitempty"`
	Snapshot *Snapshot   `cbor:"13,keyasint,omitempty"`
}

// Read is a read request for which a quorum has confirmed that this member was still the leader after
// the request arrived. The read is linearizable once the state machine has applied Index.
type Read struct {
	ID    uint64
	Index uint64
}

// Ready holds the pending work of a Node. The driver persists Snapshot, then Hard and Entries, and
// syncs them; it then sends Messages, applies Committed, answers the reads and calls Advance. The state
// machine must be restored from Snapshot before Committed is applied.
type Ready struct {
	Snapshot    *Snapshot  // replaces the state machine and the log; nil if none was received
	Hard        *HardState // nil if unchanged
	Entries     []Entry    // replace all persisted entries from Entries[0].Index on
	Messages    []Message
	Committed   []Entry
	Reads       []Read
	FailedReads []uint64 // IDs of reads that were pending when the leader lost its leadership
}

// Empty reports whether there is no work to do.
func (r Ready) Empty() bool {
	return r.Snapshot == nil && r.Hard == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.FailedReads) == 0
}

// Role is the role of a member in the current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "unknown"
	}
}

// Status is a summary of a Node.
type Status struct {
	ID      uint64
	Role    Role
	Term    uint64
	Leader  uint64 // 0 if unknown
	Commit  uint64
	Applied uint64
	Last    uint64 // index of the last log entry
	Members []Member
}
