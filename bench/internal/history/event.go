// Package history records what concurrent callers did and saw, and checks the guarantees that
// the proxy gives them: acknowledged work is kept, requests run at most once, reads are as fresh
// as asked for, transactions are atomic, and no team exceeds its rate.
//
// The checks rely on four properties of the recorded workload:
//
//   - Every write adds one to the version of its row, and a new row has version 1.
//   - Rows that exist before the run have an Insert event with Outcome OK and Start and End 0.
//   - No row is deleted.
//   - Final is read from the primary once no statement is running any more.
package history

import "time"

// Outcome says what a caller knows about its request after the response.
type Outcome uint8

const (
	// OK means that the request was acknowledged.
	OK Outcome = iota
	// NotRun means that the response said the request was not run, such as 53400.
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
	// Tx is the write of one row by a transaction of several rows. A transaction is recorded as one
	// event per row; the events share Tag, Start, End, Outcome and Code.
	Tx
)

// String returns the name of the operation.
func (o Op) String() string {
	return nameOf(int(o), "Insert", "Update", "Read", "Tx")
}

// Mode is the read mode of a Read event.
type Mode uint8

const (
	// ModeSession is read-your-writes and monotonic reads within the session.
	ModeSession Mode = iota
	// ModeCurrent is linearizable.
	ModeCurrent
	// ModeMaxAge sees all that was acknowledged MaxAge before the start of the read.
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
	// Row is the row id; it may be empty for an insert without a response that names a Booking.
	Row string
	// Booking is the logical booking that an Insert or Tx event creates, shared by resends. It is
	// empty for other events.
	Booking string
	// RequestKey is citron.request_key, shared by resends; empty for requests without one. A
	// transaction uses one key for all its rows.
	RequestKey string
	// Version is the version written or read; Absent, UnknownVersion or at least 1.
	Version int64
	// Mode and MaxAge are the read mode of a Read event.
	Mode   Mode
	MaxAge time.Duration
	// Tag is written by a request to all its rows and is unique to the logical request; for a Read
	// event it is the tag seen. Empty: not recorded.
	Tag string
	// Snapshot is shared by Read events of one REPEATABLE READ transaction; empty otherwise.
	Snapshot string
	// Start and End are monotonic times since the run began: before the request was sent and after
	// its response arrived. The End of a request without a response is the time of giving up.
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
