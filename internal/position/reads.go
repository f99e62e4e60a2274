package position

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxObservedReads is the largest number of observed reads in a session token.
const MaxObservedReads = 16

// ObservedRead identifies a read whose position is unknown. The read reflected at most what the target had
// applied at time At, which is relative to the start of the ownership epoch and rounded up to whole
// microseconds.
type ObservedRead struct {
	Target string        `cbor:"1,keyasint"`
	Epoch  uint64        `cbor:"2,keyasint"`
	At     time.Duration `cbor:"3,keyasint"`
}

// AddObservedRead returns a copy of reads with read added, or reads itself if it already holds a later read of
// the target in the epoch. Of the reads of a target in an epoch it keeps only the latest, because a target's
// state never goes back.
func AddObservedRead(reads []ObservedRead, read ObservedRead) []ObservedRead {
	for i, old := range reads {
		if old.Target != read.Target || old.Epoch != read.Epoch {
			continue
		}
		if old.At >= read.At {
			return reads
		}
		reads = slices.Clone(reads)
		reads[i] = read
		return reads
	}
	return append(slices.Clip(reads), read)
}

// TokenWithReads returns a session token with position p and with the observed reads that p may not cover:
// SERVICE:TERM/OFFSET, followed by @TARGET/EPOCH/MICROSECONDS for each read.
func TokenWithReads(service string, p Position, reads []ObservedRead) string {
	var b strings.Builder
	b.WriteString(Token(service, p))
	for _, read := range reads {
		fmt.Fprintf(&b, "@%s/%d/%d", read.Target, read.Epoch, read.At.Microseconds())
	}
	return b.String()
}

// ParseTokenWithReads parses a session token with observed reads. The service must match.
func ParseTokenWithReads(service, token string) (Position, []ObservedRead, error) {
	head, rest, more := strings.Cut(token, "@")
	p, err := ParseToken(service, head)
	var reads []ObservedRead
	for more && err == nil {
		var part string
		var read ObservedRead
		part, rest, more = strings.Cut(rest, "@")
		read, err = parseRead(part)
		reads = AddObservedRead(reads, read)
	}
	if err == nil && len(reads) > MaxObservedReads {
		err = fmt.Errorf("session token %q has %d reads, want at most %d", token, len(reads), MaxObservedReads)
	}
	if err != nil {
		return Position{}, nil, err
	}
	return p, reads, nil
}

func parseRead(text string) (ObservedRead, error) {
	rest, micros, hasTime := cutLast(text)
	target, epochText, hasEpoch := cutLast(rest)
	if !hasTime || !hasEpoch || target == "" {
		return ObservedRead{}, fmt.Errorf("read %q in a session token is not of the form TARGET/EPOCH/MICROSECONDS", text)
	}
	epoch, err := strconv.ParseUint(epochText, 10, 64)
	if err != nil {
		return ObservedRead{}, fmt.Errorf("epoch of read %q in a session token: %w", text, err)
	}
	us, err := strconv.ParseUint(micros, 10, 53) // fits into a time.Duration
	if err != nil {
		return ObservedRead{}, fmt.Errorf("time of read %q in a session token: %w", text, err)
	}
	return ObservedRead{Target: target, Epoch: epoch, At: time.Duration(us) * time.Microsecond}, nil
}

// cutLast splits text around its last slash. Target names may contain slashes.
func cutLast(text string) (before, after string, ok bool) {
	i := strings.LastIndexByte(text, '/')
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+1:], true
}
