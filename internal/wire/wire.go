// Package wire defines the CBOR messages that daemons exchange over QUIC streams.
//
// Every stream starts with a Header. Each message is preceded by its length as a big-endian uint32.
// Unknown fields are ignored on receipt, so that daemons of neighbouring versions can talk;
// a change that old daemons can't ignore increases Version.
package wire

import (
	"time"

	"github.com/citronrun/citronrun/internal/position"
)

// Version is the protocol version in each stream's Header.
const Version = 1

const (
	// MaxMessageBytes bounds one message other than a snapshot.
	MaxMessageBytes = 1 << 20
	// MaxSnapshotBytes bounds a message that carries a snapshot.
	MaxSnapshotBytes = 4 << 20
)

// Kind says what a stream is for.
type Kind uint8

// The kinds of streams.
const (
	KindRenew      Kind = iota + 1 // Renew, answered by RenewReply
	KindBorrow                     // Borrow, answered by Lot
	KindTx                         // TxRequest and frames, answered by TxReply and frames
	KindCancel                     // Cancel, no answer
	KindRaft                       // consensus messages, no answer
	KindChange                     // ChangeRequest, answered by ChangeReply
	KindAnnounce                   // Announce, answered by AnnounceReply
	KindProbe                      // Probe, answered by ProbeReply
	KindAdmin                      // AdminRequest, answered by AdminReply
	KindRenewNow                   // Poke from the leader: renew at once, no answer
	KindStatement                  // Work and WorkNext, each answered by WorkReply
	KindRegister                   // Registration, answered by RegistrationReply
	KindDeployment                 // DeploymentQuery, answered by DeploymentReply
)

// Header starts each stream.
type Header struct {
	Version uint8 `cbor:"1,keyasint"`
	Kind    Kind  `cbor:"2,keyasint"`
}

// ReadMode says how fresh the data of a read must be.
type ReadMode uint8

const (
	// ReadSession asks for data at or past the session's floor. It is the default.
	ReadSession ReadMode = iota
	// ReadCurrent asks for the primary's data.
	ReadCurrent
	// ReadMaxAge accepts data up to a stated age.
	ReadMaxAge
)

// TxRequest opens a transaction, or a single statement outside of one, at the owner of a service.
type TxRequest struct {
	Service       string                  `cbor:"1,keyasint"`
	Team          string                  `cbor:"2,keyasint"`
	KeyID         string                  `cbor:"3,keyasint,omitempty"` // empty on open routes
	Session       string                  `cbor:"4,keyasint"`           // random id of the caller's session
	Seq           uint64                  `cbor:"5,keyasint"`           // transactions of a session, counted from 1
	ReadOnly      bool                    `cbor:"6,keyasint,omitempty"` // may run at a replica
	Mode          ReadMode                `cbor:"7,keyasint,omitempty"`
	MaxAge        time.Duration           `cbor:"8,keyasint,omitempty"` // for ReadMaxAge
	Floor         position.Position       `cbor:"9,keyasint,omitempty"`
	HasFloor      bool                    `cbor:"10,keyasint,omitempty"` // false: the owner adds the team's floor
	Timeout       time.Duration           `cbor:"11,keyasint"`           // time left to start running
	RequestKey    string                  `cbor:"12,keyasint,omitempty"` // makes a resend idempotent
	Epoch         uint64                  `cbor:"13,keyasint"`           // ownership epoch that the entry host knows
	Place         string                  `cbor:"14,keyasint,omitempty"` // place of the entry host
	InBlock       bool                    `cbor:"15,keyasint,omitempty"` // starts with BEGIN: a transaction block
	ObservedReads []position.ObservedRead `cbor:"16,keyasint,omitempty"` // reads of the session that Floor may not cover
}

// TxReply answers a TxRequest before any frame. When Admitted is false, Code and Message say why and
// the verdict is NotRun.
type TxReply struct {
	Admitted bool   `cbor:"1,keyasint"`
	Code     string `cbor:"2,keyasint,omitempty"`
	Message  string `cbor:"3,keyasint,omitempty"`
	Owner    string `cbor:"4,keyasint,omitempty"` // host that owns the service, when known and not this one
}

// Cancel asks the owner to cancel the running statement of a session's transaction. It has no
// effect on any other transaction.
type Cancel struct {
	Service string `cbor:"1,keyasint"`
	Session string `cbor:"2,keyasint"`
	Seq     uint64 `cbor:"3,keyasint"`
}

// Renew is a host's periodic message to the control leader. It renews all of the host's leases.
type Renew struct {
	Host            string            `cbor:"1,keyasint"`
	Place           string            `cbor:"2,keyasint"`
	BootID          string            `cbor:"3,keyasint"` // random, new with each start of the process
	Addr            string            `cbor:"4,keyasint"` // QUIC address IP:PORT
	CatalogRevision uint64            `cbor:"5,keyasint"`
	RoutesVersion   uint64            `cbor:"6,keyasint"`
	LeaderTerm      uint64            `cbor:"7,keyasint"` // consensus term that RoutesVersion belongs to
	Entry           bool              `cbor:"8,keyasint"`
	Draining        bool              `cbor:"9,keyasint"` // hands over its services, takes no more
	Held            []HeldLease       `cbor:"10,keyasint,omitempty"`
	Returned        []HeldLease       `cbor:"11,keyasint,omitempty"`
	Demand          map[string]uint64 `cbor:"12,keyasint,omitempty"` // team: tokens wanted for the next interval
	Reports         []ServiceReport   `cbor:"13,keyasint,omitempty"` // of owned services

	TokenBalances map[string]TokenBalance `cbor:"14,keyasint,omitempty"` // team: lots in hand

	Sequence       uint64         `cbor:"15,keyasint"`           // of this process, grows with each renewal
	Uptime         time.Duration  `cbor:"19,keyasint"`           // of this process
	Targets        []HeldTarget   `cbor:"16,keyasint,omitempty"` // all target leases in hand
	Health         []TargetHealth `cbor:"17,keyasint,omitempty"` // of held targets, those that aren't well
	TargetsVersion uint64         `cbor:"18,keyasint,omitempty"` // of the target routes, of LeaderTerm
}

// TokenBalance tells the leader what is left of a team's lots. The host will use no lot with an id up to
// ID beyond these tokens, even if one arrives late.
type TokenBalance struct {
	GrantID   uint64 `cbor:"1,keyasint"` // highest lot id received
	Remaining uint64 `cbor:"2,keyasint"` // unspent tokens of all lots up to ID
}

// HeldLease names the lease of a service that a host holds or gives back.
type HeldLease struct {
	Service string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
}

// ServiceReport is the owner's view of a service's targets.
type ServiceReport struct {
	Service string         `cbor:"1,keyasint"`
	Epoch   uint64         `cbor:"2,keyasint"`
	Term    uint64         `cbor:"3,keyasint"`
	Primary string         `cbor:"4,keyasint,omitempty"` // target that the owner uses as primary
	Targets []TargetReport `cbor:"5,keyasint,omitempty"`
}

// TargetReport is the owner's view of one target.
type TargetReport struct {
	Target    string            `cbor:"1,keyasint"`
	Role      string            `cbor:"2,keyasint,omitempty"` // primary or replica, as the target says
	Term      uint64            `cbor:"3,keyasint"`
	Received  position.Position `cbor:"4,keyasint"`
	Applied   position.Position `cbor:"5,keyasint"`
	SilentFor time.Duration     `cbor:"6,keyasint"` // time since the last answer
}

// RenewNow asks a host to renew at once, because its next grants differ.
type RenewNow struct{}

// RenewReply answers a Renew after a quorum of control hosts has confirmed the leader.
type RenewReply struct {
	Leader        string        `cbor:"1,keyasint"`
	LeaderTerm    uint64        `cbor:"2,keyasint"`
	NotLeader     bool          `cbor:"3,keyasint,omitempty"` // ask LeaderAddr; nothing else is set
	LeaderAddr    string        `cbor:"4,keyasint,omitempty"`
	Catalog       []byte        `cbor:"5,keyasint,omitempty"` // encoded catalog, when the host's revision is lower
	RoutesVersion uint64        `cbor:"6,keyasint"`
	RoutesFull    bool          `cbor:"7,keyasint,omitempty"` // Routes replaces all; else it updates
	Routes        []Route       `cbor:"8,keyasint,omitempty"`
	Grants        []LeaseGrant  `cbor:"9,keyasint,omitempty"`
	TokenGrants   []TokenGrant  `cbor:"10,keyasint,omitempty"`
	LeaseTTL      time.Duration `cbor:"11,keyasint"` // counted by the holder from the send of the Renew
	Revision      uint64        `cbor:"12,keyasint"` // catalog revision of the leader

	TargetGrants   []TargetGrant `cbor:"13,keyasint,omitempty"`
	TargetsVersion uint64        `cbor:"14,keyasint,omitempty"`
	TargetsFull    bool          `cbor:"15,keyasint,omitempty"` // TargetRoutes replaces all
	TargetRoutes   []TargetRoute `cbor:"16,keyasint,omitempty"`
	ControlAddrs   []string      `cbor:"17,keyasint,omitempty"` // QUIC addresses of all control hosts, with TargetsFull
}

// Route says which host owns a service.
type Route struct {
	Service string `cbor:"1,keyasint"`
	Owner   string `cbor:"2,keyasint,omitempty"` // empty: no owner at present
	Addr    string `cbor:"3,keyasint,omitempty"`
	Epoch   uint64 `cbor:"4,keyasint"`
}

// LeaseGrant renews or starts the lease of a service. A service missing from the grants of a reply
// is no longer granted: the holder stops new work and returns the lease once its running work ended.
type LeaseGrant struct {
	Service         string       `cbor:"1,keyasint"`
	Epoch           uint64       `cbor:"2,keyasint"`           // grows with each change of owner
	Term            uint64       `cbor:"3,keyasint"`           // term of the group that the owner serves
	Primary         string       `cbor:"4,keyasint,omitempty"` // recorded primary of Term; empty while Elect is set
	ElectionPending bool         `cbor:"5,keyasint,omitempty"` // promote a target at Term, then report it
	PreferredTarget string       `cbor:"6,keyasint,omitempty"` // target to promote in a planned change, if it is current
	Targets         []TargetInfo `cbor:"7,keyasint,omitempty"`
}

// TargetInfo describes a registered target of a service.
type TargetInfo struct {
	Target  string            `cbor:"1,keyasint"`
	Addr    string            `cbor:"2,keyasint"`
	Place   string            `cbor:"3,keyasint"`
	Labels  map[string]string `cbor:"4,keyasint,omitempty"`
	Leaving bool              `cbor:"5,keyasint,omitempty"` // leaving, or its announcement lapsed
}

// Borrow asks for rate tokens at once.
type Borrow struct {
	Host   string `cbor:"1,keyasint"`
	BootID string `cbor:"2,keyasint"`
	Team   string `cbor:"3,keyasint"`
	Tokens uint64 `cbor:"4,keyasint"`

	Balance TokenBalance `cbor:"5,keyasint"` // zero: no lot received yet
}

// TokenGrant is a loan of rate tokens. Tokens may be 0 when the bucket is empty.
type TokenGrant struct {
	Team       string        `cbor:"1,keyasint"`
	Tokens     uint64        `cbor:"2,keyasint"`
	TTL        time.Duration `cbor:"3,keyasint"`           // counted by the borrower from the send of its request
	ID         uint64        `cbor:"4,keyasint"`           // grows with each lot, also over leaders
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"` // a new leader lends nothing before this time has passed

	NotLeader  bool   `cbor:"6,keyasint,omitempty"` // ask LeaderAddr; nothing else is set
	LeaderAddr string `cbor:"7,keyasint,omitempty"`
}

// Announce is a target's announcement.
type Announce struct {
	Target  string `cbor:"1,keyasint" json:"target"`
	Service string `cbor:"2,keyasint" json:"service"`
	Addr    string `cbor:"3,keyasint" json:"addr"` // PostgreSQL address IP:PORT
	Place   string `cbor:"4,keyasint" json:"place"`
	Leaving bool   `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"`
}

// AnnounceReply answers an Announce.
type AnnounceReply struct {
	OK      bool          `cbor:"1,keyasint" json:"ok"`
	Message string        `cbor:"2,keyasint,omitempty" json:"message,omitempty"`
	TTL     time.Duration `cbor:"3,keyasint,omitempty" json:"-"` // announce again before this time has passed

	NotLeader  bool   `cbor:"4,keyasint,omitempty" json:"-"`
	LeaderAddr string `cbor:"5,keyasint,omitempty" json:"-"`
}

// Probe asks a host whether it reaches a target.
type Probe struct {
	Target string `cbor:"1,keyasint"`
	Addr   string `cbor:"2,keyasint"`
}

// ProbeReply answers a Probe.
type ProbeReply struct {
	Reachable bool              `cbor:"1,keyasint"`
	Role      string            `cbor:"2,keyasint,omitempty"`
	Received  position.Position `cbor:"3,keyasint"`
}

// ChangeRequest carries an encoded catalog change to the leader.
type ChangeRequest struct {
	Change []byte `cbor:"1,keyasint"` // encoded catalog.Change
}

// ChangeReply answers a ChangeRequest.
type ChangeReply struct {
	Result     []byte `cbor:"1,keyasint,omitempty"` // encoded catalog.Result, when decided
	NotLeader  bool   `cbor:"2,keyasint,omitempty"`
	LeaderAddr string `cbor:"3,keyasint,omitempty"`
	Message    string `cbor:"4,keyasint,omitempty"` // why the outcome is unknown
}

// AdminOp names an operator's request that is not a catalog change.
type AdminOp string

// The administrative operations.
const (
	AdminStatus       AdminOp = "status"
	AdminPromote      AdminOp = "promote" // Service, Target
	AdminDrain        AdminOp = "drain"   // Host: moves its services elsewhere
	AdminMemberAdd    AdminOp = "member-add"
	AdminMemberRemove AdminOp = "member-remove"
	AdminForget       AdminOp = "forget-target" // removes a target that won't return from its service
)

// AdminRequest is an operator's request to the leader.
type AdminRequest struct {
	Op      AdminOp `cbor:"1,keyasint"`
	Service string  `cbor:"2,keyasint,omitempty"`
	Target  string  `cbor:"3,keyasint,omitempty"`
	Host    string  `cbor:"4,keyasint,omitempty"`
	Member  uint64  `cbor:"5,keyasint,omitempty"`
	Addr    string  `cbor:"6,keyasint,omitempty"`
}

// AdminReply answers an AdminRequest. Body is JSON for operators.
type AdminReply struct {
	OK         bool   `cbor:"1,keyasint"`
	Message    string `cbor:"2,keyasint,omitempty"`
	Body       []byte `cbor:"3,keyasint,omitempty"`
	NotLeader  bool   `cbor:"4,keyasint,omitempty"`
	LeaderAddr string `cbor:"5,keyasint,omitempty"`
}
