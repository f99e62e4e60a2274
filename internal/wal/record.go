package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/wire"
)

// A record is stored as length, checksum of the length, checksum of the body (each a big-endian
// uint32) and body. The separate checksum of the length tells a damaged length from a record that
// was cut off by a crash.
const (
	headerBytes    = 12
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is the content of one record of a segment.
type record struct {
	Segment uint64               `cbor:"1,keyasint,omitempty"` // in the first record: sequence number
	Member  uint64               `cbor:"2,keyasint,omitempty"` // in the first record: member id
	Hard    *consensus.HardState `cbor:"3,keyasint,omitempty"`
	Reset   *position            `cbor:"4,keyasint,omitempty"` // the log restarts after this entry
	Entries []consensus.Entry    `cbor:"5,keyasint,omitempty"` // replace the log from the first index on
}

// position names an entry.
type position struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// CorruptError reports a damaged file. The load stops, because data that was acknowledged is lost.
type CorruptError struct {
	File   string
	Offset int64 // in bytes
	Reason string
}

// Error names file and offset.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// encode returns v as a checksummed record.
func encode(v any) ([]byte, error) {
	body, err := wire.Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(body) > maxRecordBytes {
		return nil, fmt.Errorf("record of %d bytes: %w", len(body), wire.ErrTooLarge)
	}
	buf := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(buf, uint32(len(body)))
	binary.BigEndian.PutUint32(buf[4:], crc32.Checksum(buf[:4], castagnoli))
	binary.BigEndian.PutUint32(buf[8:], crc32.Checksum(body, castagnoli))
	return append(buf, body...), nil
}

// frame is the outcome of looking for a record at the start of data.
type frame struct {
	body   []byte
	size   int64  // of header and body
	reason string // why the record is invalid; empty if it is valid
	torn   bool   // an invalid record that a crash during its write explains
}

// parse reads the record at the start of data, which is not empty and extends to the file's end.
func parse(data []byte) frame {
	if len(data) < headerBytes {
		return frame{reason: "incomplete header", torn: true}
	}
	n := binary.BigEndian.Uint32(data)
	if crc32.Checksum(data[:4], castagnoli) != binary.BigEndian.Uint32(data[4:]) || n > maxRecordBytes {
		return frame{reason: "wrong checksum of the length", torn: allZero(data)}
	}
	size := int64(headerBytes) + int64(n)
	if size > int64(len(data)) {
		return frame{reason: "incomplete record", torn: true}
	}
	body := data[headerBytes:size]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[8:]) {
		return frame{reason: "wrong checksum of the record", torn: size == int64(len(data))}
	}
	return frame{body: body, size: size}
}

// allZero recognizes a file whose length was extended before its data reached the disk.
func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
