// Package history records the requests of concurrent callers with their responses, and checks the
// guarantees of the proxy: acknowledged writes are durable, requests run at most once, reads are as
// fresh as their read mode requires, transactions are atomic, and no team exceeds its rate.
//
// The checks rely on four properties of the recorded workload:
//
//   - Every write adds one to the version of its row, and a new row has version 1.
//   - Rows that exist before the run have an Insert event with Outcome OK whose Start and End are 0.
//   - No row is deleted.
//   - Final is read from the primary after all statements have ended.
package history

import "time"

// Outcome is what a caller knows about the effect of its request after the response.
type Outcome uint8

const (
	// OK means that the request was acknowledged.
	OK Outcome = iota
	// NotRun means that the response reported the request as not run, for example with 53400.
	NotRun
	// MayHaveRun means that the request may have taken effect: 08007, a broken connection or a
	// timeout.
	MayHaveRun
	// Denied means that the database itself answered with an error such as 23505, and the request
	// had no effect.
	Denied
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return nameOf(int(o), "OK", "NotRun", "MayHaveRun", "Denied")
}

// Op is the kind of a request.
type Op uint8

const (
	// Insert creates one row.
	Insert Op = iota
	// Update changes one row.
	Update
	// Read reads one row.
	Read
	// Tx writes one row in a transaction that writes several. A transaction is recorded as one event
	// per row; these events share Tag, Start, End, Outcome and Code.
	Tx
)

// String returns the name of the operation.
func (o Op) String() string {
	return nameOf(int(o), "Insert", "Update", "Read", "Tx")
}

// Mode is the read mode of a Read event.
type Mode uint8

const (
	// ModeSession guarantees read-your-writes and monotonic reads within the session.
	ModeSession Mode = iota
	// ModeCurrent guarantees linearizable reads.
	ModeCurrent
	// ModeMaxAge guarantees that a read sees every write acknowledged MaxAge or more before its start.
	ModeMaxAge
)

// String returns the name of the mode as in citron.read.
func (m Mode) String() string {
	return nameOf(int(m), "session", "current", "max_age")
}

// Absent is the version of a row that a read or an update did not find.
const Absent int64 = -1

// UnknownVersion is the version of a write whose response did not arrive.
const UnknownVersion int64 = 0

// Event is one request and its response.
type Event struct {
	// Session identifies the caller's session, across reconnects that carry the session token.
	Session string
	Team    string
	Service string
	Op      Op
	// Row is the row ID. It may be empty for an insert with a Booking that got no response.
	Row string
	// Booking identifies the logical booking that an Insert or Tx event creates; resends have the
	// same Booking. It is empty for other events.
	Booking string
	// RequestKey is the value of citron.request_key; resends have the same key, and a transaction has
	// one key for all its rows. It is empty for requests without a key.
	RequestKey string
	// Version is the version written or read; Absent, UnknownVersion or at least 1.
	Version int64
	// Mode and MaxAge are the read mode of a Read event.
	Mode   Mode
	MaxAge time.Duration
	// Tag is the value that a request writes to all its rows; it is unique to the logical request.
	// For a Read event it is the tag that the read returned. Empty: not recorded.
	Tag string
	// Snapshot identifies the REPEATABLE READ transaction of a Read event; empty for other reads.
	Snapshot string
	// Start and End are monotonic times since the start of the run, taken before the request was sent
	// and after its response arrived. The End of a request without a response is the time at which
	// the caller stopped waiting.
	Start time.Duration
	End   time.Duration
	// Outcome and Code are the result; Code is the SQLSTATE of an error, or empty.
	Outcome Outcome
	Code    string
	// Statements is the number of tokens of the team's rate that the request costs; 0 means 1.
	// Events that share the cost of one request put it all on one event and -1 on the others.
	Statements int
}

// Row is one row read from the primary after the run.
type Row struct {
	ID      string
	Booking string
	Version int64
	Tag     string
}

// Final is the content of the primaries after the run, by service.
type Final map[string][]Row

// Limit is the rate of a team in statements per second and its burst in statements.
type Limit struct {
	Rate  float64
	Burst float64
}

func nameOf(i int, names ...string) string {
	if i < len(names) {
		return names[i]
	}
	return "unknown"
}
