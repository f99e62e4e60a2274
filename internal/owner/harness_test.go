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

// harness runs a Manager over a fake group inside of a synctest bubble.
type harness struct {
	*fakeGroup
	t        *testing.T
	m        *Manager
	lease    atomic.Bool
	returned atomic.Int32
	seq      uint64
	rule     catalog.EffectivePolicy
	local    bool // transactions go through Begin instead of Serve
}

func (h *harness) Service(string) (catalog.Service, bool) {
	return catalog.Service{Databases: 3, Slots: 2, Connections: 16}, true
}

func (h *harness) EffectivePolicy(string, string) catalog.EffectivePolicy { return h.rule }

// bubble runs f with a group of three targets, a as primary of term 1, once for callers of other
// hosts and once for those of the owner's own entry host.
func bubble(t *testing.T, f func(h *harness)) {
	t.Helper()
	for name, local := range map[string]bool{"serve": false, "begin": true} {
		t.Run(name, func(t *testing.T) { bubbleOf(t, local, f) })
	}
}

func bubbleOf(t *testing.T, local bool, f func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{targets: map[string]*fakeTarget{}}
		h := &harness{fakeGroup: g, t: t, local: local}
		for _, name := range []string{"a", "b", "c"} {
			p := position.Position{Term: 1, Offset: 10}
			g.targets[name] = &fakeTarget{g: g, name: name, role: routing.RoleReplica, term: 1, received: p, applied: p, keys: map[string][2]string{}}
		}
		g.targets["a"].role = routing.RolePrimary
		h.lease.Store(true)
		h.m = New(Config{
			Catalog: h, Factory: g,
			LeaseValid:  func(string, uint64) bool { return h.lease.Load() },
			ReturnLease: func(string, uint64) { h.returned.Add(1) },
		})
		h.m.OnGrant(h.grant(1, "a"))
		h.settle()
		f(h)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_ = h.m.Shutdown(ctx)
		h.edit(func() {
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

// settle lets the virtual time pass until the status loops have asked again, also after a timeout.
func (h *harness) settle() { <-time.After(DefaultStatusTimeout + 3*DefaultPollIdle) }

func (h *harness) edit(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

type caller struct {
	io.ReadWriteCloser
	r     *pgwire.Reader
	reply wire.TxReply
	req   wire.TxRequest
}

type result struct {
	tags   []string
	rows   int
	code   string
	detail string
	token  string
	status byte // 0: the stream ended first
}

// open starts a transaction whose first statement is sql.
func (h *harness) open(req wire.TxRequest, sql string) *caller {
	h.t.Helper()
	h.seq++
	req.Service, req.Team, req.Session, req.Seq = "s", "t", "x", h.seq
	if h.local && (req.RequestKey == "" || req.ReadOnly) {
		return h.begin(req, encode(&pgproto3.Query{String: sql}))
	}
	near, far := net.Pipe()
	go h.m.Serve(context.Background(), req, far)
	c := &caller{ReadWriteCloser: near, r: pgwire.NewReader(near, pgwire.MaxFrameBytes), req: req}
	go c.send(sql)
	if err := wire.Read(near, &c.reply, wire.MaxMessageBytes); err != nil {
		h.t.Fatal(err)
	}
	return c
}

// begin starts a transaction as the entry host of the same process does.
func (h *harness) begin(req wire.TxRequest, first []byte) *caller {
	stream, err := h.m.Begin(context.Background(), req, first)
	if err != nil {
		closed, _ := net.Pipe()
		return &caller{ReadWriteCloser: closed, reply: wire.TxReply{Code: verdict.As(err).Code}, req: req}
	}
	r := pgwire.NewReader(stream, pgwire.MaxFrameBytes)
	return &caller{ReadWriteCloser: stream, r: r, reply: wire.TxReply{Admitted: true}, req: req}
}

func (c *caller) send(sql string) { _, _ = c.Write(encode(&pgproto3.Query{String: sql})) }

func (c *caller) read() (r result) {
	for {
		f, err := c.r.Next()
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

// run is a whole transaction of one statement.
func (h *harness) run(req wire.TxRequest, sql string) result {
	h.t.Helper()
	c := h.open(req, sql)
	defer func() { _ = c.Close() }()
	if !c.reply.Admitted {
		return result{code: c.reply.Code}
	}
	return c.read()
}
