package position

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxObservedReads bounds the number of Seen in a token.
const MaxObservedReads = 16

// ObservedRead names a read whose exact position is unknown: it reflected at most what the target had applied
// at the time At. At counts from the start of the ownership epoch, in whole microseconds rounded up.
type ObservedRead struct {
	Target string        `cbor:"1,keyasint"`
	Epoch  uint64        `cbor:"2,keyasint"`
	At     time.Duration `cbor:"3,keyasint"`
}

// AddObservedRead adds s to list. Of two reads of one target in one epoch the later one counts, since a
// target never goes back.
func AddObservedRead(list []ObservedRead, s ObservedRead) []ObservedRead {
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

// TokenWithReads returns a session token with the reads that p may not cover:
// SERVICE:TERM/OFFSET followed by @TARGET/EPOCH/MICROSECONDS for each of them.
func TokenWithReads(service string, p Position, seen []ObservedRead) string {
	var b strings.Builder
	b.WriteString(Token(service, p))
	for _, s := range seen {
		fmt.Fprintf(&b, "@%s/%d/%d", s.Target, s.Epoch, s.At.Microseconds())
	}
	return b.String()
}

// ParseTokenWithReads reads a session token with its reads. The service must match.
func ParseTokenWithReads(service, token string) (Position, []ObservedRead, error) {
	head, rest, more := strings.Cut(token, "@")
	p, err := ParseToken(service, head)
	var list []ObservedRead
	for more && err == nil {
		var part string
		var s ObservedRead
		part, rest, more = strings.Cut(rest, "@")
		s, err = parseSeen(part)
		list = AddObservedRead(list, s)
	}
	if err == nil && len(list) > MaxObservedReads {
		err = fmt.Errorf("session token %q names more than %d reads", token, MaxObservedReads)
	}
	if err != nil {
		return Position{}, nil, err
	}
	return p, list, nil
}

func parseSeen(text string) (ObservedRead, error) {
	rest, at, ok := cutLast(text)
	target, epoch, ok2 := cutLast(rest)
	if !ok || !ok2 || target == "" {
		return ObservedRead{}, fmt.Errorf("read %q of a session token is malformed", text)
	}
	e, err := strconv.ParseUint(epoch, 10, 64)
	if err != nil {
		return ObservedRead{}, fmt.Errorf("epoch of read %q: %w", text, err)
	}
	us, err := strconv.ParseUint(at, 10, 53) // fits into a time.Duration
	if err != nil {
		return ObservedRead{}, fmt.Errorf("time of read %q: %w", text, err)
	}
	return ObservedRead{Target: target, Epoch: e, At: time.Duration(us) * time.Microsecond}, nil
}

// cutLast splits text around its last slash. The name of a target may contain slashes.
func cutLast(text string) (before, after string, ok bool) {
	i := strings.LastIndexByte(text, '/')
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+1:], true
}
