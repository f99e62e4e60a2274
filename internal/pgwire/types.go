package pgwire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/verdict"
)

// Types of messages that a caller sends.
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

// Types of messages that a target sends. CopyData and CopyDone have the same type in both directions.
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

// Transaction status indicators in ReadyForQuery.
const (
	TxIdle   = 'I'
	TxBlock  = 'T'
	TxFailed = 'E'
)

// Names of ParameterStatus messages that this project defines.
const (
	// ParameterPosition is the position of a target's log as TERM/OFFSET, reported after each commit.
	ParameterPosition = "group_position"
	// ParameterToken is the session token, reported to callers after each write or read.
	ParameterToken = "citron.token"
)

// AppendError appends an ErrorResponse for err to dst.
func AppendError(dst []byte, err error) []byte { return appendError(dst, "ERROR", err) }

// AppendFatal appends an ErrorResponse of severity FATAL to dst; the connection must be closed after it.
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
		return dst // not expected: Encode fails only for messages above the protocol's size limit
	}
	return out
}

// AppendReadyForQuery appends a ReadyForQuery with the given transaction status to dst.
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

// ParseParameterStatus returns the name and the value of a ParameterStatus frame. It reports false if the
// frame is malformed.
func ParseParameterStatus(f Frame) (name, value string, ok bool) {
	nameBytes, rest, ok := CString(f.Body())
	if !ok {
		return "", "", false
	}
	valueBytes, _, ok := CString(rest)
	return string(nameBytes), string(valueBytes), ok
}
