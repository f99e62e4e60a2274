package standin

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes that the stand-in reports.
const (
	codeNotSupported      = "0A000"
	codeProtocol          = "08P01"
	codeInvalidText       = "22P02"
	codeInvalidCopyFormat = "22P04"
	codeInvalidParameter  = "22023"
	codeNotNull           = "23502"
	codeUnique            = "23505"
	codeReadOnly          = "25006"
	codeFailedTx          = "25P02"
	codeNoStatement       = "26000"
	codeInvalidPassword   = "28P01"
	codeNoPortal          = "34000"
	codeSerialization     = "40001"
	codeSyntax            = "42601"
	codeNoColumn          = "42703"
	codeNoFunction        = "42883"
	codeNoTable           = "42P01"
	codeDuplicateStmt     = "42P05"
	codeDuplicateTable    = "42P07"
	codeTooManyConns      = "53300"
	codeWrongState        = "55000"
	codeCancelled         = "57014"
	codeCannotConnect     = "57P03"
	codeCopyInterrupted   = "57014"
)

// pgError is an error that is reported to the client as an ErrorResponse.
type pgError struct {
	code    string
	message string
}

func (e *pgError) Error() string { return e.message + " (SQLSTATE " + e.code + ")" }

func sqlError(code, format string, args ...any) error {
	return &pgError{code: code, message: fmt.Sprintf(format, args...)}
}

// errorResponse returns the ErrorResponse for err, with code XX000 (internal error) unless err is a
// pgError.
func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	e, ok := errors.AsType[*pgError](err)
	if !ok {
		e = &pgError{code: "XX000", message: err.Error()}
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.code,
		Message:             e.message,
	}
}
