package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// fakeSnapshot has one service, "awnings", and one team, "red". The service needs a key unless open is
// set.
type fakeSnapshot struct {
	team   catalog.Team
	open   bool
	policy catalog.EffectivePolicy
}

func (s fakeSnapshot) Service(n string) (catalog.Service, bool) {
	return catalog.Service{Databases: 3}, n == "awnings"
}
func (s fakeSnapshot) IsOpen(string) bool { return s.open }
func (s fakeSnapshot) Team(n string) (catalog.Team, bool) {
	return s.team, n == "red"
}
func (s fakeSnapshot) EffectivePolicy(string, string) catalog.EffectivePolicy { return s.policy }
func (s fakeSnapshot) Revision() uint64                                       { return 1 }

// fakeCluster stands for the rest of the cluster: it implements Transactor, Directory and Canceler. A
// fakeTarget in its own goroutine serves each transaction.
type fakeCluster struct {
	mu                 sync.Mutex
	snap               fakeSnapshot
	confirmedAge       time.Duration
	beginErrors        []error // Begin returns these first
	rateTokens         int     // AcquireTokens refuses at 0; negative: no limit
	onRateTokenRefused func()  // called once, at the first refusal of a token
	requests           []wire.TxRequest
	firstFrames        []string // the first frames of each request
	canceled           []wire.Cancel

	writes      atomic.Int64
	rollbacks   atomic.Int64
	copiedBytes atomic.Int64
	waitStarted chan struct{} // receives a value when a "wait" statement starts to run
	endWait     chan struct{} // each value ends one "wait" statement
	outcomes    chan string   // if not nil, receives "end" or "rollback" for each transaction
	lastStream  net.Conn      // the owner's end of the latest stream
}

func (fc *fakeCluster) Catalog() Snapshot {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.snap
}

func (fc *fakeCluster) ConfirmedAge() time.Duration {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.confirmedAge
}

func (fc *fakeCluster) AcquireTokens(context.Context, string, int) error {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if fc.rateTokens == 0 {
		if f := fc.onRateTokenRefused; f != nil {
			fc.onRateTokenRefused = nil
			f()
		}
		return verdict.New(verdict.NotRun, verdict.CodeRateExceeded, "rate exceeded")
	}
	fc.rateTokens--
	return nil
}

func (fc *fakeCluster) Cancel(_ context.Context, c wire.Cancel) error {
	fc.mu.Lock()
	fc.canceled = append(fc.canceled, c)
	fc.mu.Unlock()
	fc.endWait <- struct{}{}
	return nil
}

func (fc *fakeCluster) Begin(_ context.Context, req wire.TxRequest, first []byte) (io.ReadWriteCloser, error) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.requests = append(fc.requests, req)
	fc.firstFrames = append(fc.firstFrames, string(first))
	if len(fc.beginErrors) > 0 {
		err := fc.beginErrors[0]
		fc.beginErrors = fc.beginErrors[1:]
		return nil, err
	}
	entryEnd, ownerEnd := net.Pipe()
	fc.lastStream = ownerEnd
	target := &fakeTarget{cluster: fc, conn: ownerEnd, status: pgwire.TxIdle, prepared: map[string]string{}, portals: map[string]string{}}
	target.rd = pgwire.NewReader(io.MultiReader(bytes.NewReader(bytes.Clone(first)), ownerEnd), pgwire.MaxFrameBytes)
	go target.serve()
	return entryEnd, nil
}

func (fc *fakeCluster) lastRequest() wire.TxRequest {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.requests[len(fc.requests)-1]
}

// fakeTarget serves one transaction. It recognizes a few statements by their first word, and answers any
// other with the command tag OK.
type fakeTarget struct {
	cluster    *fakeCluster
	conn       net.Conn
	rd         *pgwire.Reader
	out        []byte
	status     byte
	skipToSync bool // after an error
	prepared   map[string]string
	portals    map[string]string
}

var errStreamReset = errors.New("stream reset by fault injection")

func (t *fakeTarget) serve() {
	defer t.conn.Close()
	outcome := "end"
	for {
		f, err := t.rd.Next()
		if err == nil {
			err = t.handle(f)
		}
		if err != nil {
			if t.status != pgwire.TxIdle {
				t.cluster.rollbacks.Add(1)
				outcome = "rollback"
			}
			break
		}
		if (f.Type() == pgwire.Sync || f.Type() == pgwire.Query) && t.status == pgwire.TxIdle {
			break
		}
	}
	if t.cluster.outcomes != nil {
		t.cluster.outcomes <- outcome
	}
}

func (t *fakeTarget) flush() error {
	_, err := t.conn.Write(t.out)
	t.out = t.out[:0]
	return err
}

func (t *fakeTarget) sendReady() error {
	t.out = pgwire.AppendReadyForQuery(t.out, t.status)
	return t.flush()
}

func (t *fakeTarget) bufferMessage(m pgproto3.BackendMessage) { t.out, _ = m.Encode(t.out) }

func (t *fakeTarget) bufferError(code string) {
	t.bufferMessage(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "statement failed by fault injection"})
	if t.status == pgwire.TxBlock {
		t.status = pgwire.TxFailed
	}
	t.skipToSync = true
}

func (t *fakeTarget) handle(f pgwire.Frame) error {
	if t.skipToSync && f.Type() != pgwire.Sync && f.Type() != pgwire.Query {
		return nil
	}
	switch f.Type() {
	case pgwire.Query:
		sql, _, _ := pgwire.CString(f.Body())
		if err := t.run(string(sql), true); err != nil {
			return err
		}
		t.skipToSync = false
		return t.sendReady()
	case pgwire.Sync:
		t.skipToSync = false
		return t.sendReady()
	case pgwire.Flush:
		return t.flush()
	}
	return t.handleExtended(f)
}

func (t *fakeTarget) handleExtended(f pgwire.Frame) error {
	switch f.Type() {
	case pgwire.Parse:
		name, rest, _ := pgwire.CString(f.Body())
		sql, _, _ := pgwire.CString(rest)
		if _, dup := t.prepared[string(name)]; dup && len(name) > 0 {
			t.bufferError("42P05")
			return nil
		}
		t.prepared[string(name)] = string(sql)
		t.bufferMessage(&pgproto3.ParseComplete{})
	case pgwire.Bind:
		portal, rest, _ := pgwire.CString(f.Body())
		name, _, _ := pgwire.CString(rest)
		sql, ok := t.prepared[string(name)]
		if !ok {
			t.bufferError("26000")
			return nil
		}
		t.portals[string(portal)] = sql
		t.bufferMessage(&pgproto3.BindComplete{})
	case pgwire.Describe:
		t.describe(f.Body()[0], string(f.Body()[1:len(f.Body())-1]))
	case pgwire.Execute:
		portal, _, _ := pgwire.CString(f.Body())
		return t.run(t.portals[string(portal)], false)
	case pgwire.Close:
		t.bufferMessage(&pgproto3.CloseComplete{})
	}
	return nil
}

func (t *fakeTarget) describe(kind byte, name string) {
	sql, ok := t.portals[name]
	if kind == 'S' {
		sql, ok = t.prepared[name]
	}
	if !ok {
		t.bufferError("26000")
		return
	}
	if kind == 'S' {
		oids := make([]uint32, strings.Count(sql, "$"))
		for i := range oids {
			oids[i] = oidText
		}
		t.bufferMessage(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	}
	if strings.HasPrefix(sql, "select") {
		t.out = rowDescription(t.out, "answer")
		return
	}
	t.bufferMessage(&pgproto3.NoData{})
}

func (t *fakeTarget) bufferRow(value string) {
	t.bufferMessage(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
}

func (t *fakeTarget) bufferCommandComplete(tag string) {
	t.bufferMessage(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (t *fakeTarget) run(sql string, simple bool) error {
	word, rest, _ := strings.Cut(sql, " ")
	if t.status == pgwire.TxFailed && word != "rollback" && word != "commit" {
		t.bufferError("25P02")
		return nil
	}
	if simple && word == "select" {
		t.out = rowDescription(t.out, "answer")
	}
	switch word {
	case "begin":
		t.status = pgwire.TxBlock
		t.bufferCommandComplete("BEGIN")
	case "commit", "rollback":
		t.status = pgwire.TxIdle
		t.bufferCommandComplete(strings.ToUpper(word))
	case "insert":
		n := t.cluster.writes.Add(1)
		t.out = pgwire.AppendParameterStatus(t.out, pgwire.ParameterToken, fmt.Sprintf("awnings:1/%d", n))
		t.bufferCommandComplete("INSERT 0 1")
	case "copy":
		return t.runCopy(rest)
	case "fail":
		t.bufferError("XX000")
	case "break":
		return errStreamReset
	case "wait":
		t.cluster.waitStarted <- struct{}{}
		<-t.cluster.endWait
		t.bufferCommandComplete("WAIT")
	case "select":
		return t.selectRows(rest)
	default:
		t.bufferCommandComplete("OK")
	}
	return nil
}

// selectRows runs a select. "rows N" and "canned N" return N rows, the latter from a prebuilt chunk;
// "breakmid" resets the stream and "failmid" fails after the first row. Any other query returns its own
// text.
func (t *fakeTarget) selectRows(query string) error {
	switch word, arg, _ := strings.Cut(query, " "); word {
	case "canned":
		n, _ := strconv.Atoi(arg)
		chunk := bytes.Repeat(pgwire.Append(nil, pgwire.DataRow, []byte("\x00\x01\x00\x00\x00\x04abcd")), 100)
		for range n / 100 {
			if _, err := t.conn.Write(chunk); err != nil {
				return err
			}
		}
		t.bufferCommandComplete("SELECT")
	case "rows":
		n, _ := strconv.Atoi(arg)
		for i := range n {
			t.bufferRow(strconv.Itoa(i))
			if len(t.out) > 8<<10 {
				if err := t.flush(); err != nil {
					return err
				}
			}
		}
		t.bufferCommandComplete("SELECT")
	case "breakmid":
		t.bufferRow("one")
		_ = t.flush()
		return errStreamReset
	case "failmid":
		t.bufferRow("one")
		t.bufferError("XX000")
	default:
		t.bufferRow(query)
		t.bufferCommandComplete("SELECT 1")
	}
	return nil
}

func (t *fakeTarget) runCopy(query string) error {
	if strings.HasSuffix(query, "to stdout") {
		t.bufferMessage(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0}})
		for range 1000 {
			t.bufferMessage(&pgproto3.CopyData{Data: []byte("line\n")})
		}
		t.bufferMessage(&pgproto3.CopyDone{})
		t.bufferCommandComplete("COPY 1000")
		return nil
	}
	t.status = max(t.status, pgwire.TxBlock) // the copy rolls back if the stream ends
	t.bufferMessage(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0}})
	if err := t.flush(); err != nil {
		return err
	}
	for {
		f, err := t.rd.Next()
		if err != nil {
			return err
		}
		switch f.Type() {
		case pgwire.CopyData:
			t.cluster.copiedBytes.Add(int64(len(f.Body())))
		case pgwire.CopyDone:
			t.status = pgwire.TxIdle
			t.bufferCommandComplete("COPY 1")
			return nil
		case pgwire.CopyFail:
			t.status = pgwire.TxIdle
			t.bufferError("57014")
			return nil
		}
	}
}
