package pgwire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/verdict"
)

// Types of messages from the caller's side.
const (
	Bind      = 'B'
	Close     = 'C'
	CopyData  = 'd'
	CopyDone  = 'c'
	CopyFail  = 'f'
	Describe  = 'D'
	Execute   = 'E'
	Flush     = 'H'
	Parse     = 'P'
	Query     = 'Q'
	Sync      = 'S'
	Terminate = 'X'
)

// Types of messages from the target's side. CopyData, CopyDone share the letters above.
const (
	BindComplete         = '2'
	CloseComplete        = '3'
	CommandComplete      = 'C'
	CopyBothResponse     = 'W'
	CopyInResponse       = 'G'
	CopyOutResponse      = 'H'
	DataRow              = 'D'
	EmptyQueryResponse   = 'I'
	ErrorResponse        = 'E'
	NoData               = 'n'
	NoticeResponse       = 'N'
	NotificationResponse = 'A'
	ParameterDescription = 't'
	ParameterStatus      = 'S'
	ParseComplete        = '1'
	PortalSuspended      = 's'
	ReadyForQuery        = 'Z'
	RowDescription       = 'T'
)

// Transaction states in ReadyForQuery.
const (
	TxIdle   = 'I'
	TxBlock  = 'T'
	TxFailed = 'E'
)

// Parameter statuses with a meaning between target, owner and entry host.
const (
	// StatusPosition is reported by a target after each commit: TERM/OFFSET.
	StatusPosition = "group_position"
	// StatusToken is reported to callers: the session token after each write or read.
	StatusToken = "citron.token"
)

// AppendError appends an ErrorResponse for err to dst.
func AppendError(dst []byte, err error) []byte { return appendError(dst, "ERROR", err) }

// AppendFatal appends an ErrorResponse to dst after which the connection is closed.
func AppendFatal(dst []byte, err error) []byte { return appendError(dst, "FATAL", err) }

func appendError(dst []byte, severity string, err error) []byte {
	e := verdict.As(err)
	msg := pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.Code,
		Message:             e.Message,
		Detail:              e.Detail(),
	}
	out, encodeErr := msg.Encode(dst)
	if encodeErr != nil {
		return dst // strings without limits can't fail to encode
	}
	return out
}

// AppendReady appends a ReadyForQuery with the given transaction state to dst.
func AppendReady(dst []byte, status byte) []byte {
	return Append(dst, ReadyForQuery, []byte{status})
}

// AppendStatus appends a ParameterStatus to dst.
func AppendStatus(dst []byte, name, value string) []byte {
	body := make([]byte, 0, len(name)+len(value)+2)
	body = append(body, name...)
	body = append(body, 0)
	body = append(body, value...)
	body = append(body, 0)
	return Append(dst, ParameterStatus, body)
}

// ParseStatus returns name and value of a ParameterStatus frame.
func ParseStatus(f Frame) (name, value string, ok bool) {
	n, rest, ok := CString(f.Body())
	if !ok {
		return "", "", false
	}
	v, _, ok := CString(rest)
	return string(n), string(v), ok
}
