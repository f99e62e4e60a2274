package owner

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/routing"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// harness runs a Manager on a fake database group inside a synctest bubble. It is also the
// Manager's Catalog.
type harness struct {
	*fakeGroup
	t              *testing.T
	manager        *Manager
	leaseValid     atomic.Bool
	leasesReturned atomic.Int32 // calls of ReturnLease
	seq            uint64
	policy         catalog.EffectivePolicy
	useBegin       bool // transactions go through Begin, except writes with a request key
}

func (h *harness) Service(string) (catalog.Service, bool) {
	return catalog.Service{Databases: 3, Slots: 2, Connections: 16}, true
}

func (h *harness) EffectivePolicy(string, string) catalog.EffectivePolicy { return h.policy }

// runHarness runs f twice on a group of targets a, b and c with a as the primary of term 1: once
// with transactions from other entry hosts (Serve), once with transactions of callers that are connected to the
// owner (Begin).
func runHarness(t *testing.T, f func(h *harness)) {
	t.Helper()
	for name, useBegin := range map[string]bool{"serve": false, "begin": true} {
		t.Run(name, func(t *testing.T) { runHarnessMode(t, useBegin, f) })
	}
}

func runHarnessMode(t *testing.T, useBegin bool, f func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{targets: map[string]*fakeTarget{}}
		h := &harness{fakeGroup: g, t: t, useBegin: useBegin}
		for _, name := range []string{"a", "b", "c"} {
			p := position.Position{Term: 1, Offset: 10}
			g.targets[name] = &fakeTarget{group: g, name: name, role: routing.RoleReplica, term: 1, received: p, applied: p, keys: map[string][2]string{}}
		}
		g.targets["a"].role = routing.RolePrimary
		h.leaseValid.Store(true)
		h.manager = New(Config{
			Catalog: h, Factory: g,
			LeaseValid:  func(string, uint64) bool { return h.leaseValid.Load() },
			ReturnLease: func(string, uint64) { h.leasesReturned.Add(1) },
		})
		h.manager.OnGrant(h.grant(1, "a"))
		h.waitForPolls()
		f(h)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_ = h.manager.Shutdown(ctx)
		h.locked(func() {
			for _, f := range g.targets {
				for _, c := range f.conns {
					c.kill()
				}
			}
		})
		synctest.Wait()
	})
}

func (h *harness) grant(term uint64, primary string) wire.LeaseGrant {
	g := wire.LeaseGrant{Service: "s", Epoch: 1, Term: term, Primary: primary, ElectionPending: primary == ""}
	for _, name := range []string{"a", "b", "c"} {
		g.Targets = append(g.Targets, wire.TargetInfo{Target: name, Addr: name, Place: name})
	}
	return g
}

// waitForPolls advances the virtual time until every target has been polled again, even one whose
// previous poll has to time out first.
func (h *harness) waitForPolls() { <-time.After(DefaultStatusTimeout + 3*DefaultIdlePollInterval) }

// locked runs f with the group's mutex held.
func (h *harness) locked(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// caller is a client's stream to the Manager.
type caller struct {
	io.ReadWriteCloser
	reader *pgwire.Reader
	reply  wire.TxReply
	req    wire.TxRequest
}

// result is the outcome of one statement, as the caller receives it.
type result struct {
	tags   []string
	rows   int
	code   string
	detail string
	token  string
	status byte // of ReadyForQuery; 0 if the stream ended before it
}

// open starts a transaction and sends its first statement.
func (h *harness) open(req wire.TxRequest, sql string) *caller {
	h.t.Helper()
	h.seq++
	req.Service, req.Team, req.Session, req.Seq = "s", "t", "x", h.seq
	if h.useBegin && (req.RequestKey == "" || req.ReadOnly) {
		return h.begin(req, encode(&pgproto3.Query{String: sql}))
	}
	callerEnd, ownerEnd := net.Pipe()
	go h.manager.Serve(context.Background(), req, ownerEnd)
	c := &caller{ReadWriteCloser: callerEnd, reader: pgwire.NewReader(callerEnd, pgwire.MaxFrameBytes), req: req}
	go c.send(sql)
	if err := wire.Read(callerEnd, &c.reply, wire.MaxMessageBytes); err != nil {
		h.t.Fatal(err)
	}
	return c
}

// begin starts a transaction as the entry of the owner's host does.
func (h *harness) begin(req wire.TxRequest, first []byte) *caller {
	stream, err := h.manager.Begin(context.Background(), req, first)
	if err != nil {
		unused, _ := net.Pipe()
		return &caller{ReadWriteCloser: unused, reply: wire.TxReply{Code: verdict.As(err).Code}, req: req}
	}
	r := pgwire.NewReader(stream, pgwire.MaxFrameBytes)
	return &caller{ReadWriteCloser: stream, reader: r, reply: wire.TxReply{Admitted: true}, req: req}
}

// send sends a statement without waiting for its responses.
func (c *caller) send(sql string) { _, _ = c.Write(encode(&pgproto3.Query{String: sql})) }

// read reads the responses up to ReadyForQuery.
func (c *caller) read() (r result) {
	for {
		f, err := c.reader.Next()
		if err != nil {
			return r
		}
		switch f.Type() {
		case pgwire.CommandComplete:
			r.tags = append(r.tags, strings.TrimSuffix(string(f.Body()), "\x00"))
		case pgwire.DataRow:
			r.rows++
		case pgwire.ErrorResponse:
			r.code, r.detail = errorField(f, 'C'), errorField(f, 'D')
		case pgwire.ParameterStatus:
			name, v, _ := pgwire.ParseParameterStatus(f)
			if name == pgwire.ParameterToken {
				r.token = v
			}
		case pgwire.ReadyForQuery:
			r.status = f[5]
			return r
		}
	}
}

func (c *caller) query(sql string) result {
	go c.send(sql)
	return c.read()
}

// run runs a transaction of a single statement.
func (h *harness) run(req wire.TxRequest, sql string) result {
	h.t.Helper()
	c := h.open(req, sql)
	defer func() { _ = c.Close() }()
	if !c.reply.Admitted {
		return result{code: c.reply.Code}
	}
	return c.read()
}
