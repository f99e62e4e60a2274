package consensus

import "errors"

// Timing of the protocol, in ticks of TickMillis.
const (
	// TickMillis is the length of one tick in milliseconds.
	TickMillis = 50
	// HeartbeatTicks is the interval between heartbeats of a leader.
	HeartbeatTicks = 2
	// ElectionMinTicks is the shortest election timeout. A follower that heard from a leader within
	// this time ignores vote requests, and a leader that didn't hear from a quorum for this time
	// steps down.
	ElectionMinTicks = 8
	// LeaseTicks is how long a leader may rely on the answers of a quorum to a heartbeat, from the moment it
	// sent it. Voters ignore vote requests for at least ElectionMinTicks-1 ticks after they have heard from
	// a leader, and for LeaseTicks after their start, since they may have heard from one before.
	LeaseTicks = 5
	// ElectionMaxTicks is the longest election timeout.
	ElectionMaxTicks = 16
)

const (
	// MaxEntryBytes bounds the data of one entry. It leaves room for a deployment of some thousand routes.
	MaxEntryBytes = 1 << 20
	// MaxAppendBytes bounds the data of all entries in one message or one Ready, except that a
	// single entry is always allowed.
	MaxAppendBytes = 512 << 10
	maxInflight    = 16 // unacknowledged append messages per member
	// snapshotRetryTicks is the time after which an unacknowledged snapshot is sent again.
	snapshotRetryTicks = 40
	// promoteLagEntries is how far a learner may be behind the commit index when it is promoted.
	promoteLagEntries = 16
	// changeContactTicks is how recently the quorum of a new membership must have replied. It leaves
	// room for one lost heartbeat. A longer time would let a member that just died become part of a
	// quorum that can't form any more.
	changeContactTicks = 2*HeartbeatTicks + 1
	entryOverheadBytes = 32
)

// The errors of calls into a Node.
var (
	ErrNotLeader     = errors.New("this member is not the leader")
	ErrTransferring  = errors.New("leadership is being transferred")
	ErrTooLarge      = errors.New("proposal exceeds the size limit")
	ErrChangePending = errors.New("another membership change is in progress, or the leader is new")
	ErrMemberExists  = errors.New("a member with this id or address exists")
	ErrUnknownMember = errors.New("no member has this id")
	ErrQuorumAtRisk  = errors.New("too few reachable voters would remain")
	ErrWrongMember   = errors.New("message is addressed to another member")
	ErrMalformed     = errors.New("malformed message")
	ErrConflict      = errors.New("message contradicts committed state")
)

// Member identifies one participant. IDs are random and never reused: a host that lost its disk
// joins under a new id.
type Member struct {
	ID      uint64 `cbor:"1,keyasint"`
	Addr    string `cbor:"2,keyasint"`
	Learner bool   `cbor:"3,keyasint,omitempty"` // receives the log, has no vote
}

// EntryKind says what an Entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	EntryData    EntryKind = iota // a proposal for the state machine
	EntryEmpty                    // appended by each new leader
	EntryMembers                  // the complete new membership
)

// Entry is one position of the replicated log. Indexes start at 1.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members []Member  `cbor:"5,keyasint,omitempty"` // for EntryMembers
}

func (e Entry) size() int {
	return len(e.Data) + len(e.Members)*entryOverheadBytes + entryOverheadBytes
}

// HardState is the part of a member's state, besides log and snapshot, that must survive restarts.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   uint64 `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"` // may be lower than the true commit index
}

// Snapshot is the state machine's state after the entry at Index.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint,omitempty"`
}

// MessageKind says what a Message asks or answers.
type MessageKind uint8

// The kinds of messages.
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
	MsgTimeoutNow // asks the receiver to start an election at once
)

// Message is exchanged between members.
type Message struct {
	Kind     MessageKind `cbor:"1,keyasint"`
	From     uint64      `cbor:"2,keyasint"`
	To       uint64      `cbor:"3,keyasint"`
	Term     uint64      `cbor:"4,keyasint"`           // current term of the sender
	Index    uint64      `cbor:"5,keyasint,omitempty"` // see each handler
	LogTerm  uint64      `cbor:"6,keyasint,omitempty"` // term of the entry at Index
	Commit   uint64      `cbor:"7,keyasint,omitempty"`
	Hint     uint64      `cbor:"8,keyasint,omitempty"`  // in a rejected append: where the logs may agree
	Round    uint64      `cbor:"9,keyasint,omitempty"`  // heartbeat round, for confirmed reads
	Reject   bool        `cbor:"10,keyasint,omitempty"` // in replies
	Force    bool        `cbor:"11,keyasint,omitempty"` // in votes: the leader asked for this election
	Entries  []Entry     `cbor:"12,keyasint,omitempty"`
	Snapshot *Snapshot   `cbor:"13,keyasint,omitempty"`
}

// Read is a confirmed read: the member was leader after the request arrived, and the state machine
// is current enough once it has applied Index.
type Read struct {
	ID    uint64
	Index uint64
}

// Ready holds the work that a Node has for its driver. The driver persists Snapshot, then Hard and
// Entries, syncs them, then sends Messages, applies Committed and answers reads, and then calls
// Advance. A state machine must be restored from Snapshot before Committed is applied.
type Ready struct {
	Snapshot    *Snapshot  // replaces state machine and log; nil if there is none
	Hard        *HardState // nil if unchanged
	Entries     []Entry    // replace persisted entries from Entries[0].Index on
	Messages    []Message
	Committed   []Entry
	Reads       []Read
	FailedReads []uint64 // request ids whose leader lost its leadership
}

// Empty reports whether there is no work.
func (r Ready) Empty() bool {
	return r.Snapshot == nil && r.Hard == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.FailedReads) == 0
}

// Role is a member's part in the current term.
type Role uint8

// The roles.
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
	Last    uint64
	Members []Member
}
