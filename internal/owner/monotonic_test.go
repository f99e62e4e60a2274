package owner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/wire"
)

// readWith returns a read request of a session that presents token. Without a token, the read's
// floor is that of the team.
func (h *harness) readWith(token string) wire.TxRequest {
	h.t.Helper()
	req := readRequest
	if token == "" {
		return req
	}
	var err error
	if req.Floor, req.ObservedReads, err = position.ParseTokenWithReads("s", token); err != nil {
		h.t.Fatal(err)
	}
	req.HasFloor = true
	return req
}

// statementsRun returns the number of statements that a target has run.
func (h *harness) statementsRun(name string) (n int) {
	h.locked(func() { n = len(h.targets[name].statements) })
	return n
}

// readAt repeats a read until it is routed to the target, and returns its token.
func (h *harness) readAt(name string) string {
	h.t.Helper()
	for range 50 {
		before := h.statementsRun(name)
		if r := h.run(readRequest, "SELECT 1"); h.statementsRun(name) > before {
			return r.token
		}
	}
	h.t.Fatalf("no read at target %s", name)
	return ""
}

// Guards against a read that returns older data than an earlier read of the session: on another
// replica, after the target of the earlier read is lost, and after the service has moved to the
// owner of another epoch.
func TestMonotonicReads(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		ahead := position.Position{Term: 1, Offset: 15}
		h.locked(func() { // newer than the last status of these targets
			for _, name := range []string{"a", "b"} {
				h.targets[name].received, h.targets[name].applied = ahead, ahead
			}
		})
		token := h.readAt("b")
		before := h.statementsRun("c")
		for range 20 {
			r := h.run(h.readWith(token), "SELECT 1")
			is.Equal(r.status, byte('I'))
			token = r.token
		}
		is.Equal(h.statementsRun("c"), before)
		is.Equal(h.statementsRun("a"), 0) // the reads stay at replicas
		h.waitForPolls()
		h.locked(func() { h.targets["b"].down = true })
		h.waitForPolls()
		h.waitForPolls()
		is.Equal(h.run(h.readWith(token), "SELECT 1").status, byte('I'))
		is.Equal(h.statementsRun("c"), before)
		h.locked(func() { h.targets["c"].received, h.targets["c"].applied = ahead, ahead })
		h.waitForPolls()
		is.Equal(h.run(h.readWith(token), "SELECT 1").status, byte('I'))
		is.Equal(h.statementsRun("c"), before+1) // c has reached the first position sampled after the read

		g := h.grant(1, "a")
		g.Epoch = 2
		h.manager.OnGrant(g)
		h.waitForPolls()
		is.Equal(h.run(h.readWith("s:1/10@b/1/9000000000"), "SELECT 1").status, byte('I'))
	})
}

// Guards against a replica read that is older than an earlier read on the primary, when the primary
// did not report a position with that read.
func TestReplicaReadAfterPrimaryRead(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		ahead := position.Position{Term: 1, Offset: 15}
		h.locked(func() { h.targets["a"].received, h.targets["a"].applied = ahead, ahead })
		current := readRequest
		current.Mode = wire.ReadCurrent
		token := h.run(current, "SELECT 1").token
		for range 10 {
			r := h.run(h.readWith(token), "SELECT 1")
			is.Equal(r.status, byte('I'))
			token = r.token
		}
		is.Equal(h.statementsRun("a"), 11)
		h.locked(func() {
			for _, name := range []string{"b", "c"} {
				h.targets[name].received, h.targets[name].applied = ahead, ahead
			}
		})
		h.waitForPolls()
		is.Equal(h.run(h.readWith(token), "SELECT 1").status, byte('I'))
		is.Equal(h.statementsRun("a"), 11) // the replicas serve the session again
	})
}

// Guards against reads of a session without a token that miss what the session has read before, or
// acknowledged writes of the team's other sessions.
func TestFloorOfTeamAndSession(t *testing.T) {
	is := is.New(t)
	runHarness(t, func(h *harness) {
		ahead := position.Position{Term: 1, Offset: 15}
		h.locked(func() {
			for _, name := range []string{"a", "b"} {
				h.targets[name].received, h.targets[name].applied = ahead, ahead
			}
		})
		req := h.readWith(h.readAt("b"))
		req.HasFloor = false
		before := h.statementsRun("c")
		for range 20 {
			is.Equal(h.run(req, "SELECT 1").status, byte('I'))
		}
		h.waitForPolls()
		req.Floor, req.ObservedReads = ahead, nil
		for range 20 {
			is.Equal(h.run(req, "SELECT 1").status, byte('I'))
		}
		is.Equal(h.statementsRun("c"), before)
		h.locked(func() { h.targets["c"].received, h.targets["c"].lagging = ahead, true })
		is.Equal(h.run(writeRequest, "INSERT").token, "s:1/16")
		req.Floor = position.Position{Term: 1, Offset: 1}
		for range 20 {
			is.Equal(h.run(req, "SELECT 1").status, byte('I'))
		}
		is.Equal(h.statementsRun("c"), before) // c has not applied the team's write
	})
}
