package owner

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/routing"
	"github.com/citronrun/citronrun/internal/wire"
)

var read = wire.TxRequest{ReadOnly: true, Timeout: time.Second}
var write = wire.TxRequest{Timeout: time.Second}

// Guards against acknowledged writes that a later read of the same team doesn't see, and against
// reads that load the primary without need.
func TestReadsFollowWrites(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		r := h.run(write, "INSERT")
		is.Equal(r, result{tags: []string{"INSERT 0 1"}, token: "s:1/11", status: 'I'})
		r = h.run(read, "SELECT 3")
		is.Equal(r.rows, 3)
		is.True(strings.HasPrefix(r.token, "s:1/11@"))
		is.Equal(len(h.targets["a"].statement), 1) // the read ran at a replica
		h.edit(func() { h.targets["b"].lag, h.targets["c"].lag = true, true })
		p := position.Position{Term: 1, Offset: 12}
		h.edit(func() { h.targets["b"].received = p })
		h.edit(func() { h.targets["b"].lag = true })
		r = h.run(write, "INSERT") // received by b, applied by none
		is.Equal(r.token, "s:1/12")
		r = h.run(read, "SELECT 1")
		is.True(strings.HasPrefix(r.token, "s:1/12@a/1/"))
		is.Equal(h.targets["a"].statement[2], "SELECT 1")
	})
}

// Guards against an acknowledgement without a majority.
func TestNoQuorum(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		h.edit(func() { h.targets["b"].lag, h.targets["c"].down = true, true })
		from := time.Now()
		r := h.run(write, "INSERT")
		is.True(strings.HasPrefix(r.token, "s:0/0@a/1/")) // the next read reflects the outcome
		r.token = ""
		is.Equal(r, result{code: "08007", detail: "verdict: MayHaveRun", status: 'I'})
		is.True(time.Since(from) >= DefaultQuorumWait)
	})
}

// Guards against an acknowledgement after the lease has expired, between COMMIT and its answer, and
// against reads of a primary that may have been replaced.
func TestLeaseExpiresBeforeAcknowledgement(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		h.edit(func() { h.targets["a"].hook = func(string) string { h.lease.Store(false); return "" } })
		is.Equal(h.run(write, "INSERT").code, "08007")
		is.Equal(h.run(write, "INSERT").code, "57P03") // without a lease nothing starts
		h.lease.Store(true)
		is.Equal(h.run(wire.TxRequest{ReadOnly: true, Mode: wire.ReadCurrent}, "SELECT 1").tags, nil)
		h.lease.Store(true)
		c := h.open(write, "BEGIN")
		is.Equal(c.read().code, "08007")
		_ = c.Close()
	})
}

// Guards against an owner that pauses inside a block past its lease and then goes on.
func TestPauseInsideBlock(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		c := h.open(write, "BEGIN")
		is.Equal(c.read().status, byte('T'))
		h.lease.Store(false)
		is.Equal(c.query("INSERT").code, "08007")
		is.Equal(len(h.targets["a"].statement), 1) // the second statement never started
		_ = c.Close()
	})
}

// Guards against success or NotRun for a statement whose connection was lost: before it ran, between
// the commit and its answer, and in the middle of a result.
func TestPrimaryDies(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		for _, what := range []string{"lose", "lose answer"} {
			h.edit(func() { h.targets["a"].hook = func(string) string { return what } })
			r := h.run(write, "INSERT")
			is.Equal(r.code, "08007")
			is.Equal(r.tags, nil)
		}
		h.edit(func() { h.targets["a"].hook = nil })
		c := h.open(write, "BEGIN")
		is.Equal(c.read().status, byte('T'))
		is.Equal(c.query("INSERT").status, byte('T'))
		h.edit(func() { h.targets["a"].hook = func(string) string { return "lose" } })
		is.Equal(c.query("COMMIT").code, "08007")
		_ = c.Close()
		h.edit(func() { h.targets["a"].hook = func(string) string { return "hang" } })
		c = h.open(write, "SELECT 50")
		h.edit(func() {
			conn := h.targets["a"].conns[len(h.targets["a"].conns)-1]
			conn.row("x")
			h.targets["a"].down = true
		})
		r := c.read() // ends by the silence of the target
		is.Equal(r.rows, 1)
		is.Equal(r.code, "08007")
		is.Equal(h.targets["a"].puts, 0)
		_ = c.Close()
	})
}

// Guards against an error for a statement that was taken for a read, and against two runs of it.
func TestReplicaRefusesWrite(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		r := h.run(read, "INSERT")
		is.Equal(r, result{tags: []string{"INSERT 0 1"}, token: "s:1/11", status: 'I'})
		is.Equal(h.targets["a"].received.Offset, uint64(11))
		h.edit(func() {
			for _, name := range []string{"b", "c"} {
				h.targets[name].hook = func(string) string { return "lose" }
			}
		})
		is.Equal(h.run(read, "SELECT 2").rows, 2) // a replica that dies is replaced as well
	})
}

// Guards against a candidate that lacks an acknowledged commit, a write gap that doesn't end, and an
// old primary with a longer log that serves again.
func TestElection(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		h.edit(func() { h.targets["c"].lag = true })
		is.Equal(h.run(write, "INSERT").token, "s:1/11") // b has it, c doesn't
		h.edit(func() {
			a := h.targets["a"]
			a.down = true
			a.received.Offset = 20 // never acknowledged
			h.targets["c"].lag = false
		})
		h.m.OnGrant(h.grant(2, ""))
		is.Equal(h.m.Reports()[0].Primary, "")
		r := h.run(wire.TxRequest{Timeout: 5 * time.Second}, "INSERT")
		is.Equal(r.code, "")
		is.Equal(r.token, "s:2/12")
		h.m.OnGrant(h.grant(2, "")) // a repeated grant changes nothing
		rep := h.m.Reports()[0]
		is.Equal(rep.Primary, "b")
		is.Equal(rep.Term, uint64(2))
		is.Equal(h.targets["c"].term, uint64(2)) // follows
		h.m.OnGrant(h.grant(2, "b"))
		h.edit(func() { h.targets["a"].down = false })
		h.settle()
		is.Equal(h.targets["a"].role, routing.RoleDiverged)
		for range 20 {
			is.Equal(h.run(read, "SELECT 1").status, byte('I'))
		}
		is.Equal(h.targets["a"].statement, []string{"INSERT"}) // nothing since its replacement
		h.m.OnGrant(h.grant(1, "a"))                           // an outdated grant
		is.Equal(h.m.Reports()[0].Primary, "b")
	})
}

// Guards against an acknowledgement for the old term once an election has started.
func TestElectionEndsRunningWrites(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		h.edit(func() { h.targets["a"].hook = func(string) string { return "hang" } })
		c := h.open(write, "INSERT")
		synctest.Wait()
		h.m.OnGrant(h.grant(2, ""))
		is.Equal(c.read().code, "08007")
		_ = c.Close()
	})
}

// Guards against failed or lost requests in a planned change: the open block ends, later writes wait.
func TestPlannedChange(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		c := h.open(write, "BEGIN")
		is.Equal(c.read().status, byte('T'))
		g := h.grant(2, "")
		g.PreferredTarget = "c"
		h.m.OnGrant(g)
		late := make(chan result)
		go func() { late <- h.run(write, "INSERT") }()
		synctest.Wait()
		is.Equal(c.query("INSERT").status, byte('T'))
		is.Equal(c.query("COMMIT").token, "s:1/11")
		_ = c.Close()
		is.Equal((<-late).token, "s:2/12")
		is.Equal(h.m.Reports()[0].Primary, "c")
	})
}

// Guards against a cancel that reaches the next statement of a connection.
func TestCancel(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		is.Equal(h.run(write, "INSERT").status, byte('I'))
		h.m.ServeCancel(wire.Cancel{Service: "s", Session: "x", Seq: h.seq})
		is.Equal(h.targets["a"].cancels, 0) // the connection has moved on
		h.edit(func() { h.targets["a"].hook = func(string) string { return "hang" } })
		c := h.open(write, "INSERT")
		synctest.Wait()
		h.m.ServeCancel(wire.Cancel{Service: "s", Session: "x", Seq: h.seq - 1})
		is.Equal(h.targets["a"].cancels, 0)
		h.m.ServeCancel(wire.Cancel{Service: "s", Session: "x", Seq: h.seq})
		is.Equal(h.targets["a"].cancels, 1)
		h.edit(func() {
			conn := h.targets["a"].conns[0]
			conn.fail("57014")
		})
		is.Equal(c.read().code, "57014")
		synctest.Wait()
		is.Equal(h.targets["a"].puts, 1) // a cancelled connection is not reused
		_ = c.Close()
	})
}

// Guards against reuse of a connection in the middle of a COPY or of a block, and against slots and
// writers that are never given back.
func TestCallerGone(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		for _, sql := range []string{"COPY t FROM STDIN", "BEGIN"} {
			c := h.open(write, sql)
			f, err := c.r.Next()
			is.NoErr(err)
			is.True(f.Type() == pgwire.CopyInResponse || f.Type() == pgwire.CommandComplete)
			go func() { _, _ = c.Write(pgwire.Append(nil, pgwire.CopyData, []byte("row"))) }()
			synctest.Wait()
			_ = c.Close()
			synctest.Wait()
		}
		st := h.m.lookup("s").state()
		is.Equal(st.Active+st.Writers+st.Load["a"], 0)
		is.Equal(h.targets["a"].puts, 0)
		is.Equal(h.targets["a"].received.Offset, uint64(10))
	})
}

// Guards against a booking that runs twice when its response was lost, and against a resend that is
// confirmed before the first commit is safe.
func TestRequestKeyResend(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		req := write
		req.RequestKey = "k1"
		h.edit(func() { h.targets["b"].lag, h.targets["c"].lag = true, true })
		is.Equal(h.run(req, "INSERT").code, "08007") // committed, no majority
		is.Equal(h.run(req, "INSERT").code, "08007") // still no majority
		h.edit(func() {
			for _, name := range []string{"b", "c"} {
				h.targets[name].lag = false
				h.targets[name].received = h.targets["a"].received
			}
		})
		r := h.run(req, "INSERT")
		is.Equal(r, result{tags: []string{"INSERT 0 1"}, token: "s:1/11", status: 'I'})
		n := 0
		for _, sql := range h.targets["a"].statement {
			if sql == "INSERT" {
				n++
			}
		}
		is.Equal(n, 1)
	})
}

// Guards against a lease that is returned while transactions run, or never.
func TestRevoke(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		c := h.open(write, "BEGIN")
		is.Equal(c.read().status, byte('T'))
		h.m.OnRevoke("s", 1)
		h.settle()
		is.Equal(h.returned.Load(), int32(0))
		is.Equal(h.run(write, "INSERT").code, "57P03")
		is.Equal(c.query("COMMIT").status, byte('I'))
		_ = c.Close()
		h.settle()
		is.Equal(h.returned.Load(), int32(1))
	})
}

// Guards against an epoch that stays revoked although its grant came back, or that lives on after its
// lease was returned.
func TestGrantAfterRevoke(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		c := h.open(write, "BEGIN")
		is.Equal(c.read().status, byte('T'))
		s := h.m.lookup("s")
		h.m.OnRevoke("s", 1)
		is.Equal(s.state().Handover, "finishing")
		h.m.OnGrant(h.grant(1, "a"))
		is.Equal(s.state().Handover, "owned")
		is.Equal(h.run(write, "INSERT").status, byte('I'))
		h.m.OnRevoke("s", 1)
		is.Equal(c.query("COMMIT").status, byte('I'))
		_ = c.Close()
		h.settle()
		is.Equal(h.returned.Load(), int32(1))
		s.apply(h.grant(1, "a"), catalog.Service{Databases: 3})
		is.Equal(s.state().Handover, "ended")
	})
}

// Guards against new work at a target that leaves.
func TestLeavingTarget(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		g := h.grant(1, "a")
		g.Targets[1].Leaving = true
		h.m.OnGrant(g)
		for range 20 {
			is.Equal(h.run(read, "SELECT 1").status, byte('I'))
		}
		is.Equal(len(h.targets["b"].statement), 0)
		is.Equal(len(h.targets["c"].statement), 20)
	})
}

// Guards against a statement of a block that waits for a slot without a bound, an unclear outcome for
// it, and later statements of the block that run alone.
func TestSlotWithinBlockIsBounded(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		c := h.open(write, "BEGIN")
		is.Equal(c.read().status, byte('T'))
		h.edit(func() { h.targets["a"].hook = func(string) string { return "hang" } })
		var others []*caller
		for range 2 { // all slots
			others = append(others, h.open(write, "INSERT"))
		}
		synctest.Wait()
		from := time.Now()
		r := c.query("INSERT")
		is.Equal(r.code, "53300")
		is.Equal(r.detail, "verdict: NotRun")
		is.Equal(r.status, byte('E'))
		is.Equal(time.Since(from), write.Timeout)
		is.Equal(len(h.targets["a"].statement), 3) // nothing was sent
		_, err := c.r.Next()
		is.True(err != nil) // the block has ended
		for _, o := range append(others, c) {
			_ = o.Close()
		}
	})
}
