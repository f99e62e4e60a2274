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

// fakeSnapshot has one keyed service "awnings", and one team "red" on it.
type fakeSnapshot struct {
	team catalog.Team
	open bool
	rule catalog.EffectivePolicy
}

func (s fakeSnapshot) Service(n string) (catalog.Service, bool) {
	return catalog.Service{Databases: 3}, n == "awnings"
}
func (s fakeSnapshot) IsOpen(string) bool { return s.open }
func (s fakeSnapshot) Team(n string) (catalog.Team, bool) {
	return s.team, n == "red"
}
func (s fakeSnapshot) EffectivePolicy(string, string) catalog.EffectivePolicy { return s.rule }
func (s fakeSnapshot) Revision() uint64                                       { return 1 }

// fakeOwner is Transactor, Directory and Canceler in one. Each transaction is served by a goroutine
// that answers a few known statements.
type fakeOwner struct {
	mu        sync.Mutex
	snap      fakeSnapshot
	confirmed time.Duration
	refuse    []error // Begin returns these first
	tokens    int     // Take refuses at 0; negative: no limit
	refused   func()  // called once, at the first refusal of a token
	requests  []wire.TxRequest
	firsts    []string // the first frames of each of requests
	canceled  []wire.Cancel

	writes    atomic.Int64
	rollbacks atomic.Int64
	copied    atomic.Int64
	waiting   chan struct{} // receives one value for each "wait" that runs
	release   chan struct{} // ends one "wait" for each value
	ended     chan string   // how transactions ended, when not nil
	last      net.Conn      // the owner's end of the latest stream
}

func (o *fakeOwner) Catalog() Snapshot {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.snap
}

func (o *fakeOwner) ConfirmedAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmed
}

func (o *fakeOwner) AcquireTokens(context.Context, string, int) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tokens == 0 {
		if f := o.refused; f != nil {
			o.refused = nil
			f()
		}
		return verdict.New(verdict.NotRun, verdict.CodeRateExceeded, "rate exceeded")
	}
	o.tokens--
	return nil
}

func (o *fakeOwner) Cancel(_ context.Context, c wire.Cancel) error {
	o.mu.Lock()
	o.canceled = append(o.canceled, c)
	o.mu.Unlock()
	o.release <- struct{}{}
	return nil
}

func (o *fakeOwner) Begin(_ context.Context, req wire.TxRequest, first []byte) (io.ReadWriteCloser, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests = append(o.requests, req)
	o.firsts = append(o.firsts, string(first))
	if len(o.refuse) > 0 {
		err := o.refuse[0]
		o.refuse = o.refuse[1:]
		return nil, err
	}
	near, far := net.Pipe()
	o.last = far
	t := &fakeTarget{owner: o, conn: far, status: pgwire.TxIdle, prepared: map[string]string{}, portals: map[string]string{}}
	t.rd = pgwire.NewReader(io.MultiReader(bytes.NewReader(bytes.Clone(first)), far), pgwire.MaxFrameBytes)
	go t.serve()
	return near, nil
}

func (o *fakeOwner) lastRequest() wire.TxRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.requests[len(o.requests)-1]
}

type fakeTarget struct {
	owner    *fakeOwner
	conn     net.Conn
	rd       *pgwire.Reader
	out      []byte
	status   byte
	failed   bool // skip to Sync
	prepared map[string]string
	portals  map[string]string
}

var errBreak = errors.New("stream broken on purpose")

func (t *fakeTarget) serve() {
	defer t.conn.Close()
	how := "end"
	for {
		f, err := t.rd.Next()
		if err == nil {
			err = t.handle(f)
		}
		if err != nil {
			if t.status != pgwire.TxIdle {
				t.owner.rollbacks.Add(1)
				how = "rollback"
			}
			break
		}
		if (f.Type() == pgwire.Sync || f.Type() == pgwire.Query) && t.status == pgwire.TxIdle {
			break
		}
	}
	if t.owner.ended != nil {
		t.owner.ended <- how
	}
}

func (t *fakeTarget) flush() error {
	_, err := t.conn.Write(t.out)
	t.out = t.out[:0]
	return err
}

func (t *fakeTarget) ready() error {
	t.out = pgwire.AppendReadyForQuery(t.out, t.status)
	return t.flush()
}

func (t *fakeTarget) message(m pgproto3.BackendMessage) { t.out, _ = m.Encode(t.out) }

func (t *fakeTarget) fail(code string) {
	t.message(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "failed on purpose"})
	if t.status == pgwire.TxBlock {
		t.status = pgwire.TxFailed
	}
	t.failed = true
}

func (t *fakeTarget) handle(f pgwire.Frame) error {
	if t.failed && f.Type() != pgwire.Sync && f.Type() != pgwire.Query {
		return nil
	}
	switch f.Type() {
	case pgwire.Query:
		sql, _, _ := pgwire.CString(f.Body())
		if err := t.run(string(sql), true); err != nil {
			return err
		}
		t.failed = false
		return t.ready()
	case pgwire.Sync:
		t.failed = false
		return t.ready()
	case pgwire.Flush:
		return t.flush()
	}
	return t.extended(f)
}

func (t *fakeTarget) extended(f pgwire.Frame) error {
	switch f.Type() {
	case pgwire.Parse:
		name, rest, _ := pgwire.CString(f.Body())
		sql, _, _ := pgwire.CString(rest)
		if _, dup := t.prepared[string(name)]; dup && len(name) > 0 {
			t.fail("42P05")
			return nil
		}
		t.prepared[string(name)] = string(sql)
		t.message(&pgproto3.ParseComplete{})
	case pgwire.Bind:
		portal, rest, _ := pgwire.CString(f.Body())
		name, _, _ := pgwire.CString(rest)
		sql, ok := t.prepared[string(name)]
		if !ok {
			t.fail("26000")
			return nil
		}
		t.portals[string(portal)] = sql
		t.message(&pgproto3.BindComplete{})
	case pgwire.Describe:
		t.describe(f.Body()[0], string(f.Body()[1:len(f.Body())-1]))
	case pgwire.Execute:
		portal, _, _ := pgwire.CString(f.Body())
		return t.run(t.portals[string(portal)], false)
	case pgwire.Close:
		t.message(&pgproto3.CloseComplete{})
	}
	return nil
}

func (t *fakeTarget) describe(kind byte, name string) {
	sql, ok := t.portals[name]
	if kind == 'S' {
		sql, ok = t.prepared[name]
	}
	if !ok {
		t.fail("26000")
		return
	}
	if kind == 'S' {
		oids := make([]uint32, strings.Count(sql, "$"))
		for i := range oids {
			oids[i] = oidText
		}
		t.message(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	}
	if strings.HasPrefix(sql, "select") {
		t.out = rowDescription(t.out, "answer")
		return
	}
	t.message(&pgproto3.NoData{})
}

func (t *fakeTarget) row(v string) { t.message(&pgproto3.DataRow{Values: [][]byte{[]byte(v)}}) }

func (t *fakeTarget) tag(s string) { t.message(&pgproto3.CommandComplete{CommandTag: []byte(s)}) }

func (t *fakeTarget) run(sql string, simple bool) error {
	word, rest, _ := strings.Cut(sql, " ")
	if t.status == pgwire.TxFailed && word != "rollback" && word != "commit" {
		t.fail("25P02")
		return nil
	}
	if simple && word == "select" {
		t.out = rowDescription(t.out, "answer")
	}
	switch word {
	case "begin":
		t.status = pgwire.TxBlock
		t.tag("BEGIN")
	case "commit", "rollback":
		t.status = pgwire.TxIdle
		t.tag(strings.ToUpper(word))
	case "insert":
		n := t.owner.writes.Add(1)
		t.out = pgwire.AppendParameterStatus(t.out, pgwire.ParameterToken, fmt.Sprintf("awnings:1/%d", n))
		t.tag("INSERT 0 1")
	case "copy":
		return t.copy(rest)
	case "fail":
		t.fail("XX000")
	case "break":
		return errBreak
	case "wait":
		t.owner.waiting <- struct{}{}
		<-t.owner.release
		t.tag("WAIT")
	case "select":
		return t.selectRows(rest)
	default:
		t.tag("OK")
	}
	return nil
}

// selectRows understands "rows N", "breakmid", "failmid" and anything else, which it returns.
func (t *fakeTarget) selectRows(what string) error {
	switch word, arg, _ := strings.Cut(what, " "); word {
	case "canned":
		n, _ := strconv.Atoi(arg)
		chunk := bytes.Repeat(pgwire.Append(nil, pgwire.DataRow, []byte("\x00\x01\x00\x00\x00\x04abcd")), 100)
		for range n / 100 {
			if _, err := t.conn.Write(chunk); err != nil {
				return err
			}
		}
		t.tag("SELECT")
	case "rows":
		n, _ := strconv.Atoi(arg)
		for i := range n {
			t.row(strconv.Itoa(i))
			if len(t.out) > 8<<10 {
				if err := t.flush(); err != nil {
					return err
				}
			}
		}
		t.tag("SELECT")
	case "breakmid":
		t.row("one")
		_ = t.flush()
		return errBreak
	case "failmid":
		t.row("one")
		t.fail("XX000")
	default:
		t.row(what)
		t.tag("SELECT 1")
	}
	return nil
}

func (t *fakeTarget) copy(what string) error {
	if strings.HasSuffix(what, "to stdout") {
		t.message(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0}})
		for range 1000 {
			t.message(&pgproto3.CopyData{Data: []byte("line\n")})
		}
		t.message(&pgproto3.CopyDone{})
		t.tag("COPY 1000")
		return nil
	}
	t.status = max(t.status, pgwire.TxBlock) // the copy rolls back if the stream ends
	t.message(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0}})
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
			t.owner.copied.Add(int64(len(f.Body())))
		case pgwire.CopyDone:
			t.status = pgwire.TxIdle
			t.tag("COPY 1")
			return nil
		case pgwire.CopyFail:
			t.status = pgwire.TxIdle
			t.fail("57014")
			return nil
		}
	}
}
