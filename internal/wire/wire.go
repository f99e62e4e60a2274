// Package wire defines the CBOR messages that daemons exchange over QUIC streams.
//
// Every stream starts with a Header. Each message is preceded by its length as a big-endian uint32.
// Receivers ignore unknown fields, so that daemons of adjacent versions interoperate. A change that
// older daemons can't ignore must increase Version.
package wire

import (
	"time"

	"github.com/citronrun/citronrun/internal/position"
)

// Version is the protocol version in each stream's Header.
const Version = 1

const (
	// MaxMessageBytes bounds a received message that never carries a snapshot or a catalog.
	MaxMessageBytes = 1 << 20
	// MaxStatementBytes bounds a received message with a statement: a caller's message of up to MaxMessageBytes, and
	// what the hosts add to it.
	MaxStatementBytes = MaxMessageBytes + 64<<10
	// MaxSnapshotBytes bounds a received message that may carry a snapshot or a catalog, and every message
	// that Write sends.
	MaxSnapshotBytes = 4 << 20
)

// Kind identifies the purpose of a stream.
type Kind uint8

// The kinds of streams.
const (
	KindRenew           Kind = iota + 1 // Renew, answered by RenewReply
	KindBorrow                          // Borrow, answered by TokenGrant
	KindTx                              // TxRequest and frames, answered by TxReply and frames
	KindCancel                          // Cancel, no answer
	KindRaft                            // consensus messages, no answer
	KindChange                          // ChangeRequest, answered by ChangeReply
	KindAnnounce                        // Announce, answered by AnnounceReply
	KindProbe                           // Probe, answered by ProbeReply
	KindAdmin                           // AdminRequest, answered by AdminReply
	KindRenewNow                        // RenewNow from the leader, no answer
	KindStatement                       // StatementRequest, then BlockStatementRequest; each answered by StatementReply
	KindRegister                        // Registration, answered by RegistrationReply
	KindDeployment                      // DeploymentQuery, answered by DeploymentReply
	KindAgedRead                        // like KindStatement, with StatementRequest.MaxAge set; older daemons refuse it
	KindSample                          // SampleQuery, answered by SampleReply
	KindRelay                           // RelayRequest, then the stream that it asks for
	KindAdmit                           // Admit, answered by AdmitReply
	KindForwardedRenew                  // Renew that a control host forwards to the leader, answered by RenewReply
	KindForwardedBorrow                 // Borrow that a control host forwards to the leader, answered by TokenGrant
	KindRenewAll                        // RenewNow from the leader to a control host for the hosts whose renewals it forwards, no answer
	KindTunnel                          // TunnelRequest, answered by TunnelReply; then bytes in both directions

	KindCount // number of kinds, including the unused kind 0
)

// kindNames are the values of the label kind of metrics.
var kindNames = [KindCount]string{"unknown", "renew", "borrow", "tx", "cancel", "raft", "change", "announce", "probe", "admin", "renew_now",
	"statement", "register", "deployment", "aged_read", "sample", "relay", "admit", "forwarded_renew", "forwarded_borrow", "renew_all", "tunnel"}

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	if k >= KindCount {
		k = 0
	}
	return kindNames[k]
}

// RelayRequest asks a host to open a stream of a kind to the endpoint at an address, and to pass on what either side
// sends. The relay refuses the stream if it can't open the other one.
type RelayRequest struct {
	Addr string `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
}

// TunnelRequest asks a control host to open a TCP connection to an address for the leader.
type TunnelRequest struct {
	Addr string `cbor:"1,keyasint"`
}

// TunnelReply says whether the connection is open.
type TunnelReply struct {
	Message string `cbor:"1,keyasint,omitempty"` // why it isn't; empty: it is open
}

// Header is the first message of each stream.
type Header struct {
	Version uint8 `cbor:"1,keyasint"`
	Kind    Kind  `cbor:"2,keyasint"`
}

// ReadMode is the consistency level of a read.
type ReadMode uint8

const (
	// ReadSession requires data at or past the session's floor, the lowest position that keeps the
	// session consistent. It is the default.
	ReadSession ReadMode = iota
	// ReadCurrent requires the primary's data.
	ReadCurrent
	// ReadMaxAge accepts data with a bounded staleness, TxRequest.MaxAge.
	ReadMaxAge
)

// TxRequest opens a transaction, or a single statement outside of one, at the owner of a service.
type TxRequest struct {
	Service       string                  `cbor:"1,keyasint"`
	Team          string                  `cbor:"2,keyasint"`
	KeyID         string                  `cbor:"3,keyasint,omitempty"` // empty on open routes
	Session       string                  `cbor:"4,keyasint"`           // random id of the caller's session
	Seq           uint64                  `cbor:"5,keyasint"`           // number of the transaction in its session, from 1
	ReadOnly      bool                    `cbor:"6,keyasint,omitempty"` // may run on a replica
	Mode          ReadMode                `cbor:"7,keyasint,omitempty"`
	MaxAge        time.Duration           `cbor:"8,keyasint,omitempty"` // for ReadMaxAge
	Floor         position.Position       `cbor:"9,keyasint,omitempty"`
	HasFloor      bool                    `cbor:"10,keyasint,omitempty"` // false: the owner adds the team's floor
	Timeout       time.Duration           `cbor:"11,keyasint"`           // time left until the transaction must have started
	RequestKey    string                  `cbor:"12,keyasint,omitempty"` // idempotency key for resends
	Epoch         uint64                  `cbor:"13,keyasint"`           // ownership epoch known to the entry host
	Place         string                  `cbor:"14,keyasint,omitempty"` // place of the entry host
	InBlock       bool                    `cbor:"15,keyasint,omitempty"` // starts with BEGIN: a transaction block
	ObservedReads []position.ObservedRead `cbor:"16,keyasint,omitempty"` // reads of the session that Floor may not cover
}

// TxReply answers a TxRequest before any frame. If Admitted is false, Code and Message give the
// reason, and the verdict is NotRun.
type TxReply struct {
	Admitted bool   `cbor:"1,keyasint"`
	Code     string `cbor:"2,keyasint,omitempty"`
	Message  string `cbor:"3,keyasint,omitempty"`
	Owner    string `cbor:"4,keyasint,omitempty"` // host that owns the service, if known and another than the replying host
}

// Cancel asks the owner to cancel the running statement of one transaction, identified by Session
// and Seq. It has no effect on any other transaction.
type Cancel struct {
	Service string `cbor:"1,keyasint"`
	Session string `cbor:"2,keyasint"`
	Seq     uint64 `cbor:"3,keyasint"`
}

// Renew is a host's periodic heartbeat to the control leader. It renews all of the host's leases.
type Renew struct {
	Host            string            `cbor:"1,keyasint"`
	Place           string            `cbor:"2,keyasint"`
	BootID          string            `cbor:"3,keyasint"` // random, chosen at each start of the process
	Addr            string            `cbor:"4,keyasint"` // QUIC address IP:PORT
	CatalogRevision uint64            `cbor:"5,keyasint"`
	RoutesVersion   uint64            `cbor:"6,keyasint"`
	LeaderTerm      uint64            `cbor:"7,keyasint"` // consensus term that RoutesVersion and TargetsVersion belong to
	Entry           bool              `cbor:"8,keyasint"` // the host has the entry role: it accepts callers
	Draining        bool              `cbor:"9,keyasint"` // the host hands over its services and accepts no others
	Held            []HeldLease       `cbor:"10,keyasint,omitempty"`
	Returned        []HeldLease       `cbor:"11,keyasint,omitempty"`
	Demand          map[string]uint64 `cbor:"12,keyasint,omitempty"` // by team: tokens requested for the next interval
	Reports         []ServiceReport   `cbor:"13,keyasint,omitempty"` // on owned services

	TokenBalances map[string]TokenBalance `cbor:"14,keyasint,omitempty"` // by team

	Sequence       uint64         `cbor:"15,keyasint"`           // increases with each renewal of this process
	Uptime         time.Duration  `cbor:"19,keyasint"`           // of this process
	Targets        []HeldTarget   `cbor:"16,keyasint,omitempty"` // all target leases held
	Health         []TargetHealth `cbor:"17,keyasint,omitempty"` // unhealthy targets among those held
	TargetsVersion uint64         `cbor:"18,keyasint,omitempty"` // version of the target routes known to the host
	HostsVersion   uint64         `cbor:"20,keyasint,omitempty"` // version of the addresses of entry hosts known to the host
	// CatalogChecksum is the pack.Checksum of the encoded catalog of CatalogRevision; 0 if the host needs a whole catalog.
	CatalogChecksum uint64 `cbor:"22,keyasint,omitempty"`
	TargetChanges   bool   `cbor:"21,keyasint,omitempty"` // the host accepts RenewReply.ChangedRoutes instead of the complete table

	Forward           bool   `cbor:"23,keyasint,omitempty"` // a control host that isn't the leader forwards the renewal to it
	CatalogMissing    bool   `cbor:"24,keyasint,omitempty"` // the last reply lacked the catalog that it named: the leader must send it
	ForwardersVersion uint64 `cbor:"25,keyasint,omitempty"` // version of RenewReply.Forwarders known to the host
	Detours           uint8  `cbor:"26,keyasint,omitempty"` // number of entry hosts that have passed the renewal on to another entry host
}

// TokenBalance reports a host's unspent reserves of a team, the token grants that last for seconds. From all reserves with
// ids up to GrantID the host will spend no more than Remaining tokens, even if one of them arrives later.
type TokenBalance struct {
	GrantID   uint64 `cbor:"1,keyasint"` // highest id of a reserve received
	Remaining uint64 `cbor:"2,keyasint"` // unspent tokens of all reserves up to GrantID
}

// HeldLease identifies the lease of a service that a host holds or returns.
type HeldLease struct {
	Service string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
}

// ServiceReport is the owner's view of a service's targets.
type ServiceReport struct {
	Service string         `cbor:"1,keyasint"`
	Epoch   uint64         `cbor:"2,keyasint"`
	Term    uint64         `cbor:"3,keyasint"`
	Primary string         `cbor:"4,keyasint,omitempty"` // target that the owner uses as the primary
	Targets []TargetReport `cbor:"5,keyasint,omitempty"`
}

// TargetReport is the owner's view of one target.
type TargetReport struct {
	Target    string            `cbor:"1,keyasint"`
	Role      string            `cbor:"2,keyasint,omitempty"` // primary or replica, as the target reports
	Term      uint64            `cbor:"3,keyasint"`
	Received  position.Position `cbor:"4,keyasint"`
	Applied   position.Position `cbor:"5,keyasint"`
	SilentFor time.Duration     `cbor:"6,keyasint" json:"Silent"` // time since the last response to a status request, or since polling started; the state dump keeps the name Silent
}

// RenewNow asks a host to renew immediately, because its leases or routes have changed, or because a new leader has
// taken over.
type RenewNow struct {
	LeaderAddr string        `cbor:"1,keyasint,omitempty"` // QUIC address of the new leader; empty: unchanged
	Within     time.Duration `cbor:"2,keyasint,omitempty"` // of KindRenewAll: time over which the hosts are asked
}

// RenewReply answers a Renew. The leader sends it only if it is certain that no newer leader had been elected
// when the Renew arrived. A forwarded reply names Revision, but the control host that forwards it adds the catalog.
type RenewReply struct {
	Leader        string        `cbor:"1,keyasint"`
	LeaderTerm    uint64        `cbor:"2,keyasint"`
	NotLeader     bool          `cbor:"3,keyasint,omitempty"` // ask LeaderAddr; nothing else is set
	LeaderAddr    string        `cbor:"4,keyasint,omitempty"`
	Catalog       []byte        `cbor:"5,keyasint,omitempty"` // encoded catalog, if the host's revision is lower
	RoutesVersion uint64        `cbor:"6,keyasint"`
	RoutesFull    bool          `cbor:"7,keyasint,omitempty"` // Routes is the complete table; otherwise only the changes
	Routes        []Route       `cbor:"8,keyasint,omitempty"`
	Grants        []LeaseGrant  `cbor:"9,keyasint,omitempty"`
	TokenGrants   []TokenGrant  `cbor:"10,keyasint,omitempty"`
	LeaseTTL      time.Duration `cbor:"11,keyasint"` // measured by the holder from the time it sent the Renew
	Revision      uint64        `cbor:"12,keyasint"` // catalog revision of the leader

	TargetGrants   []TargetGrant `cbor:"13,keyasint,omitempty"`
	TargetsVersion uint64        `cbor:"14,keyasint,omitempty"`
	TargetsFull    bool          `cbor:"15,keyasint,omitempty"` // TargetRoutes, or TargetTable, is the complete table
	TargetRoutes   []TargetRoute `cbor:"16,keyasint,omitempty"`
	ControlAddrs   []string      `cbor:"17,keyasint,omitempty"` // QUIC addresses of all control hosts; set with TargetsFull
	HostsVersion   uint64        `cbor:"18,keyasint,omitempty"`
	HostAddrs      []string      `cbor:"19,keyasint,omitempty"` // QUIC addresses of live entry hosts, if their version differs from the host's
	ChangedRoutes  []TargetRoute `cbor:"20,keyasint,omitempty"` // routes that were added or changed since Renew.TargetsVersion
	RemovedTargets []string      `cbor:"21,keyasint,omitempty"` // targets whose route was removed since then
	TargetTable    []byte        `cbor:"23,keyasint,omitempty"` // compressed CBOR of the complete table, instead of TargetRoutes, for hosts with Renew.TargetChanges
	CatalogDelta   []byte        `cbor:"25,keyasint,omitempty"` // pack.Delta from the host's encoded catalog, instead of Catalog
	RenewEvery     time.Duration `cbor:"24,keyasint,omitempty"` // time between regular renewals; 0: the default
	// Forwarders are the QUIC addresses of the control hosts of the host's place, if their version differs from the host's.
	// Entry hosts of a large deployment send their renewals through them.
	Forwarders        []string `cbor:"26,keyasint,omitempty"`
	ForwardersVersion uint64   `cbor:"27,keyasint,omitempty"`
	PlaceHosts        bool     `cbor:"22,keyasint,omitempty"` // HostAddrs lists only the hosts of the host's place, which relay statements to holders in other places
}

// Route names the host that owns a service.
type Route struct {
	Service string `cbor:"1,keyasint"`
	Owner   string `cbor:"2,keyasint,omitempty"` // empty: currently no owner
	Addr    string `cbor:"3,keyasint,omitempty"`
	Epoch   uint64 `cbor:"4,keyasint"`
}

// LeaseGrant starts or renews the lease of a service. If a service is missing from the grants of a
// reply, its lease is no longer renewed: the holder starts no new work and returns the lease once its
// running work has ended.
type LeaseGrant struct {
	Service         string       `cbor:"1,keyasint"`
	Epoch           uint64       `cbor:"2,keyasint"`           // increases with each change of owner
	Term            uint64       `cbor:"3,keyasint"`           // current term of the service's primary
	Primary         string       `cbor:"4,keyasint,omitempty"` // recorded primary of Term; empty while ElectionPending is set
	ElectionPending bool         `cbor:"5,keyasint,omitempty"` // the owner must elect a primary at Term and report it
	PreferredTarget string       `cbor:"6,keyasint,omitempty"` // target to promote in a switchover, if it is up to date; empty: any
	Targets         []TargetInfo `cbor:"7,keyasint,omitempty"`
}

// TargetInfo describes a registered target of a service.
type TargetInfo struct {
	Target  string            `cbor:"1,keyasint"`
	Addr    string            `cbor:"2,keyasint"`
	Place   string            `cbor:"3,keyasint"`
	Labels  map[string]string `cbor:"4,keyasint,omitempty"`
	Leaving bool              `cbor:"5,keyasint,omitempty"` // the target is leaving, or its announcement has expired
}

// Borrow requests rate tokens outside of the periodic renewal.
type Borrow struct {
	Host   string `cbor:"1,keyasint"`
	BootID string `cbor:"2,keyasint"`
	Team   string `cbor:"3,keyasint"`
	Tokens uint64 `cbor:"4,keyasint"`

	Balance TokenBalance `cbor:"5,keyasint"` // zero: no token grant received yet

	Others []TeamBorrow `cbor:"6,keyasint,omitempty"` // of further teams; an older leader ignores them

	Forward bool  `cbor:"7,keyasint,omitempty"` // a control host that isn't the leader forwards the request to it
	Detours uint8 `cbor:"8,keyasint,omitempty"` // as in Renew
}

// TeamBorrow is the part of a Borrow that concerns one team.
type TeamBorrow struct {
	Team    string       `cbor:"1,keyasint"`
	Tokens  uint64       `cbor:"2,keyasint"`
	Balance TokenBalance `cbor:"3,keyasint"`
}

// TokenGrant is a loan of rate tokens to a host. Tokens is 0 if none are available.
type TokenGrant struct {
	Team       string        `cbor:"1,keyasint"`
	Tokens     uint64        `cbor:"2,keyasint"`
	TTL        time.Duration `cbor:"3,keyasint"`           // measured by the borrower from the time it sent its request
	ID         uint64        `cbor:"4,keyasint"`           // increases with each token grant, also across leaders
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"` // time until the host should ask again, during the waiting period of a new leader; otherwise 0

	NotLeader  bool   `cbor:"6,keyasint,omitempty"` // ask LeaderAddr; nothing else is set
	LeaderAddr string `cbor:"7,keyasint,omitempty"`

	Others []TokenGrant `cbor:"8,keyasint,omitempty"` // for Borrow.Others, in their order
}

// Admit asks a host of the same place, which borrows the rate tokens of a team for all hosts of the place, for tokens.
type Admit struct {
	Team   string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// AdmitReply answers an Admit. An empty Code means that the tokens were spent; otherwise the verdict is NotRun.
type AdmitReply struct {
	Code        string `cbor:"1,keyasint,omitempty"`
	Message     string `cbor:"2,keyasint,omitempty"`
	ControlLost bool   `cbor:"3,keyasint,omitempty"` // refused because the replying host reaches no control host
}

// Announce is the periodic announcement of a target.
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
	TTL     time.Duration `cbor:"3,keyasint,omitempty" json:"-"` // the announcement expires after this time

	NotLeader  bool   `cbor:"4,keyasint,omitempty" json:"-"`
	LeaderAddr string `cbor:"5,keyasint,omitempty" json:"-"`
}

// Probe asks a host whether it can reach a target.
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
	Result     []byte `cbor:"1,keyasint,omitempty"` // encoded catalog.Result, if the change was decided
	NotLeader  bool   `cbor:"2,keyasint,omitempty"`
	LeaderAddr string `cbor:"3,keyasint,omitempty"`
	Message    string `cbor:"4,keyasint,omitempty"` // why Result is not set: changes are not allowed now, the change cannot be applied, or its outcome is unknown
}

// AdminOp is the operation of an AdminRequest. Catalog changes use ChangeRequest.
type AdminOp string

// The administrative operations.
const (
	AdminStatus       AdminOp = "status"
	AdminPromote      AdminOp = "promote"       // starts a switchover of Service to Target
	AdminDrain        AdminOp = "drain"         // moves the services and target leases of Host to other hosts
	AdminMemberAdd    AdminOp = "member-add"    // adds the consensus member Member at Addr
	AdminMemberRemove AdminOp = "member-remove" // removes the consensus member Member
	AdminForget       AdminOp = "forget-target" // removes Target, which is lost for good, from Service
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
