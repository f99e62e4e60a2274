package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/wire"
)

// A record is stored as the length of the body, the CRC-32C of the length, the CRC-32C of the body (each
// a big-endian uint32) and the body. The separate checksum of the length distinguishes a corrupt length
// from a record that was torn by a crash.
const (
	headerBytes    = 12
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is the content of one record of a segment.
type record struct {
	Segment uint64               `cbor:"1,keyasint,omitempty"` // sequence number; only in the first record
	Member  uint64               `cbor:"2,keyasint,omitempty"` // member id; only in the first record
	Hard    *consensus.HardState `cbor:"3,keyasint,omitempty"`
	Reset   *logPosition         `cbor:"4,keyasint,omitempty"` // the log restarts after this entry
	Entries []consensus.Entry    `cbor:"5,keyasint,omitempty"` // replace the log from the first one's index on
}

// logPosition identifies a log entry.
type logPosition struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// CorruptError reports corruption that a crash can't explain. Open fails, because acknowledged data may
// have been lost.
type CorruptError struct {
	File   string
	Offset int64 // in bytes
	Reason string
}

// Error returns the file, the offset and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// encodeRecord returns v as a checksummed record.
func encodeRecord(v any) ([]byte, error) {
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

// parsedRecord is the result of parsing one record.
type parsedRecord struct {
	body   []byte
	size   int64  // of header and body
	reason string // why the record is invalid; empty if it is valid
	torn   bool   // the record is invalid, but a crash during its write can be the cause
}

// parseRecord reads the record at the start of data, which must not be empty and must extend to the end of
// the file.
func parseRecord(data []byte) parsedRecord {
	if len(data) < headerBytes {
		return parsedRecord{reason: fmt.Sprintf("incomplete record header: %d of %d bytes", len(data), headerBytes), torn: true}
	}
	bodyBytes := binary.BigEndian.Uint32(data)
	if want, got := binary.BigEndian.Uint32(data[4:]), crc32.Checksum(data[:4], castagnoli); got != want {
		return parsedRecord{reason: fmt.Sprintf("checksum of the record length is %08x, want %08x", got, want), torn: allZero(data)}
	}
	if bodyBytes > maxRecordBytes {
		return parsedRecord{reason: fmt.Sprintf("record body of %d bytes, limit %d", bodyBytes, maxRecordBytes), torn: allZero(data)}
	}
	size := int64(headerBytes) + int64(bodyBytes)
	if size > int64(len(data)) {
		return parsedRecord{reason: fmt.Sprintf("incomplete record: %d of %d bytes", len(data), size), torn: true}
	}
	body := data[headerBytes:size]
	if want, got := binary.BigEndian.Uint32(data[8:]), crc32.Checksum(body, castagnoli); got != want {
		return parsedRecord{reason: fmt.Sprintf("checksum of the record body is %08x, want %08x", got, want), torn: size == int64(len(data))}
	}
	return parsedRecord{body: body, size: size}
}

// allZero reports whether data consists of zeros, as after a crash in which the file's new size reached
// the disk before its data.
func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
