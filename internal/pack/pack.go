// Package pack compresses messages. A message that is small, or that compression wouldn't shrink, is
// returned unchanged; Unpack recognises both forms.
package pack

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// marker is the first byte of a compressed message. Uncompressed messages are CBOR maps or arrays,
	// which never start with this byte.
	marker = 0x00
	// minBytes is the size below which compression doesn't pay: the Huffman code table takes about
	// 50 bytes, and text without repetitions shrinks by 40%.
	minBytes = 200
)

// writerPool holds *flate.Writer values for reuse, since each allocates more than 1 MB.
var writerPool sync.Pool

// ErrTooLarge means that a decompressed message exceeds its size limit.
var ErrTooLarge = errors.New("decompressed message exceeds its size limit")

// Compress returns data, compressed if that makes it smaller. Data must not start with the marker byte 0x00.
func Compress(data []byte) ([]byte, error) {
	if len(data) < minBytes {
		return data, nil
	}
	var out bytes.Buffer
	out.WriteByte(marker)
	w, err := getWriter(&out)
	if err != nil {
		return nil, err
	}
	defer writerPool.Put(w)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if out.Len() >= len(data) {
		return data, nil
	}
	return out.Bytes(), nil
}

func getWriter(out io.Writer) (*flate.Writer, error) {
	if w, ok := writerPool.Get().(*flate.Writer); ok {
		w.Reset(out)
		return w, nil
	}
	return flate.NewWriter(out, flate.BestSpeed)
}

// Decompress reverses Pack. It returns ErrTooLarge if a compressed message decompresses to more than limit
// bytes. An uncompressed message is returned unchanged, whatever its length.
func Decompress(data []byte, limit int) ([]byte, error) {
	if len(data) == 0 || data[0] != marker {
		return data, nil
	}
	r := flate.NewReader(bytes.NewReader(data[1:]))
	out, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if len(out) > limit {
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
	}
	return out, r.Close()
}
