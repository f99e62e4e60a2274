package owner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/wire"
)

// present returns a read of a session that has the given token. An empty one stands for a session that
// relies on the team's floor.
func (h *harness) present(token string) wire.TxRequest {
	h.t.Helper()
	req := read
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

func (h *harness) ran(name string) (n int) {
	h.edit(func() { n = len(h.targets[name].statement) })
	return n
}

// readAt reads until the wanted target was chosen, and returns the token.
func (h *harness) readAt(name string) string {
	h.t.Helper()
	for range 50 {
		before := h.ran(name)
		if r := h.run(read, "SELECT 1"); h.ran(name) > before {
			return r.token
		}
	}
	h.t.Fatalf("no read at target %s", name)
	return ""
}

// Guards against a read that is older than what the session has read before: at another replica, after
// the target of the earlier read was lost, and at the owner of another epoch.
func TestReadsNeverGoBack(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		ahead := position.Position{Term: 1, Offset: 15}
		h.edit(func() { // after the last samples
			for _, name := range []string{"a", "b"} {
				h.targets[name].received, h.targets[name].applied = ahead, ahead
			}
		})
		token := h.readAt("b")
		before := h.ran("c")
		for range 20 {
			r := h.run(h.present(token), "SELECT 1")
			is.Equal(r.status, byte('I'))
			token = r.token
		}
		is.Equal(h.ran("c"), before)
		is.Equal(h.ran("a"), 0) // the reads stay at replicas
		h.settle()
		h.edit(func() { h.targets["b"].down = true })
		h.settle()
		h.settle()
		is.Equal(h.run(h.present(token), "SELECT 1").status, byte('I'))
		is.Equal(h.ran("c"), before)
		h.edit(func() { h.targets["c"].received, h.targets["c"].applied = ahead, ahead })
		h.settle()
		is.Equal(h.run(h.present(token), "SELECT 1").status, byte('I'))
		is.Equal(h.ran("c"), before+1) // covers the sample after the read by now

		g := h.grant(1, "a")
		g.Epoch = 2
		h.m.OnGrant(g)
		h.settle()
		is.Equal(h.run(h.present("s:1/10@b/1/9000000000"), "SELECT 1").status, byte('I'))
	})
}

// Guards against a read at a replica that is older than an earlier read at the primary without a
// report of its position.
func TestReadAfterReadAtPrimary(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		ahead := position.Position{Term: 1, Offset: 15}
		h.edit(func() { h.targets["a"].received, h.targets["a"].applied = ahead, ahead })
		current := read
		current.Mode = wire.ReadCurrent
		token := h.run(current, "SELECT 1").token
		for range 10 {
			r := h.run(h.present(token), "SELECT 1")
			is.Equal(r.status, byte('I'))
			token = r.token
		}
		is.Equal(h.ran("a"), 11)
		h.edit(func() {
			for _, name := range []string{"b", "c"} {
				h.targets[name].received, h.targets[name].applied = ahead, ahead
			}
		})
		h.settle()
		is.Equal(h.run(h.present(token), "SELECT 1").status, byte('I'))
		is.Equal(h.ran("a"), 11) // the replicas serve the session again
	})
}

// Guards against a connection without a token of its own that loses its earlier reads, or the writes
// that its team made through other connections.
func TestFloorOfTeamAndSession(t *testing.T) {
	is := is.New(t)
	bubble(t, func(h *harness) {
		ahead := position.Position{Term: 1, Offset: 15}
		h.edit(func() {
			for _, name := range []string{"a", "b"} {
				h.targets[name].received, h.targets[name].applied = ahead, ahead
			}
		})
		req := h.present(h.readAt("b"))
		req.HasFloor = false
		before := h.ran("c")
		for range 20 {
			is.Equal(h.run(req, "SELECT 1").status, byte('I'))
		}
		h.settle()
		req.Floor, req.ObservedReads = ahead, nil
		for range 20 {
			is.Equal(h.run(req, "SELECT 1").status, byte('I'))
		}
		is.Equal(h.ran("c"), before)
		h.edit(func() { h.targets["c"].received, h.targets["c"].lag = ahead, true })
		is.Equal(h.run(write, "INSERT").token, "s:1/16")
		req.Floor = position.Position{Term: 1, Offset: 1}
		for range 20 {
			is.Equal(h.run(req, "SELECT 1").status, byte('I'))
		}
		is.Equal(h.ran("c"), before) // it lacks the team's write
	})
}
