// Package verdict says whether a request may have run at a target.
//
// Every error that leaves a component towards a caller carries a verdict. Only requests with the
// verdict NotRun may be retried without a request key.
package verdict

import (
	"errors"
	"fmt"
)

// Verdict says whether a request may have run. The zero value is MayHaveRun, so that an error
// without an explicit verdict is never retried.
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

// SQLSTATE codes that citronrun itself reports to callers.
const (
	CodeRateExceeded     = "53400" // over the team's rate
	CodeTooBusy          = "53300" // queue full, or the deadline can't be met
	CodeUnavailable      = "57P03" // no owner, failover in progress, control not confirmed
	CodeInvalidKey       = "28P01" // unknown key at connect
	CodeKeyWithdrawn     = "28000" // key withdrawn after connect
	CodeNotSupported     = "0A000" // not supported in transaction pooling
	CodeOutcomeUnknown   = "08007" // the outcome of the request is unknown
	CodeProtocol         = "08P01" // malformed or oversized message
	CodeInvalidParameter = "22023" // bad value of a citron setting
	CodeShutdown         = "57P01" // the host is shutting down
	CodeUnknownService   = "3D000" // no such service
	CodeReadOnly         = "25006" // a write at a target that isn't the primary
	CodeFailedBlock      = "25P02" // the block has failed and can only be rolled back
	CodeAborted          = "40001" // the block was rolled back; nothing of it is kept
	CodeUnknownStatement = "26000" // no such prepared statement
	CodeTimeout          = "57014" // the statement took too long
	CodeTooLarge         = "54000" // a message exceeds the limit
	CodeReplicaBehind    = "CR001" // the target's log lacks the position that was asked for
	CodeWrongTarget      = "CR002" // another target answers at the address
	CodeStatementFailed  = "CR003" // the target reported a failure of the statement
)

// Error is an error with a verdict and an SQLSTATE.
type Error struct {
	Verdict Verdict
	Code    string // SQLSTATE
	Message string // shown to the caller; never contains keys
	Err     error  // cause for logs, may be nil
}

// New returns an Error whose message is formatted by fmt.Errorf rules, so that %w keeps a cause.
func New(v Verdict, code, format string, args ...any) *Error {
	cause := fmt.Errorf(format, args...)
	return &Error{Verdict: v, Code: code, Message: cause.Error(), Err: errors.Unwrap(cause)}
}

// Error returns the message followed by SQLSTATE and verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (SQLSTATE %s, verdict %s)", e.Message, e.Code, e.Verdict)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Detail returns the text of the DETAIL field shown to callers.
func (e *Error) Detail() string { return "verdict: " + e.Verdict.String() }

// Of returns the verdict of err: the one carried by the first *Error in its chain, else MayHaveRun.
func Of(err error) Verdict {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Verdict
	}
	return MayHaveRun
}

// As returns the *Error in err's chain. An error without one becomes MayHaveRun with code 08007.
func As(err error) *Error {
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return &Error{Verdict: MayHaveRun, Code: CodeOutcomeUnknown, Message: "outcome of the request is unknown", Err: err}
}
