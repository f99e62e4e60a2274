// Package verdict defines errors that tell whether a request may have run at a target.
//
// Every error that a caller receives carries such a verdict. A request may be retried without a request key
// only after the verdict NotRun.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict tells whether a request may have run. The zero value is MayHaveRun, so an error without an
// explicit verdict is never retried.
type Verdict uint8

const (
	// MayHaveRun means that the outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that no target executed any part of the request.
	NotRun
	// Ran means that the request was executed and its outcome is known.
	Ran
)

// String returns the name used in logs, metrics and error details.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "NotRun"
	case Ran:
		return "Ran"
	default:
		return "MayHaveRun"
	}
}

// SQLSTATE codes of errors that citronrun itself returns to callers.
const (
	CodeRateExceeded     = "53400" // the team exceeds its rate limit
	CodeTooBusy          = "53300" // the queue is full, or the deadline can't be met
	CodeUnavailable      = "57P03" // no owner, failover in progress, or no contact with the control leader
	CodeInvalidKey       = "28P01" // the key presented at connect is unknown
	CodeKeyWithdrawn     = "28000" // the key was withdrawn after connect
	CodeNotSupported     = "0A000" // not supported in transaction pooling
	CodeOutcomeUnknown   = "08007" // the outcome of the request is unknown
	CodeProtocol         = "08P01" // malformed or oversized message
	CodeInvalidParameter = "22023" // invalid value of a citron.* setting
	CodeShutdown         = "57P01" // the host is shutting down
	CodeUnknownService   = "3D000" // no such service
	CodeReadOnly         = "25006" // write at a target that isn't the primary
	CodeFailedBlock      = "25P02" // the transaction block has failed and accepts only ROLLBACK
	CodeAborted          = "40001" // the transaction block was rolled back; none of its changes are kept
	CodeUnknownStatement = "26000" // no such prepared statement
	CodeTimeout          = "57014" // the statement timed out
	CodeTooLarge         = "54000" // a message exceeds the size limit
	CodeReplicaBehind    = "CR001" // the target's log does not reach the requested position
	CodeWrongTarget      = "CR002" // a different target answers at this address
	CodeStatementFailed  = "CR003" // the target reported that the statement failed
	CodeDeclined         = "CR004" // the holder of a target expects another target to be better; never returned to callers
	CodePositionUnknown  = "CR005" // no position of the primary is known by which a replica could be judged recent enough
)

// Error is an error with a verdict and an SQLSTATE.
type Error struct {
	Verdict Verdict
	Code    string // SQLSTATE
	Message string // returned to the caller; must not contain keys
	Err     error  // cause, for logs only; may be nil
	// RetryAfter is the time after which a retry may succeed, if known; otherwise 0. It is meaningful with NotRun only.
	RetryAfter time.Duration
}

// New returns an Error with a message formatted as by fmt.Errorf. An error formatted with %w is the cause.
func New(v Verdict, code, format string, args ...any) *Error {
	cause := fmt.Errorf(format, args...)
	return &Error{Verdict: v, Code: code, Message: cause.Error(), Err: errors.Unwrap(cause)}
}

// WithRetryAfter sets the time after which a retry may succeed, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the message followed by the SQLSTATE and the verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (SQLSTATE %s, verdict %s)", e.Message, e.Code, e.Verdict)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Detail returns the DETAIL field of the error returned to the caller.
func (e *Error) Detail() string { return "verdict: " + e.Verdict.String() }

// Of returns the verdict of the first *Error in err's chain, or MayHaveRun if there is none.
func Of(err error) Verdict {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Verdict
	}
	return MayHaveRun
}

// As returns the first *Error in err's chain. An error without one is wrapped in an *Error with the verdict
// MayHaveRun and CodeOutcomeUnknown.
func As(err error) *Error {
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return &Error{Verdict: MayHaveRun, Code: CodeOutcomeUnknown, Message: "outcome of the request is unknown", Err: err}
}
