package pack

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc64"
)

// deltaBlock is the length in bytes of the blocks of the base that Delta looks for. Shorter matches save little more than
// their instruction takes.
const deltaBlock = 24

var (
	crcTable = crc64.MakeTable(crc64.ECMA)
	// ErrBadDelta means that a delta is malformed or belongs to another base.
	ErrBadDelta = errors.New("delta doesn't fit its base")
)

// Checksum returns the checksum by which two hosts find out whether they have the same base.
func Checksum(data []byte) uint64 { return crc64.Checksum(data, crcTable) }

// Delta returns instructions that Patch needs to make data from base, compressed if that makes them smaller: the
// checksum and the length of data, and then literals and copies from base. It takes time in proportion to both lengths.
func Delta(base, data []byte) ([]byte, error) {
	blocks := map[string]int{}
	for at := len(base) - len(base)%deltaBlock - deltaBlock; at >= 0; at -= deltaBlock {
		blocks[string(base[at:at+deltaBlock])] = at
	}
	out := []byte{deltaVersion}
	out = binary.BigEndian.AppendUint64(out, Checksum(data))
	out = binary.AppendUvarint(out, uint64(len(data)))
	literal := 0 // start of the bytes that no instruction covers yet
	for at := 0; at+deltaBlock <= len(data); {
		from, found := blocks[string(data[at:at+deltaBlock])]
		if !found {
			at++
			continue
		}
		start := at
		for start > literal && from > 0 && data[start-1] == base[from-1] {
			start, from = start-1, from-1
		}
		n := at + deltaBlock - start
		for start+n < len(data) && from+n < len(base) && data[start+n] == base[from+n] {
			n++
		}
		out = appendLiteral(out, data[literal:start])
		out = binary.AppendUvarint(out, uint64(n)<<1|1)
		out = binary.AppendUvarint(out, uint64(from))
		at = start + n
		literal = at
	}
	return Compress(appendLiteral(out, data[literal:]))
}

// deltaVersion is the first byte of a delta. It differs from the marker of compressed messages.
const deltaVersion = 1

func appendLiteral(out, data []byte) []byte {
	if len(data) == 0 {
		return out
	}
	out = binary.AppendUvarint(out, uint64(len(data))<<1)
	return append(out, data...)
}

// Patch returns the data from which Delta made a delta, given the same base. The data has at most limit bytes. The error
// is ErrBadDelta, or ErrTooLarge.
func Patch(base, delta []byte, limit int) ([]byte, error) {
	r, err := Decompress(delta, 2*limit)
	if err != nil {
		return nil, err
	}
	if len(r) < 9 || r[0] != deltaVersion {
		return nil, fmt.Errorf("%w: no header", ErrBadDelta)
	}
	sum, r := binary.BigEndian.Uint64(r[1:9]), r[9:]
	size, n := binary.Uvarint(r)
	if n <= 0 {
		return nil, fmt.Errorf("%w: no length", ErrBadDelta)
	}
	if size > uint64(limit) {
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
	}
	r = r[n:]
	out := make([]byte, 0, size)
	for len(r) > 0 {
		op, n := binary.Uvarint(r)
		if n <= 0 || op>>1 > size-uint64(len(out)) {
			return nil, fmt.Errorf("%w: bad instruction", ErrBadDelta)
		}
		r = r[n:]
		count := op >> 1
		from := r
		if op&1 == 1 {
			at, n := binary.Uvarint(r)
			if n <= 0 || at > uint64(len(base)) {
				return nil, fmt.Errorf("%w: bad offset", ErrBadDelta)
			}
			from, r = base[at:], r[n:]
		}
		if count > uint64(len(from)) {
			return nil, fmt.Errorf("%w: data is missing", ErrBadDelta)
		}
		out = append(out, from[:count]...)
		if op&1 == 0 {
			r = r[count:]
		}
	}
	if uint64(len(out)) != size || Checksum(out) != sum {
		return nil, fmt.Errorf("%w: checksum differs", ErrBadDelta)
	}
	return out, nil
}
