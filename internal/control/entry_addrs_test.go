package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/wire"
)

// Guards against entry hosts that don't learn of each other, that keep connections to hosts that are gone, and against a
// list that is sent with each renewal.
func TestEntryAddrs(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	leader := newLeaderState(now, 3, true)
	leader.hosts["a"] = &hostState{addr: "10.0.0.1:1", entry: true, renewedAt: now}
	leader.hosts["b"] = &hostState{addr: "10.0.0.2:1", entry: true, renewedAt: now}
	leader.hosts["c"] = &hostState{addr: "10.0.0.3:1", renewedAt: now}
	renew := func(req wire.Renew) wire.RenewReply {
		var reply wire.RenewReply
		leader.addEntryAddrs(now, &reply, &req)
		return reply
	}
	reply := renew(wire.Renew{Entry: true, LeaderTerm: 3})
	is.Equal(reply.HostAddrs, []string{"10.0.0.1:1", "10.0.0.2:1"})
	known := wire.Renew{Entry: true, LeaderTerm: 3, HostsVersion: reply.HostsVersion}
	is.Equal(len(renew(known).HostAddrs), 0)                                                                    // unchanged
	is.Equal(len(renew(wire.Renew{Entry: true, LeaderTerm: 2, HostsVersion: known.HostsVersion}).HostAddrs), 2) // of another leader
	is.Equal(len(renew(wire.Renew{LeaderTerm: 3}).HostAddrs), 0)                                                // a control host

	now = now.Add(entryAddrTTL + time.Second)
	leader.hosts["a"].renewedAt = now
	is.Equal(renew(known).HostAddrs, []string{"10.0.0.1:1"})
}
