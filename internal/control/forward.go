package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/wire"
)

// In a large deployment the entry hosts of a place renew through a control host of their place, which forwards their renewals
// to the leader and adds the catalog from its own log. The leader then has a connection with each control host instead of
// one with each host, a change of leader needs no new connections, and a catalog crosses places once, in the log.

// forwardPatience bounds a forwarded call. It ends before the caller of this host gives up.
var forwardPatience = transport.Patience{Silence: 300 * time.Millisecond, Limit: 600 * time.Millisecond}

const (
	// forwardedTTL is how long after its last renewal a host is asked to renew by a request to all.
	forwardedTTL = 5 * time.Second
	// catalogWait bounds the wait of a forwarder for a catalog that the leader has applied and it has not. It is longer than
	// the time between two heartbeats of the log.
	catalogWait         = 200 * time.Millisecond
	catalogPollInterval = 10 * time.Millisecond
	// forwarderTTL is how long after its last renewal a control host stays in the list of its place: three renewals.
	forwarderTTL = 6 * time.Second
	// forwardersInterval is the time between two updates of the lists of forwarders.
	forwardersInterval = 200 * time.Millisecond
)

// forwardedHosts are the hosts whose renewals this control host has forwarded. It is safe for concurrent use.
type forwardedHosts struct {
	mu        sync.Mutex
	renewedAt map[string]time.Time // by QUIC address
}

func (f *forwardedHosts) record(now time.Time, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.renewedAt == nil {
		f.renewedAt = map[string]time.Time{}
	}
	f.renewedAt[addr] = now
}

// recent returns the hosts that have renewed within forwardedTTL.
func (f *forwardedHosts) recent(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []string
	for addr, at := range f.renewedAt {
		if now.Sub(at) > forwardedTTL {
			delete(f.renewedAt, addr)
			continue
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

// forwardRenew forwards a renewal to the leader. The reply says that there is no leader if none is known or it doesn't
// answer.
func (s *Server) forwardRenew(ctx context.Context, req *wire.Renew) *wire.RenewReply {
	s.forwarded.record(s.Clock.Now(), req.Addr)
	leaderAddr := s.Log.LeaderAddr()
	if leaderAddr == "" {
		return &wire.RenewReply{NotLeader: true}
	}
	reply := &wire.RenewReply{}
	if err := s.Transport.CallPatient(ctx, leaderAddr, forwardPatience, wire.KindForwardedRenew, req, reply); err != nil || reply.NotLeader {
		forwardsFailed.Inc()
		_ = level.Debug(s.Logger).Log("msg", "renewal not forwarded", "host", req.Host, "leader", leaderAddr, "err", err)
		return &wire.RenewReply{NotLeader: true}
	}
	forwards.Inc()
	reply.LeaderAddr = leaderAddr
	if !req.CatalogMissing {
		s.addAppliedCatalog(ctx, reply, req)
	}
	return reply
}

// addAppliedCatalog adds the catalog that this member has applied to a forwarded reply, if the host needs it. It waits a
// moment if the leader has applied a newer one. The reply keeps the revision of the leader, so that a host that gets an
// older one doesn't count it as confirmed.
func (s *Server) addAppliedCatalog(ctx context.Context, reply *wire.RenewReply, req *wire.Renew) {
	revision := reply.Revision
	if req.CatalogRevision >= revision && revision > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catalogWait)
	defer cancel()
	ticker := time.NewTicker(catalogPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && s.Machine.Catalog().Catalog.Revision < revision {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	s.addCatalog(reply, req)
	reply.Revision = max(reply.Revision, revision)
}

// handleForwardedRenew answers a renewal that a control host, whose certificate says so, has forwarded.
func (s *Server) handleForwardedRenew(ctx context.Context, peer string, req *wire.Renew) (*wire.RenewReply, error) {
	return s.renew(ctx, peer, req)
}

// forwardBorrow forwards a request for tokens to the leader, like forwardRenew.
func (s *Server) forwardBorrow(ctx context.Context, req *wire.Borrow) *wire.TokenGrant {
	noLeader := &wire.TokenGrant{NotLeader: true}
	leaderAddr := s.Log.LeaderAddr()
	if leaderAddr == "" {
		return noLeader
	}
	grant := &wire.TokenGrant{}
	if err := s.Transport.CallPatient(ctx, leaderAddr, forwardPatience, wire.KindForwardedBorrow, req, grant); err != nil || grant.NotLeader {
		forwardsFailed.Inc()
		return noLeader
	}
	forwards.Inc()
	return grant
}

// handleForwardedBorrow answers a request for tokens that a control host has forwarded.
func (s *Server) handleForwardedBorrow(ctx context.Context, _ string, req *wire.Borrow) (*wire.TokenGrant, error) {
	return s.borrow(ctx, req)
}

// handleRenewAll asks the hosts whose renewals this control host forwards to renew.
func (s *Server) handleRenewAll(_ context.Context, _ string, stream transport.Stream) {
	var msg wire.RenewNow
	if err := wire.Read(stream, &msg, wire.MaxMessageBytes); err != nil {
		stream.Reset()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, addr := range s.forwarded.recent(s.Clock.Now()) {
		s.sendInBackground(spread(msg.Within), transport.Via{Addr: addr}, wire.KindRenewNow, wire.RenewNow{})
	}
}

// renewalTimePerHost is the time over which the hosts of a large deployment are asked to renew, for each host. The leader needs
// about as much for a renewal; if all came at once its log would have to wait behind them, and its heartbeats with it.
const renewalTimePerHost = 1500 * time.Microsecond

// renewalSpread returns the time over which all entry hosts are asked to renew.
func (l *leaderState) renewalSpread() time.Duration {
	if len(l.forwarders) == 0 {
		return 0
	}
	return time.Duration(len(l.hosts)) * renewalTimePerHost
}

// spread returns a random time within a limit.
func spread(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return rand.N(min(limit, maxRenewalSpread))
}

// maxRenewalSpread bounds what a message may ask for.
const maxRenewalSpread = 2 * time.Second

// sendInBackground sends a request to renew after a delay. If it is lost, the host renews at its next regular time. Server.mu
// must be held.
func (s *Server) sendInBackground(delay time.Duration, via transport.Via, kind wire.Kind, msg wire.RenewNow) {
	s.runInBackground(func() {
		if delay > 0 {
			timer := time.NewTimer(delay)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-s.ctx.Done():
				return
			}
		}
		ctx, cancel := context.WithTimeout(s.ctx, renewNowTimeout)
		defer cancel()
		if err := s.Transport.CallVia(ctx, via, kind, msg, nil); err != nil {
			_ = level.Debug(s.Logger).Log("msg", "poke failed", "addr", via.Addr, "relay", via.Relay, "err", err)
		}
	})
}

// addForwarders adds the control hosts of the host's place to the reply, unless the host has their current version or the
// deployment is small enough for each host to be connected with all others.
func (l *leaderState) addForwarders(now time.Time, reply *wire.RenewReply, req *wire.Renew) {
	if !req.Entry {
		return
	}
	l.updateForwarders(now)
	hosts, ok := l.forwarders[req.Place]
	if !ok {
		return
	}
	reply.ForwardersVersion = hosts.version
	if req.ForwardersVersion != hosts.version || req.LeaderTerm != l.term {
		reply.Forwarders = hosts.addrs
	}
}

// updateForwarders rebuilds the lists of forwarders if they are older than forwardersInterval.
func (l *leaderState) updateForwarders(now time.Time) {
	if now.Sub(l.forwardersCheckedAt) < forwardersInterval {
		return
	}
	l.forwardersCheckedAt = now
	entryHosts, byPlace := l.missingHolders(now), map[string][]string{}
	for _, h := range l.hosts {
		switch {
		case now.Sub(h.renewedAt) > forwarderTTL:
		case h.entry:
			entryHosts++
		case !h.draining:
			byPlace[h.place] = append(byPlace[h.place], h.addr)
		}
	}
	lists := map[string]hostList{}
	for place, addrs := range byPlace {
		if entryHosts <= maxMeshHosts {
			break
		}
		slices.Sort(addrs)
		list, ok := l.forwarders[place]
		if !ok || !slices.Equal(addrs, list.addrs) {
			l.forwardersVersion++
			list = hostList{addrs: addrs, version: l.forwardersVersion}
		}
		lists[place] = list
	}
	l.forwarders = lists
}

// missingHolders returns the number of recorded holders of targets that have not renewed at this leader yet. They count as
// entry hosts for a while, so that the first ones to renew after a restart of all hosts learn that the deployment is large.
func (l *leaderState) missingHolders(now time.Time) int {
	if now.Sub(l.readyAt) > forwarderTTL {
		return 0
	}
	missing := 0
	for name := range l.recordedHolders {
		if l.hosts[name] == nil {
			missing++
		}
	}
	return missing
}
