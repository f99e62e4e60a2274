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

var readRequest = wire.TxRequest{ReadOnly: true, Timeout: time.Second}
var writeRequest = wire.TxRequest{Timeout: time.Second}

// Guards against acknowledged writes that are invisible to later reads of the same team, and
// against reads on the primary while a replica is fresh enough.
func TestReadsFollowWrites(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		r := h.run(writeRequest, "INSERT")
		is.Equal(r, result{tags: []string{"INSERT 0 1"}, token: "s:1/11", status: 'I'})
		r = h.run(readRequest, "SELECT 3")
		is.Equal(r.rows, 3)
		is.True(strings.HasPrefix(r.token, "s:1/11@"))
		is.Equal(len(h.targets["a"].statements), 1) // only the write ran on the primary
		h.locked(func() { h.targets["b"].lagging, h.targets["c"].lagging = true, true })
		p := position.Position{Term: 1, Offset: 12}
		h.locked(func() { h.targets["b"].received = p })
		h.locked(func() { h.targets["b"].lagging = true })
		r = h.run(writeRequest, "INSERT") // received by b, not yet applied by any replica
		is.Equal(r.token, "s:1/12")
		r = h.run(readRequest, "SELECT 1")
		is.True(strings.HasPrefix(r.token, "s:1/12@a/1/"))
		is.Equal(h.targets["a"].statements[2], "SELECT 1")
	})
}

// Guards against a commit that is acknowledged before a quorum has received it.
func TestNoQuorum(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		h.locked(func() { h.targets["b"].lagging, h.targets["c"].down = true, true })
		from := time.Now()
		r := h.run(writeRequest, "INSERT")
		is.True(strings.HasPrefix(r.token, "s:0/0@a/1/")) // the next read reflects the outcome
		r.token = ""
		is.Equal(r, result{code: "08007", detail: "verdict: MayHaveRun", status: 'I'})
		is.True(time.Since(from) >= DefaultQuorumWait)
	})
}

// Guards against a commit that is acknowledged although the lease expired before its response, and
// against reads of a primary that may have been replaced since.
func TestLeaseExpiresBeforeAcknowledgement(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		h.locked(func() { h.targets["a"].fault = func(string) string { h.leaseValid.Store(false); return "" } })
		is.Equal(h.run(writeRequest, "INSERT").code, "08007")
		is.Equal(h.run(writeRequest, "INSERT").code, "57P03") // no transaction is admitted without a valid lease
		h.leaseValid.Store(true)
		is.Equal(h.run(wire.TxRequest{ReadOnly: true, Mode: wire.ReadCurrent}, "SELECT 1").tags, nil)
		h.leaseValid.Store(true)
		c := h.open(writeRequest, "BEGIN")
		is.Equal(c.read().code, "08007")
		_ = c.Close()
	})
}

// Guards against an owner that continues a transaction block after its lease has expired, for example
// after a pause of the process.
func TestLeaseExpiresInsideBlock(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		c := h.open(writeRequest, "BEGIN")
		is.Equal(c.read().status, byte('T'))
		h.leaseValid.Store(false)
		is.Equal(c.query("INSERT").code, "08007")
		is.Equal(len(h.targets["a"].statements), 1) // only BEGIN ran
		_ = c.Close()
	})
}

// Guards against reporting success or NotRun when the connection is lost after the statement was
// sent: before it ran, between the commit and its response, and in the middle of a result.
func TestPrimaryConnectionLost(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		for _, fault := range []string{"lose connection", "lose response"} {
			h.locked(func() { h.targets["a"].fault = func(string) string { return fault } })
			r := h.run(writeRequest, "INSERT")
			is.Equal(r.code, "08007")
			is.Equal(r.tags, nil)
		}
		h.locked(func() { h.targets["a"].fault = nil })
		c := h.open(writeRequest, "BEGIN")
		is.Equal(c.read().status, byte('T'))
		is.Equal(c.query("INSERT").status, byte('T'))
		h.locked(func() { h.targets["a"].fault = func(string) string { return "lose connection" } })
		is.Equal(c.query("COMMIT").code, "08007")
		_ = c.Close()
		h.locked(func() { h.targets["a"].fault = func(string) string { return "hang" } })
		c = h.open(writeRequest, "SELECT 50")
		h.locked(func() {
			conn := h.targets["a"].conns[len(h.targets["a"].conns)-1]
			conn.row("x")
			h.targets["a"].down = true
		})
		r := c.read() // aborted because the target stops answering status requests
		is.Equal(r.rows, 1)
		is.Equal(r.code, "08007")
		is.Equal(h.targets["a"].puts, 0)
		_ = c.Close()
	})
}

// Guards against an error for a write that was classified as a read and routed to a replica, and
// against running it twice.
func TestReplicaRejectsWrite(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		r := h.run(readRequest, "INSERT")
		is.Equal(r, result{tags: []string{"INSERT 0 1"}, token: "s:1/11", status: 'I'})
		is.Equal(h.targets["a"].received.Offset, uint64(11))
		h.locked(func() {
			for _, name := range []string{"b", "c"} {
				h.targets[name].fault = func(string) string { return "lose connection" }
			}
		})
		is.Equal(h.run(readRequest, "SELECT 2").rows, 2) // a read whose replica connection is lost is rerun too
	})
}

// Guards against the election of a candidate that lacks an acknowledged commit, against writes that
// stay unavailable after it, and against an old primary with a longer log that serves requests
// again.
func TestElection(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		h.locked(func() { h.targets["c"].lagging = true })
		is.Equal(h.run(writeRequest, "INSERT").token, "s:1/11") // received by b, not by c
		h.locked(func() {
			a := h.targets["a"]
			a.down = true
			a.received.Offset = 20 // never acknowledged
			h.targets["c"].lagging = false
		})
		h.manager.OnGrant(h.grant(2, ""))
		is.Equal(h.manager.Reports()[0].Primary, "")
		r := h.run(wire.TxRequest{Timeout: 5 * time.Second}, "INSERT")
		is.Equal(r.code, "")
		is.Equal(r.token, "s:2/12")
		h.manager.OnGrant(h.grant(2, "")) // a repeated grant changes nothing
		report := h.manager.Reports()[0]
		is.Equal(report.Primary, "b")
		is.Equal(report.Term, uint64(2))
		is.Equal(h.targets["c"].term, uint64(2)) // c follows the new primary
		h.manager.OnGrant(h.grant(2, "b"))
		h.locked(func() { h.targets["a"].down = false })
		h.waitForPolls()
		is.Equal(h.targets["a"].role, routing.RoleDiverged)
		for range 20 {
			is.Equal(h.run(readRequest, "SELECT 1").status, byte('I'))
		}
		is.Equal(h.targets["a"].statements, []string{"INSERT"}) // nothing since it was replaced
		h.manager.OnGrant(h.grant(1, "a"))                      // an outdated grant
		is.Equal(h.manager.Reports()[0].Primary, "b")
	})
}

// Guards against a commit of the old term that is acknowledged after an election has started.
func TestElectionEndsRunningWrites(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		h.locked(func() { h.targets["a"].fault = func(string) string { return "hang" } })
		c := h.open(writeRequest, "INSERT")
		synctest.Wait()
		h.manager.OnGrant(h.grant(2, ""))
		is.Equal(c.read().code, "08007")
		_ = c.Close()
	})
}

// Guards against failed or lost requests during a switchover: an open transaction block must be able
// to finish, and later writes must wait for the new primary.
func TestSwitchover(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		c := h.open(writeRequest, "BEGIN")
		is.Equal(c.read().status, byte('T'))
		g := h.grant(2, "")
		g.PreferredTarget = "c"
		h.manager.OnGrant(g)
		late := make(chan result)
		go func() { late <- h.run(writeRequest, "INSERT") }()
		synctest.Wait()
		is.Equal(c.query("INSERT").status, byte('T'))
		is.Equal(c.query("COMMIT").token, "s:1/11")
		_ = c.Close()
		is.Equal((<-late).token, "s:2/12")
		is.Equal(h.manager.Reports()[0].Primary, "c")
	})
}

// Guards against a cancel request that hits a later statement on the same connection.
func TestCancel(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		is.Equal(h.run(writeRequest, "INSERT").status, byte('I'))
		h.manager.ServeCancel(wire.Cancel{Service: "s", Session: "x", Seq: h.seq})
		is.Equal(h.targets["a"].cancels, 0) // the transaction has already released its connection
		h.locked(func() { h.targets["a"].fault = func(string) string { return "hang" } })
		c := h.open(writeRequest, "INSERT")
		synctest.Wait()
		h.manager.ServeCancel(wire.Cancel{Service: "s", Session: "x", Seq: h.seq - 1})
		is.Equal(h.targets["a"].cancels, 0)
		h.manager.ServeCancel(wire.Cancel{Service: "s", Session: "x", Seq: h.seq})
		is.Equal(h.targets["a"].cancels, 1)
		h.locked(func() {
			conn := h.targets["a"].conns[0]
			conn.fail("57014")
		})
		is.Equal(c.read().code, "57014")
		synctest.Wait()
		is.Equal(h.targets["a"].puts, 1) // a cancelled connection is not reused
		_ = c.Close()
	})
}

// Guards against reuse of a connection that is inside a COPY or a block when the caller
// disconnects, and against leaked slots and a wrong count of transactions on the primary.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		for _, sql := range []string{"COPY t FROM STDIN", "BEGIN"} {
			c := h.open(writeRequest, sql)
			f, err := c.reader.Next()
			is.NoErr(err)
			is.True(f.Type() == pgwire.CopyInResponse || f.Type() == pgwire.CommandComplete)
			go func() { _, _ = c.Write(pgwire.Append(nil, pgwire.CopyData, []byte("row"))) }()
			synctest.Wait()
			_ = c.Close()
			synctest.Wait()
		}
		dump := h.manager.lookup("s").dump()
		is.Equal(dump.Active+dump.Writers+dump.Load["a"], 0)
		is.Equal(h.targets["a"].puts, 0)
		is.Equal(h.targets["a"].received.Offset, uint64(10))
	})
}

// Guards against a request with a key that runs twice after its response was lost, and against a
// resend that is acknowledged before a quorum has received the first run's commit.
func TestRequestKeyResend(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		req := writeRequest
		req.RequestKey = "k1"
		h.locked(func() { h.targets["b"].lagging, h.targets["c"].lagging = true, true })
		is.Equal(h.run(req, "INSERT").code, "08007") // committed, but not received by a quorum
		is.Equal(h.run(req, "INSERT").code, "08007") // still no quorum
		h.locked(func() {
			for _, name := range []string{"b", "c"} {
				h.targets[name].lagging = false
				h.targets[name].received = h.targets["a"].received
			}
		})
		r := h.run(req, "INSERT")
		is.Equal(r, result{tags: []string{"INSERT 0 1"}, token: "s:1/11", status: 'I'})
		n := 0
		for _, sql := range h.targets["a"].statements {
			if sql == "INSERT" {
				n++
			}
		}
		is.Equal(n, 1)
	})
}

// Guards against a revoked lease that is returned while transactions are running, or never.
func TestRevoke(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		c := h.open(writeRequest, "BEGIN")
		is.Equal(c.read().status, byte('T'))
		h.manager.OnRevoke("s", 1)
		h.waitForPolls()
		is.Equal(h.leasesReturned.Load(), int32(0))
		is.Equal(h.run(writeRequest, "INSERT").code, "57P03")
		is.Equal(c.query("COMMIT").status, byte('I'))
		_ = c.Close()
		h.waitForPolls()
		is.Equal(h.leasesReturned.Load(), int32(1))
	})
}

// Guards against an epoch that stays revoked although its lease was granted again, and against a
// late grant that revives an epoch whose lease has been returned.
func TestGrantAfterRevoke(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		c := h.open(writeRequest, "BEGIN")
		is.Equal(c.read().status, byte('T'))
		s := h.manager.lookup("s")
		h.manager.OnRevoke("s", 1)
		is.Equal(s.dump().Handover, "finishing")
		h.manager.OnGrant(h.grant(1, "a"))
		is.Equal(s.dump().Handover, "owned")
		is.Equal(h.run(writeRequest, "INSERT").status, byte('I'))
		h.manager.OnRevoke("s", 1)
		is.Equal(c.query("COMMIT").status, byte('I'))
		_ = c.Close()
		h.waitForPolls()
		is.Equal(h.leasesReturned.Load(), int32(1))
		s.applyGrant(h.grant(1, "a"), catalog.Service{Databases: 3})
		is.Equal(s.dump().Handover, "ended")
	})
}

// Guards against routing new transactions to a target that is leaving.
func TestLeavingTarget(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		g := h.grant(1, "a")
		g.Targets[1].Leaving = true
		h.manager.OnGrant(g)
		for range 20 {
			is.Equal(h.run(readRequest, "SELECT 1").status, byte('I'))
		}
		is.Equal(len(h.targets["b"].statements), 0)
		is.Equal(len(h.targets["c"].statements), 20)
	})
}

// Guards against a statement of a block that waits for a slot without a time limit, against an
// unknown outcome for a statement that was never sent, and against later statements of the block
// that run outside of it.
func TestSlotWaitWithinBlockIsBounded(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		c := h.open(writeRequest, "BEGIN")
		is.Equal(c.read().status, byte('T'))
		h.locked(func() { h.targets["a"].fault = func(string) string { return "hang" } })
		var others []*caller
		for range 2 { // occupy all slots
			others = append(others, h.open(writeRequest, "INSERT"))
		}
		synctest.Wait()
		from := time.Now()
		r := c.query("INSERT")
		is.Equal(r.code, "53300")
		is.Equal(r.detail, "verdict: NotRun")
		is.Equal(r.status, byte('E'))
		is.Equal(time.Since(from), writeRequest.Timeout)
		is.Equal(len(h.targets["a"].statements), 3) // nothing was sent
		_, err := c.reader.Next()
		is.True(err != nil) // the block has ended
		for _, o := range append(others, c) {
			_ = o.Close()
		}
	})
}
