// Package statement describes the statements of a caller and their results without regard to the
// protocol that carries them.
package statement

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/citronrun/citronrun/internal/position"
)

// Kind says what a statement does. It decides where the statement may run and whether it may be
// repeated.
type Kind uint8

// The kinds of statements.
const (
	Read      Kind = iota + 1
	Write          // outside of a block it commits by itself
	Begin          // starts a block that may write
	BeginRead      // starts a block that only reads
	Commit
	Rollback
	Set        // gives the session a value
	Prepare    // gives the session a prepared statement
	Deallocate // drops a prepared statement of the session
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	names := [...]string{"", "read", "write", "begin", "begin_read", "commit", "rollback", "set", "prepare", "deallocate"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Definition is what a prepared statement runs. Equal definitions are interchangeable.
type Definition struct {
	Kind Kind   `cbor:"1,keyasint"` // Read or Write
	Body string `cbor:"2,keyasint"`
}

// InternalID is the id of statements that citronrun itself issues.
const InternalID = "-"

const nameDigestBytes = 8

// Name returns the name under which connections to targets prepare the definition. It depends on the
// definition alone, so that the callers of a connection share it.
func (d Definition) Name() string {
	sum := sha256.Sum256(append([]byte{byte(d.Kind)}, d.Body...))
	return "c" + hex.EncodeToString(sum[:nameDigestBytes])
}

// Statement is one statement of a caller.
type Statement struct {
	ID   string `cbor:"1,keyasint"` // given by the caller
	Kind Kind   `cbor:"2,keyasint"`
	// Text is the statement as the caller sent it. With Prepared it holds the arguments only.
	Text     string      `cbor:"3,keyasint,omitempty"`
	Prepared *Definition `cbor:"4,keyasint,omitempty"` // the prepared statement to execute

	Name  string `cbor:"-"` // for Set, Prepare, Deallocate and executions: as the caller named it
	Value string `cbor:"-"` // for Set
}

// Status is the state of a session between two statements.
type Status uint8

// The states of a session.
const (
	Idle   Status = iota // outside of a block
	Block                // in a block
	Failed               // in a block that can only be rolled back
)

// Result is the answer to a statement.
type Result struct {
	Rows      []string          `cbor:"1,keyasint,omitempty"`
	Signature string            `cbor:"2,keyasint,omitempty"` // of the target; empty for local answers
	Status    Status            `cbor:"3,keyasint,omitempty"`
	Position  position.Position `cbor:"4,keyasint"` // of the target's log; zero: unknown
}
