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

// change commits a change of the configuration. When its outcome is unknown, the answer says so
// and the host resends the change with the same id.
func (s *Server) change(ctx context.Context, _ string, req *wire.ChangeRequest) (*wire.ChangeReply, error) {
	if s.leading() == nil {
		return &wire.ChangeReply{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}, nil
	}
	var change catalog.Change
	data, err := pack.Decompress(req.Change, wire.MaxSnapshotBytes)
	if err != nil {
		return nil, fmt.Errorf("unpack change: %w", err)
	}
	if err := wire.Unmarshal(data, &change); err != nil {
		return nil, fmt.Errorf("decode change: %w", err)
	}
	if s.CheckChangeAllowed != nil {
		if err := s.CheckChangeAllowed(); err != nil {
			return &wire.ChangeReply{Message: err.Error()}, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := s.proposeAny(ctx, command{Change: &change})
	if err != nil {
		return &wire.ChangeReply{Message: err.Error()}, nil
	}
	decided, ok := result.(catalog.Result)
	if !ok {
		return &wire.ChangeReply{Message: fmt.Sprint(result)}, nil
	}
	countChange(string(decided.Code))
	if data, err = wire.Marshal(decided); err != nil {
		return nil, fmt.Errorf("encode result: %w", err)
	}
	return &wire.ChangeReply{Result: data}, nil
}

// announce notes that a target is alive, and makes a new one a member of its service while there
// is room.
func (s *Server) announce(ctx context.Context, _ string, req *wire.Announce) (*wire.AnnounceReply, error) {
	lead := s.leading()
	if lead == nil {
		return &wire.AnnounceReply{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}, nil
	}
	member := Member{Addr: req.Addr, Place: req.Place}
	if known, ok := s.Machine.Service(req.Service).Members[req.Target]; !ok || known != member {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		c := command{Join: &join{Service: req.Service, Target: req.Target, Member: member}}
		if err := s.propose(ctx, c); err != nil {
			return &wire.AnnounceReply{Message: err.Error()}, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lead.targets[req.Target] = announced{Announce: *req, until: s.Clock.Now().Add(announceTTL)}
	return &wire.AnnounceReply{OK: true, TTL: announceTTL}, nil
}

var (
	errNoMembers = errors.New("this cluster's members can't be changed")
	errNoHost    = errors.New("no such host")
)

func (s *Server) admin(ctx context.Context, _ string, req *wire.AdminRequest) (*wire.AdminReply, error) {
	if s.leading() == nil {
		return &wire.AdminReply{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	body, err := s.operate(ctx, req)
	if err != nil {
		return &wire.AdminReply{Message: err.Error()}, nil
	}
	return &wire.AdminReply{OK: true, Body: body}, nil
}

func (s *Server) operate(ctx context.Context, req *wire.AdminRequest) ([]byte, error) {
	switch req.Op {
	case wire.AdminStatus:
		return json.Marshal(s.Status())
	case wire.AdminPromote:
		return nil, s.promote(req)
	case wire.AdminDrain:
		return nil, s.drain(req)
	case wire.AdminForget:
		return nil, s.propose(ctx, command{Forget: &forget{Service: req.Service, Target: req.Target}})
	case wire.AdminMemberAdd, wire.AdminMemberRemove:
		return nil, s.changeMembers(ctx, req)
	default:
		return nil, fmt.Errorf("unknown operation %q", req.Op)
	}
}

func (s *Server) changeMembers(ctx context.Context, req *wire.AdminRequest) error {
	if s.Members == nil {
		return errNoMembers
	}
	if req.Op == wire.AdminMemberAdd {
		return s.Members.AddMember(ctx, req.Member, req.Addr)
	}
	return s.Members.RemoveMember(ctx, req.Member)
}

// promote starts a planned promotion. It returns before the promotion has happened.
func (s *Server) promote(req *wire.AdminRequest) error {
	state := s.Machine.Service(req.Service)
	if _, ok := state.Members[req.Target]; !ok {
		return errMember
	}
	if state.Primary == req.Target {
		return nil
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead == nil {
		return errStale
	}
	s.lead.service(now, req.Service, state).machine.RequestPromotion(now, req.Target)
	s.step(s.lead, now, req.Service)
	return nil
}

// drain moves the services of a host elsewhere, until its process is replaced.
func (s *Server) drain(req *wire.AdminRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead == nil {
		return errStale
	}
	h := s.lead.hosts[req.Host]
	if h == nil {
		return errNoHost
	}
	s.lead.drains[req.Host] = h.boot
	s.lead.cached = nil
	return nil
}
