// Package position defines positions in the replicated log of a service's targets, and the session tokens that
// carry them.
package position

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Position is a position in a service's log: the term of the primary that wrote the last record before it, and
// the offset, in bytes or records, depending on the database. The zero value precedes all others.
type Position struct {
	Term   uint64 `cbor:"1,keyasint" json:"term"`
	Offset uint64 `cbor:"2,keyasint" json:"offset"`
}

// Compare returns -1, 0 or 1. It compares the terms first, then the offsets.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// Covers reports whether p is at or past q.
func (p Position) Covers(q Position) bool { return p.Compare(q) >= 0 }

// IsZero reports whether p is the zero position.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of p and q.
func (p Position) Max(q Position) Position {
	if q.Compare(p) > 0 {
		return q
	}
	return p
}

// String returns the form TERM/OFFSET, in decimal.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// Parse parses the form TERM/OFFSET.
func Parse(s string) (Position, error) {
	termText, offsetText, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, fmt.Errorf("position %q is not of the form TERM/OFFSET", s)
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("term of position %q: %w", s, err)
	}
	offset, err := strconv.ParseUint(offsetText, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("offset of position %q: %w", s, err)
	}
	return Position{Term: term, Offset: offset}, nil
}

// Token returns a session token, SERVICE:TERM/OFFSET. A caller presents it so that its later reads reflect
// at least this position.
func Token(service string, p Position) string { return service + ":" + p.String() }

// ParseToken parses a session token. The service must match, because positions of different services are not
// comparable.
func ParseToken(service, token string) (Position, error) {
	tokenService, position, ok := strings.Cut(token, ":")
	if !ok || tokenService != service {
		return Position{}, fmt.Errorf("session token %q is not for service %q", token, service)
	}
	return Parse(position)
}
