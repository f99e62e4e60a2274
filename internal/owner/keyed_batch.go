package owner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/verdict"
)

// keyedBatch is a request with a request key: a simple query, or one batch of the extended protocol
// with a single Execute.
type keyedBatch struct {
	frames         []byte // as sent by the caller
	withoutExecute []byte // the same without Execute; empty for a simple query
	executes       int
	digest         hash.Hash // of the statement and its parameters, not of the names that the entry host assigns
}

// readBatch reads a batch up to and including its Sync or Query. The error is a *verdict.Error with
// verdict NotRun, or the error of the stream.
func readBatch(r *pgwire.Reader) (*keyedBatch, error) {
	b := &keyedBatch{digest: sha256.New()}
	for {
		f, err := r.Next()
		if err != nil {
			return nil, err
		}
		if len(b.frames)+len(f) > maxKeyedBytes {
			return nil, notSupported("request with a key exceeds the limit of %d bytes", maxKeyedBytes)
		}
		if err := b.add(f); err != nil {
			return nil, err
		}
		if f.Type() == pgwire.Query || f.Type() == pgwire.Sync {
			return b, b.checkSingleStatement()
		}
	}
}

func notSupported(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeNotSupported, format, args...)
}

func (b *keyedBatch) add(f pgwire.Frame) error {
	var err error
	switch f.Type() {
	case pgwire.Query:
		var m pgproto3.Query
		err = m.Decode(f.Body())
		b.executes++
		b.addToDigest([]byte(m.String))
	case pgwire.Parse:
		var m pgproto3.Parse
		err = m.Decode(f.Body())
		b.addToDigest([]byte(m.Query))
	case pgwire.Bind:
		var m pgproto3.Bind
		err = m.Decode(f.Body())
		b.addParametersToDigest(m)
	case pgwire.Execute:
		var m pgproto3.Execute
		err = m.Decode(f.Body())
		b.executes++
		if err == nil && m.MaxRows > 0 {
			err = notSupported("row limit %d in Execute: a request with a key must fetch all rows at once", m.MaxRows)
		}
	case pgwire.Describe, pgwire.Sync:
	case pgwire.Flush:
		return nil
	default:
		err = notSupported("message %q is not supported in a request with a key", f.Type())
	}
	if _, ok := errors.AsType[*verdict.Error](err); err != nil && !ok {
		err = verdict.New(verdict.NotRun, verdict.CodeProtocol, "malformed message %q: %w", f.Type(), err)
	}
	if err != nil {
		return err
	}
	b.frames = append(b.frames, f...)
	if f.Type() != pgwire.Execute && f.Type() != pgwire.Query {
		b.withoutExecute = append(b.withoutExecute, f...)
	}
	return nil
}

func (b *keyedBatch) checkSingleStatement() error {
	if b.executes != 1 {
		return notSupported("a request with a key must run exactly one statement, not %d", b.executes)
	}
	return nil
}

// addToDigest adds a value, prefixed with its length so that different lists of values can't
// produce the same input.
func (b *keyedBatch) addToDigest(v []byte) {
	_, _ = b.digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(v)))) // never fails
	_, _ = b.digest.Write(v)
}

func (b *keyedBatch) addParametersToDigest(m pgproto3.Bind) {
	for i, p := range m.Parameters {
		switch {
		case p == nil:
			b.addToDigest([]byte("null"))
		case parameterFormat(m.ParameterFormatCodes, i) == pgproto3.BinaryFormat:
			b.addToDigest([]byte("binary"))
		default:
			b.addToDigest([]byte("text"))
		}
		b.addToDigest(p)
	}
}

// parameterFormat returns the format of parameter i: without format codes all are text, and a
// single code applies to all.
func parameterFormat(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return pgproto3.TextFormat
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return pgproto3.TextFormat
}

func (b *keyedBatch) digestHex() string { return hex.EncodeToString(b.digest.Sum(nil)) }
