package wire

import (
	"time"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
)

// HeldTarget describes a target lease that a host holds.
type HeldTarget struct {
	Target  string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
	Primary bool   `cbor:"3,keyasint,omitempty"` // the host may still be running work that needs the primary
}

// TargetHealth is a holder's report about the health of its target.
type TargetHealth struct {
	Target      string        `cbor:"1,keyasint"`
	SilentFor   time.Duration `cbor:"2,keyasint,omitempty"` // how long expected responses have been missing; 0 if none is overdue
	CommitStall time.Duration `cbor:"3,keyasint,omitempty"` // how long a commit has been waiting for replicas
	// HigherTerm is the term that the target reported, if it exceeds TargetGrant.Term; otherwise 0.
	HigherTerm uint64 `cbor:"4,keyasint,omitempty"`
}

// TargetGrant starts or renews the lease of a target. If a target is missing from the grants of a
// reply, its lease is no longer renewed: the holder starts no new work on the target and returns the
// lease once its running work has ended.
type TargetGrant struct {
	Target      string `cbor:"1,keyasint"`
	Epoch       uint64 `cbor:"2,keyasint"` // increases with each change of holder
	Service     string `cbor:"3,keyasint"`
	Addr        string `cbor:"4,keyasint"`
	Slots       int    `cbor:"5,keyasint"`
	Connections int    `cbor:"6,keyasint"` // maximum number of connections that the holder may open
	// Primary allows work that needs the service's primary. When the leader no longer sets it, the
	// holder ends such work and then clears Primary in its HeldTarget.
	Primary bool `cbor:"7,keyasint,omitempty"`
	// Term is the fencing token of the service's last promotion order. It is the term of the primary,
	// which the holder compares with the term that the target reports.
	Term uint64 `cbor:"8,keyasint,omitempty"`
	// Place of the target.
	Place string `cbor:"9,keyasint,omitempty"`
	// Coldness is set only for a service that limits what is sent to a cold target.
	Coldness Coldness `cbor:"10,keyasint,omitzero"`
}

// Coldness tells the holder of a target what control knows of its start.
type Coldness struct {
	Limit    int           `cbor:"1,keyasint"`           // statements that the target bears in any second while it is cold
	Known    bool          `cbor:"2,keyasint,omitempty"` // the target has registered at this leader
	HeardAgo time.Duration `cbor:"3,keyasint,omitempty"` // age of the registration
	// Remaining is how long the target stays cold, from the sending of the grant at most.
	Remaining time.Duration `cbor:"4,keyasint,omitempty"`
}

// TargetRoute names the host that executes the statements for a target: the holder of its lease.
type TargetRoute struct {
	Target  string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Place   string `cbor:"3,keyasint"`
	Holder  string `cbor:"4,keyasint,omitempty"` // host; empty: currently none
	Addr    string `cbor:"5,keyasint,omitempty"` // QUIC address of the holder
	Primary bool   `cbor:"6,keyasint,omitempty"`
	Leaving bool   `cbor:"7,keyasint,omitempty"`
	Cold    bool   `cbor:"8,keyasint,omitempty"` // bears only part of its usual load; others are preferred
}

// StatementRequest is the first request of a stream of kind KindStatement: either a single statement, or
// the first statement of a transaction block, whose later statements follow as BlockStatementRequest.
// Each is answered by a StatementReply. If the stream ends while the block is open, the block is rolled
// back.
type StatementRequest struct {
	Target          string              `cbor:"1,keyasint"`
	Team            string              `cbor:"2,keyasint"`
	Session         string              `cbor:"3,keyasint"`           // id of the caller's session, for logs
	NeedsPrimary    bool                `cbor:"4,keyasint,omitempty"` // the statement must run on the primary
	MinPosition     position.Position   `cbor:"5,keyasint"`           // position that the target must have reached
	StartsBlock     bool                `cbor:"6,keyasint,omitempty"` // Begin is run first, then Statement, and the block stays open
	Begin           statement.Statement `cbor:"7,keyasint"`           // statement that opens the block, if StartsBlock is set
	SessionSettings map[string]string   `cbor:"8,keyasint,omitempty"` // values set with SET, by name
	Timeout         time.Duration       `cbor:"9,keyasint"`           // for the statement, including its wait in the queue
	Priority        int                 `cbor:"10,keyasint,omitempty"`
	Statement       statement.Statement `cbor:"11,keyasint"`
	Compress        bool                `cbor:"12,keyasint,omitempty"` // compress large messages of this stream, in both directions
	// MaxAge, if set, is the greatest age of the data at the time when the caller sent the statement. The holder knows
	// positions of the primary's log by age, and raises MinPosition accordingly. Only in streams of kind KindAgedRead.
	MaxAge time.Duration `cbor:"13,keyasint,omitempty"`
	// DeclineAbove, if set, tells that the sender has another target for the statement. The holder declines it with
	// verdict.CodeDeclined if the expected queue wait is longer, or if the target fails part of its statements.
	DeclineAbove time.Duration `cbor:"14,keyasint,omitempty"`
	// StartWithin, if set, is how long the statement may wait for its start. Beyond that the caller prefers a refusal.
	StartWithin time.Duration `cbor:"16,keyasint,omitempty"`
}

func (r StatementRequest) worthCompressing() bool { return r.Compress }

// BlockStatementRequest is a later statement of a transaction block.
type BlockStatementRequest struct {
	SessionSettings map[string]string   `cbor:"1,keyasint,omitempty"` // if SettingsChanged is set
	SettingsChanged bool                `cbor:"2,keyasint,omitempty"`
	Timeout         time.Duration       `cbor:"3,keyasint"`
	Statement       statement.Statement `cbor:"4,keyasint"`
	Compress        bool                `cbor:"-"` // copied from the block's StatementRequest; not sent
}

func (r BlockStatementRequest) worthCompressing() bool { return r.Compress }

// StatementReply answers a StatementRequest or a BlockStatementRequest. An empty Code means success.
type StatementReply struct {
	Result            statement.Result `cbor:"1,keyasint"`
	Verdict           uint8            `cbor:"2,keyasint,omitempty"`
	Code              string           `cbor:"3,keyasint,omitempty"`
	Message           string           `cbor:"4,keyasint,omitempty"`
	ExpectedQueueWait time.Duration    `cbor:"5,keyasint,omitempty"` // expected queue wait of a new statement at the target
	HeldFor           time.Duration    `cbor:"6,keyasint,omitempty"` // from the arrival of the request at the holder to the reply; only of a StatementRequest
	Failing           bool             `cbor:"7,keyasint,omitempty"` // the target fails part of its statements
	// RetryAfter is the time after which a statement that has not run may succeed at this target; 0: unknown.
	RetryAfter time.Duration `cbor:"8,keyasint,omitempty"`
	// Reached is the last known position of the target's log, if it lacks the position that the statement requires.
	Reached  position.Position `cbor:"9,keyasint"`
	Compress bool              `cbor:"-"` // copied from the answered request; not sent
}

func (r StatementReply) worthCompressing() bool { return r.Compress }

// SampleQuery requests the newest position sample of a primary from its holder.
type SampleQuery struct {
	Target  string `cbor:"1,keyasint"`           // the primary, or a replica whose holder may know a sample
	Service string `cbor:"2,keyasint,omitempty"` // of the target
}

// SampleReply answers a SampleQuery. Sample is nil if the holder has none.
type SampleReply struct {
	Sample *Sample `cbor:"1,keyasint,omitempty"`
}

// Sample states that, at one point in time, every acknowledged commit of a service was at or before
// Position.
type Sample struct {
	Position position.Position `cbor:"1,keyasint"`
	Age      time.Duration     `cbor:"2,keyasint"` // time from that point until the message was sent
}

// Registration is a target's periodic description of itself.
type Registration struct {
	Target          string        `cbor:"1,keyasint"`
	Service         string        `cbor:"2,keyasint"`
	Addr            string        `cbor:"3,keyasint"`
	Place           string        `cbor:"4,keyasint"`
	Slots           int           `cbor:"5,keyasint"`
	Leaving         bool          `cbor:"6,keyasint,omitempty"`
	Primary         bool          `cbor:"7,keyasint,omitempty"` // the target considers itself the primary
	StartedMs       uint64        `cbor:"8,keyasint"`           // start time of the target process, Unix time in ms
	Sequence        uint64        `cbor:"9,keyasint"`           // increases with each registration of the process
	WarmupRemaining time.Duration `cbor:"10,keyasint,omitempty"`
	Terminating     bool          `cbor:"11,keyasint,omitempty"` // the process is terminating; only Target is set
}

// RegistrationReply answers a Registration.
type RegistrationReply struct {
	OK         bool   `cbor:"1,keyasint"`
	Message    string `cbor:"2,keyasint,omitempty"`
	NotLeader  bool   `cbor:"3,keyasint,omitempty"`
	LeaderAddr string `cbor:"4,keyasint,omitempty"`
}

// DeploymentQuery requests the latest deployment, as a linearizable read.
type DeploymentQuery struct{}

// DeploymentReply answers a DeploymentQuery.
type DeploymentReply struct {
	Version    uint64 `cbor:"1,keyasint"`
	Source     []byte `cbor:"2,keyasint,omitempty"`
	NotLeader  bool   `cbor:"3,keyasint,omitempty"`
	LeaderAddr string `cbor:"4,keyasint,omitempty"`
}

func (DeploymentReply) worthCompressing() bool { return true }
