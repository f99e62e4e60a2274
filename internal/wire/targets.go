package wire

import (
	"time"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
)

// HeldTarget names a target lease that a host holds.
type HeldTarget struct {
	Target  string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
	Primary bool   `cbor:"3,keyasint,omitempty"` // the host may still do work that needs the primary
}

// TargetHealth is a holder's view of its target.
type TargetHealth struct {
	Target      string        `cbor:"1,keyasint"`
	SilentFor   time.Duration `cbor:"2,keyasint,omitempty"` // time since the last answer, while answers are due
	CommitStall time.Duration `cbor:"3,keyasint,omitempty"` // time for which a commit has been waiting for replicas
	// HigherTerm is a term above the granted one that the target reported; 0: none.
	HigherTerm uint64 `cbor:"4,keyasint,omitempty"`
}

// TargetGrant renews or starts the lease of a target. A target missing from the grants of a reply is
// no longer granted: the holder starts no new work there and gives the lease back once its running
// work has ended.
type TargetGrant struct {
	Target      string `cbor:"1,keyasint"`
	Epoch       uint64 `cbor:"2,keyasint"` // grows with each change of holder
	Service     string `cbor:"3,keyasint"`
	Addr        string `cbor:"4,keyasint"`
	Slots       int    `cbor:"5,keyasint"`
	Connections int    `cbor:"6,keyasint"` // that the holder may open
	// Primary allows work that needs the service's primary. When it is taken back, the holder ends such
	// work and then says so in TargetHeld.
	Primary bool   `cbor:"7,keyasint,omitempty"`
	Term    uint64 `cbor:"8,keyasint,omitempty"` // of the primary, for comparison with what the target reports
}

// TargetRoute says where the statements for a target go.
type TargetRoute struct {
	Target  string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Place   string `cbor:"3,keyasint"`
	Holder  string `cbor:"4,keyasint,omitempty"` // host; empty: none at present
	Addr    string `cbor:"5,keyasint,omitempty"` // QUIC address of the holder
	Primary bool   `cbor:"6,keyasint,omitempty"`
	Leaving bool   `cbor:"7,keyasint,omitempty"`
}

// StatementRequest opens a stream of kind KindWork: a single statement, or a block whose further statements follow
// as WorkNext. Each is answered by a WorkReply. The end of the stream rolls an open block back.
type StatementRequest struct {
	Target          string              `cbor:"1,keyasint"`
	Team            string              `cbor:"2,keyasint"`
	Session         string              `cbor:"3,keyasint"`           // of the caller, for logs
	NeedsPrimary    bool                `cbor:"4,keyasint,omitempty"` // needs the primary
	MinPosition     position.Position   `cbor:"5,keyasint"`           // that the target's log must have
	StartsBlock     bool                `cbor:"6,keyasint,omitempty"`
	Begin           statement.Statement `cbor:"7,keyasint"` // of a block
	SessionSettings map[string]string   `cbor:"8,keyasint,omitempty"`
	Timeout         time.Duration       `cbor:"9,keyasint"` // of the statement, its wait included
	Priority        int                 `cbor:"10,keyasint,omitempty"`
	Statement       statement.Statement `cbor:"11,keyasint"`
	Compress        bool                `cbor:"12,keyasint,omitempty"` // large messages of this stream, in both directions
}

func (w StatementRequest) worthCompressing() bool { return w.Compress }

// BlockStatementRequest is a further statement of a block.
type BlockStatementRequest struct {
	SessionSettings map[string]string   `cbor:"1,keyasint,omitempty"` // when Changed
	SettingsChanged bool                `cbor:"2,keyasint,omitempty"`
	Timeout         time.Duration       `cbor:"3,keyasint"`
	Statement       statement.Statement `cbor:"4,keyasint"`
	Compress        bool                `cbor:"-"` // as in the Work of the block
}

func (n BlockStatementRequest) worthCompressing() bool { return n.Compress }

// StatementReply answers a Work or a WorkNext. Code is empty after success.
type StatementReply struct {
	Result            statement.Result `cbor:"1,keyasint"`
	Verdict           uint8            `cbor:"2,keyasint,omitempty"`
	Code              string           `cbor:"3,keyasint,omitempty"`
	Message           string           `cbor:"4,keyasint,omitempty"`
	ExpectedQueueWait time.Duration    `cbor:"5,keyasint,omitempty"` // that a new statement has to expect at the target
	Sample            *Sample          `cbor:"6,keyasint,omitempty"` // newest of the service that the holder knows

	Compress bool `cbor:"-"` // as in the Work that is answered
}

func (r StatementReply) worthCompressing() bool { return r.Compress }

// Sample says that at some moment every acknowledged commit of a service was at or before Position.
type Sample struct {
	Position position.Position `cbor:"1,keyasint"`
	Age      time.Duration     `cbor:"2,keyasint"` // of that moment, when the message was sent
}

// Registration is what a target says of itself at regular intervals.
type Registration struct {
	Target          string        `cbor:"1,keyasint"`
	Service         string        `cbor:"2,keyasint"`
	Addr            string        `cbor:"3,keyasint"`
	Place           string        `cbor:"4,keyasint"`
	Slots           int           `cbor:"5,keyasint"`
	Leaving         bool          `cbor:"6,keyasint,omitempty"`
	Primary         bool          `cbor:"7,keyasint,omitempty"` // by its own view
	StartedMs       uint64        `cbor:"8,keyasint"`           // start of the process, Unix ms
	Sequence        uint64        `cbor:"9,keyasint"`           // of this process
	WarmupRemaining time.Duration `cbor:"10,keyasint,omitempty"`
	Terminating     bool          `cbor:"11,keyasint,omitempty"` // the process ends now; only Target is set
}

// RegistrationReply answers a Registration.
type RegistrationReply struct {
	OK         bool   `cbor:"1,keyasint"`
	Message    string `cbor:"2,keyasint,omitempty"`
	NotLeader  bool   `cbor:"3,keyasint,omitempty"`
	LeaderAddr string `cbor:"4,keyasint,omitempty"`
}

// DeploymentQuery asks for the newest deployment, confirmed by a quorum.
type DeploymentQuery struct{}

// DeploymentReply answers a DeploymentQuery.
type DeploymentReply struct {
	Version    uint64 `cbor:"1,keyasint"`
	Source     []byte `cbor:"2,keyasint,omitempty"`
	NotLeader  bool   `cbor:"3,keyasint,omitempty"`
	LeaderAddr string `cbor:"4,keyasint,omitempty"`
}
