package agent

import (
	"context"
	"slices"
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/relay"
	"github.com/citronrun/citronrun/internal/rotation"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// peerAvoidance is how long a host of the place is not used as a relay or for admission after it has left a stream unanswered. It
// is longer than a host may be silent before its connections are closed.
const peerAvoidance = 2 * time.Second

// Peers returns the addresses of the hosts to which this one keeps a connection: the control hosts, or only those that forward
// its renewals; the other entry hosts that the leader has listed; and the holders in other places for which this host is the
// relay.
func (a *Agent) Peers() []string {
	holders := a.Targets().holders
	a.mu.Lock()
	defer a.mu.Unlock()
	peers := slices.Clone(a.forwarders)
	if len(peers) == 0 {
		peers = a.controlAddrs()
	}
	peers = append(peers, a.hostAddrs...)
	for holder := range holders {
		if relay.Choose(a.relaysFor(holder), holder, anyHost) == a.Addr {
			peers = append(peers, holder)
		}
	}
	return slices.DeleteFunc(peers, func(addr string) bool { return addr == a.Addr })
}

func anyHost(string) bool { return true }

// Relay returns the address of the host through which this one reaches the holder at an address, or "" if it connects to
// the holder itself.
func (a *Agent) Relay(holder string) string {
	a.mu.Lock()
	hosts := a.relaysFor(holder)
	a.mu.Unlock()
	connecting := a.Clock.Now().Sub(a.started) < time.Duration(len(hosts))*connectTimePerHost
	return a.choosePeer(hosts, holder, connecting)
}

// connectTimePerHost is how long after its start a host takes, for each host of its place, to connect with them in advance.
// Meanwhile it opens the connection to a relay that it needs. If each host that is connected with none were its own relay, a
// restart of all would end in a connection of every host with every holder, which fills the link of a small one.
const connectTimePerHost = 100 * time.Millisecond

// relaysFor returns the hosts that may be the relay for a holder: none if the holder is in this place, or if hosts are
// few enough to be connected with each other. a.mu must be held.
func (a *Agent) relaysFor(holder string) []string {
	if !a.placeHosts || slices.Contains(a.hostAddrs, holder) {
		return nil
	}
	return a.hostAddrs
}

// choosePeer returns the host that all of hosts choose for a key, among those that have not just failed and, unless
// connecting is set, are connected; or "" if that is this host or there is none.
func (a *Agent) choosePeer(hosts []string, key string, connecting bool) string {
	now := a.Clock.Now()
	usable := func(host string) bool {
		if host == a.Addr {
			return true
		}
		a.mu.Lock()
		failed := a.recentlyFailed(now, host)
		a.mu.Unlock()
		return !failed && (connecting || a.Transport.Connected(host))
	}
	if chosen := relay.Choose(hosts, key, usable); chosen != a.Addr {
		return chosen
	}
	return ""
}

// recentlyFailed reports whether a host of the place is avoided. a.mu must be held.
func (a *Agent) recentlyFailed(now time.Time, host string) bool {
	return a.failedWithin(now, host, peerAvoidance)
}

// failedWithin reports whether a host has failed within the last d. a.mu must be held.
func (a *Agent) failedWithin(now time.Time, host string, d time.Duration) bool {
	failedAt, failed := a.failedPeers[host]
	return failed && now.Sub(failedAt) < d
}

// Rotation decides what this host does if it can't serve callers (see package rotation). Where a place has few hosts the leader
// doesn't list them by place, and each may leave.
func (a *Agent) Rotation() rotation.Decision {
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.placeHosts {
		return rotation.Decision{Leave: true}
	}
	return rotation.Decide(a.Addr, a.hostAddrs, a.Transport.Connected, func(host string) bool { return a.recentlyFailed(now, host) })
}

// RecordPeerFailure records that a host of the place has left a stream to it, or through it, without any answer.
func (a *Agent) RecordPeerFailure(addr string) {
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for peer, at := range a.failedPeers {
		if now.Sub(at) >= peerAvoidance {
			delete(a.failedPeers, peer)
		}
	}
	a.failedPeers[addr] = now
}

// admitKey is the prefix of the keys by which hosts choose who admits for a team. Addresses don't start with it.
const admitKey = "team "

// admittingHost returns the address of the host that borrows the tokens of a team for all hosts of the place, or "" if this
// host borrows them itself.
func (a *Agent) admittingHost(team string) string {
	if team == catalog.OpenTeam {
		return ""
	}
	a.mu.Lock()
	hosts := a.hostAddrs
	if !a.placeHosts {
		hosts = nil
	}
	a.mu.Unlock()
	return a.choosePeer(hosts, admitKey+team, false)
}

// admitRemotely asks the host of this place that admits for a team for tokens. It reports false if that is this host, or
// if that host doesn't answer; the caller then acquires the tokens itself.
func (a *Agent) admitRemotely(ctx context.Context, team string, tokens int) (decided bool, err error) {
	host := a.admittingHost(team)
	if host == "" {
		return false, nil
	}
	var reply wire.AdmitReply
	heard := a.Transport.PacketsReceived(host)
	if err := a.Transport.CallPatient(ctx, host, admitPatience, wire.KindAdmit, wire.Admit{Team: team, Tokens: tokens}, &reply); err != nil {
		if a.Transport.PacketsReceived(host) == heard {
			a.RecordPeerFailure(host)
		}
		if ctx.Err() != nil {
			return true, noTokens(err)
		}
		return false, nil
	}
	switch {
	case reply.Code == "":
		return true, nil
	case reply.ControlLost: // this host may reach the leader
		a.RecordPeerFailure(host)
		return false, nil
	}
	return true, &verdict.Error{Verdict: verdict.NotRun, Code: reply.Code, Message: reply.Message}
}

// admitTimeout bounds the wait of a host that admits for another one.
const admitTimeout = 500 * time.Millisecond

// admitPatience bounds a call to the host that admits for a team. After it the caller acquires the tokens itself, and they are
// spent twice at worst. A host of the same place acknowledges a packet within a few milliseconds, or within a period of the
// scheduler if it has used up its share of the processor.
var admitPatience = transport.Patience{Silence: 150 * time.Millisecond, Limit: admitTimeout}

// serveAdmit acquires tokens for another host of the place.
func (a *Agent) serveAdmit(ctx context.Context, _ string, s transport.Stream) {
	var req wire.Admit
	if err := wire.Read(s, &req, wire.MaxMessageBytes); err != nil {
		s.Reset()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	var reply wire.AdmitReply
	var err error
	switch {
	case a.TryAcquireTokens(req.Team, req.Tokens):
	case a.ControlLost(): // the other host may reach control
		err, reply.ControlLost = noTokens(errControlLost), true
	default:
		err = a.acquireFailFast(ctx, req.Team, req.Tokens)
	}
	if err != nil {
		e := verdict.As(err)
		reply.Code, reply.Message = e.Code, e.Message
	}
	if err := wire.Write(s, reply); err != nil {
		s.Reset()
	}
}
