package position

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxSeen is the largest number of Seen in a session token.
const MaxSeen = 16

// Seen identifies a read whose position is unknown. The read reflected at most what the target had applied
// at time At, which is relative to the start of the ownership epoch and rounded up to whole microseconds.
type Seen struct {
	Target string        `cbor:"1,keyasint"`
	Epoch  uint64        `cbor:"2,keyasint"`
	At     time.Duration `cbor:"3,keyasint"`
}

// AddSeen adds s to list without modifying it. It keeps only the latest read of a target in an epoch,
// because the state of a target never goes back.
func AddSeen(list []Seen, s Seen) []Seen {
	for i, x := range list {
		if x.Target != s.Target || x.Epoch != s.Epoch {
			continue
		}
		if x.At >= s.At {
			return list
		}
		list = slices.Clone(list)
		list[i] = s
		return list
	}
	return append(slices.Clip(list), s)
}

// SeenToken returns a session token with position p and with the reads that may be later than p:
// SERVICE:TERM/OFFSET, followed by @TARGET/EPOCH/MICROSECONDS for each read.
func SeenToken(service string, p Position, seen []Seen) string {
	var b strings.Builder
	b.WriteString(Token(service, p))
	for _, s := range seen {
		fmt.Fprintf(&b, "@%s/%d/%d", s.Target, s.Epoch, s.At.Microseconds())
	}
	return b.String()
}

// ParseSeenToken parses a session token with reads. The service must match.
func ParseSeenToken(service, token string) (Position, []Seen, error) {
	head, rest, more := strings.Cut(token, "@")
	p, err := ParseToken(service, head)
	var list []Seen
	for more && err == nil {
		var part string
		var s Seen
		part, rest, more = strings.Cut(rest, "@")
		s, err = parseSeen(part)
		list = AddSeen(list, s)
	}
	if err == nil && len(list) > MaxSeen {
		err = fmt.Errorf("session token %q has %d reads, want at most %d", token, len(list), MaxSeen)
	}
	if err != nil {
		return Position{}, nil, err
	}
	return p, list, nil
}

func parseSeen(text string) (Seen, error) {
	rest, at, ok := cutLast(text)
	target, epoch, ok2 := cutLast(rest)
	if !ok || !ok2 || target == "" {
		return Seen{}, fmt.Errorf("read %q in a session token is not of the form TARGET/EPOCH/MICROSECONDS", text)
	}
	e, err := strconv.ParseUint(epoch, 10, 64)
	if err != nil {
		return Seen{}, fmt.Errorf("epoch of read %q in a session token: %w", text, err)
	}
	us, err := strconv.ParseUint(at, 10, 53) // fits into a time.Duration
	if err != nil {
		return Seen{}, fmt.Errorf("time of read %q in a session token: %w", text, err)
	}
	return Seen{Target: target, Epoch: e, At: time.Duration(us) * time.Microsecond}, nil
}

// cutLast splits text around its last slash. Target names may contain slashes.
func cutLast(text string) (before, after string, ok bool) {
	i := strings.LastIndexByte(text, '/')
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+1:], true
}
