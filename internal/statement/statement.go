// Package statement defines the statements of callers and their results, independent of the protocol
// that carries them.
package statement

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/citronrun/citronrun/internal/position"
)

// Kind is the type of a statement. It determines where the statement may run and whether it may be
// retried.
type Kind uint8

// The kinds of statements.
const (
	Read      Kind = iota + 1
	Write          // outside of a transaction block it commits by itself
	Begin          // starts a read-write transaction block
	BeginRead      // starts a read-only transaction block
	Commit
	Rollback
	Set        // changes a setting of the session
	Prepare    // adds a prepared statement to the session
	Deallocate // removes a prepared statement from the session
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	names := [...]string{"", "read", "write", "begin", "begin_read", "commit", "rollback", "set", "prepare", "deallocate"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Definition is the content of a prepared statement. Equal definitions are interchangeable.
type Definition struct {
	Kind Kind   `cbor:"1,keyasint"` // Read or Write
	Body string `cbor:"2,keyasint"`
}

// InternalID is the id of statements that citronrun issues itself.
const InternalID = "-"

const nameDigestBytes = 8

// Name returns the name under which the definition is prepared on connections to targets. It depends only
// on the definition, so that all callers that use a connection share the prepared statement.
func (d Definition) Name() string {
	sum := sha256.Sum256(append([]byte{byte(d.Kind)}, d.Body...))
	return "c" + hex.EncodeToString(sum[:nameDigestBytes])
}

// Statement is one statement of a caller.
type Statement struct {
	ID   string `cbor:"1,keyasint"` // chosen by the caller
	Kind Kind   `cbor:"2,keyasint"`
	// Text is the statement as the caller sent it. If Prepared is set, it holds only the arguments.
	Text     string      `cbor:"3,keyasint,omitempty"`
	Prepared *Definition `cbor:"4,keyasint,omitempty"` // the prepared statement to execute

	// Name is the name of the setting or prepared statement as the caller wrote it, for Set, Prepare,
	// Deallocate and executions.
	Name  string `cbor:"-"`
	Value string `cbor:"-"` // for Set
}

// Status is the transaction state of a session between two statements.
type Status uint8

// The states of a session.
const (
	Idle   Status = iota // not in a transaction block
	Block                // in a transaction block
	Failed               // in a transaction block that can only be rolled back
)

// Result is the reply to a statement.
type Result struct {
	Rows      []string          `cbor:"1,keyasint,omitempty"`
	Signature string            `cbor:"2,keyasint,omitempty"` // of the target; empty for local answers
	Status    Status            `cbor:"3,keyasint,omitempty"`
	Position  position.Position `cbor:"4,keyasint"` // in the target's log; zero: unknown
}
