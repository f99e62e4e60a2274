package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/pack"
	"github.com/citronrun/citronrun/internal/wire"
)

// handleChange commits a catalog change. If changes aren't allowed now, the change can't be applied, or its
// outcome is unknown, the reply carries a Message instead of a Result. The host then resends the change with
// the same id.
func (s *Server) handleChange(ctx context.Context, _ string, req *wire.ChangeRequest) (*wire.ChangeReply, error) {
	if s.readyLeader() == nil {
		return &wire.ChangeReply{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}, nil
	}
	var change catalog.Change
	data, err := pack.Decompress(req.Change, wire.MaxSnapshotBytes)
	if err != nil {
		return nil, fmt.Errorf("decompress change: %w", err)
	}
	if err := wire.Unmarshal(data, &change); err != nil {
		return nil, fmt.Errorf("decode change: %w", err)
	}
	if s.CheckChangeAllowed != nil {
		if err := s.CheckChangeAllowed(); err != nil {
			return &wire.ChangeReply{Message: err.Error()}, nil
		}
	}
	if err := s.checkVoterPlaces(); err != nil {
		return &wire.ChangeReply{Message: err.Error()}, nil
	}
	if err := s.checkPlace(change.Place); err != nil {
		return changeReply(catalog.Result{Code: catalog.CodeInvalid, Revision: s.Machine.Catalog().Catalog.Revision, Field: "place", Message: err.Error()})
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := s.proposeForResult(ctx, command{Change: &change})
	if err != nil {
		return &wire.ChangeReply{Message: err.Error()}, nil
	}
	decision, ok := result.(catalog.Result)
	if !ok {
		return &wire.ChangeReply{Message: fmt.Sprint(result)}, nil
	}
	if change.Place != nil && decision.Code == catalog.CodeAccepted {
		s.placeOrdered(change.Place)
	}
	return changeReply(decision)
}

func changeReply(decision catalog.Result) (*wire.ChangeReply, error) {
	countChange(string(decision.Code))
	data, err := wire.Marshal(decision)
	if err != nil {
		return nil, fmt.Errorf("encode result: %w", err)
	}
	return &wire.ChangeReply{Result: data}, nil
}

// handleAnnounce records that a target of a catalog service is alive. A new target becomes a member of its
// service, unless the service already has as many members as databases are configured.
func (s *Server) handleAnnounce(ctx context.Context, _ string, req *wire.Announce) (*wire.AnnounceReply, error) {
	leader := s.readyLeader()
	if leader == nil {
		return &wire.AnnounceReply{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}, nil
	}
	member := Member{Addr: req.Addr, Place: req.Place}
	if known, ok := s.Machine.Service(req.Service).Members[req.Target]; !ok || known != member {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		c := command{AddTarget: &addTarget{Service: req.Service, Target: req.Target, Member: member}}
		if err := s.propose(ctx, c); err != nil {
			return &wire.AnnounceReply{Message: err.Error()}, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	leader.announcements[req.Target] = announcement{Announce: *req, expiresAt: s.Clock.Now().Add(announceTTL)}
	return &wire.AnnounceReply{OK: true, TTL: announceTTL}, nil
}

var (
	errFixedConsensusMembers = errors.New("consensus members cannot be changed in this configuration")
	errUnknownHost           = errors.New("host is unknown to the control leader")
	errNotLeader             = errors.New("this control host has lost leadership")
)

func (s *Server) handleAdmin(ctx context.Context, _ string, req *wire.AdminRequest) (*wire.AdminReply, error) {
	if s.readyLeader() == nil {
		return &wire.AdminReply{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	body, err := s.executeAdmin(ctx, req)
	if err != nil {
		return &wire.AdminReply{Message: err.Error()}, nil
	}
	return &wire.AdminReply{OK: true, Body: body}, nil
}

func (s *Server) executeAdmin(ctx context.Context, req *wire.AdminRequest) ([]byte, error) {
	switch req.Op {
	case wire.AdminStatus:
		return json.Marshal(s.Status())
	case wire.AdminPromote:
		return nil, s.requestPromotion(req)
	case wire.AdminDrain:
		return nil, s.drainHost(req)
	case wire.AdminForget:
		return nil, s.propose(ctx, command{RemoveTarget: &removeTarget{Service: req.Service, Target: req.Target}})
	case wire.AdminMemberAdd, wire.AdminMemberRemove:
		return nil, s.changeConsensusMembers(ctx, req)
	default:
		return nil, fmt.Errorf("unknown admin operation %q", req.Op)
	}
}

func (s *Server) changeConsensusMembers(ctx context.Context, req *wire.AdminRequest) error {
	if s.Members == nil {
		return errFixedConsensusMembers
	}
	if req.Op == wire.AdminMemberAdd {
		return s.Members.AddMember(ctx, req.Member, req.Addr)
	}
	return s.Members.RemoveMember(ctx, req.Member)
}

// requestPromotion starts a switchover of a catalog service to a target, and returns without waiting for its
// completion.
func (s *Server) requestPromotion(req *wire.AdminRequest) error {
	record := s.Machine.Service(req.Service)
	if _, ok := record.Members[req.Target]; !ok {
		return errNotTargetOfService
	}
	if record.Primary == req.Target {
		return nil
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil {
		return errNotLeader
	}
	s.leader.serviceState(now, req.Service, record).failover.RequestPromotion(now, req.Target)
	s.stepFailover(s.leader, now, req.Service)
	return nil
}

// drainHost moves the services and target leases of a host to other hosts. It remains in effect until the
// host's process is restarted.
func (s *Server) drainHost(req *wire.AdminRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil {
		return errNotLeader
	}
	h := s.leader.hosts[req.Host]
	if h == nil {
		return errUnknownHost
	}
	s.leader.drainRequests[req.Host] = h.bootID
	s.leader.liveHostsCache = nil
	return nil
}
