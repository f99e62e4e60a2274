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
	// ParameterPosition is reported by a target after each commit: TERM/OFFSET.
	ParameterPosition = "group_position"
	// ParameterToken is reported to callers: the session token after each write or read.
	ParameterToken = "citron.token"
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

// AppendReadyForQuery appends a ReadyForQuery with the given transaction state to dst.
func AppendReadyForQuery(dst []byte, status byte) []byte {
	return Append(dst, ReadyForQuery, []byte{status})
}

// AppendParameterStatus appends a ParameterStatus to dst.
func AppendParameterStatus(dst []byte, name, value string) []byte {
	body := make([]byte, 0, len(name)+len(value)+2)
	body = append(body, name...)
	body = append(body, 0)
	body = append(body, value...)
	body = append(body, 0)
	return Append(dst, ParameterStatus, body)
}

// ParseParameterStatus returns name and value of a ParameterStatus frame.
func ParseParameterStatus(f Frame) (name, value string, ok bool) {
	n, rest, ok := CString(f.Body())
	if !ok {
		return "", "", false
	}
	v, _, ok := CString(rest)
	return string(n), string(v), ok
}
