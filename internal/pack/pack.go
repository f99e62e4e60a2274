// Package pack compresses large messages. What it returns for small ones is the message itself.
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
	// marker starts a compressed message. No CBOR map or array, which all messages are, starts with it.
	marker = 0x00
	// minBytes is the size below which compression doesn't pay: the table of codes takes about 50 bytes,
	// and text without repetitions shrinks by 40%.
	minBytes = 200
)

// writers are reused, since each takes more than a megabyte.
var writers sync.Pool // of *flate.Writer

// ErrTooLarge means that a message is larger than its limit once it is unpacked.
var ErrTooLarge = errors.New("packed message exceeds its size limit")

// Compress returns data, compressed if that makes it smaller. Data must not start with a zero byte.
func Compress(data []byte) ([]byte, error) {
	if len(data) < minBytes {
		return data, nil
	}
	var out bytes.Buffer
	out.WriteByte(marker)
	w, err := writer(&out)
	if err != nil {
		return nil, err
	}
	defer writers.Put(w)
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

func writer(out io.Writer) (*flate.Writer, error) {
	if w, ok := writers.Get().(*flate.Writer); ok {
		w.Reset(out)
		return w, nil
	}
	return flate.NewWriter(out, flate.BestSpeed)
}

// Decompress returns what Pack was given, if it isn't longer than limit bytes.
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
		return nil, ErrTooLarge
	}
	return out, r.Close()
}
