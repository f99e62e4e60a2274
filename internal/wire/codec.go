package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/citronrun/citronrun/internal/pack"
)

// ErrTooLarge means that a message exceeds its size limit, encoded or decompressed.
var ErrTooLarge = errors.New("message exceeds its size limit")

const (
	maxNestedLevels = 16
	maxElements     = 1 << 16
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

var deterministicMode = mustEncMode(cbor.CanonicalEncOptions())

func mustEncMode(opts cbor.EncOptions) cbor.EncMode {
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// MarshalDeterministic encodes v as CBOR that is the same at every host: maps are sorted by key.
func MarshalDeterministic(v any) ([]byte, error) { return deterministicMode.Marshal(v) }

// Marshal encodes v as CBOR.
func Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes CBOR with limits on nesting and element counts.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }

// compressible is implemented by messages that Write may compress. Read accepts them in either form.
type compressible interface {
	// worthCompressing reports whether saving bandwidth matters more than the time to compress.
	worthCompressing() bool
}

func encode(v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if c, ok := v.(compressible); ok && err == nil && c.worthCompressing() {
		return pack.Compress(body)
	}
	return body, err
}

// Write encodes v and writes it, preceded by its length, in a single call of w.Write.
func Write(w io.Writer, v any) error {
	body, err := encode(v)
	if err != nil {
		return fmt.Errorf("encode %T: %w", v, err)
	}
	if len(body) > MaxSnapshotBytes {
		return fmt.Errorf("encode %T: %d bytes, limit %d: %w", v, len(body), MaxSnapshotBytes, ErrTooLarge)
	}
	buf := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(buf, uint32(len(body)))
	_, err = w.Write(append(buf, body...))
	return err
}

// Read reads one message into v. The message may have at most limit bytes, both as received and
// decompressed. Read consumes no bytes after the message.
func Read(r io.Reader, v any, limit int) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if uint64(n) > uint64(limit) {
		return fmt.Errorf("read %T: %d bytes, limit %d: %w", v, n, limit, ErrTooLarge)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return fmt.Errorf("read %T: %w", v, err)
	}
	body, err := pack.Decompress(body, limit)
	if errors.Is(err, pack.ErrTooLarge) {
		err = fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	if err != nil {
		return fmt.Errorf("decompress %T: %w", v, err)
	}
	if err := decMode.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
