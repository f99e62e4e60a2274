package admin

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/citronrun/citronrun/internal/auth"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	scramIterations = 4096 // the minimum of SCRAM-SHA-256; enough because keys are random, not chosen by people
	saltBytes       = 16
	minSecretBytes  = 16
)

// change submits a configuration change. The status is 200 if it was accepted, 409 if its base revision
// is outdated, 422 if it is invalid, and 503 if the outcome is unknown. After a 503 the operator can send
// the same change again.
func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	var c catalog.Change
	if !readJSON(w, r, &c, maxBodyBytes) {
		return
	}
	if name := operatorName(r.Context()); name != "" {
		c.Operator = name
	}
	if err := s.deriveCredentials(&c); err != nil {
		writeError(w, http.StatusUnprocessableEntity, string(catalog.CodeInvalid), err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	res, err := s.cfg.Backend.Change(ctx, c)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, codeOutcomeUnknown,
			"outcome of the change is unknown, send it again with the same id: "+err.Error())
		return
	}
	s.logChange(c, res)
	writeJSON(w, httpStatus(res.Code), res)
}

// orderPlace returns the handler of the orders that empty a place, or refill it. An order that conflicts with one that this
// host didn't know of gets the status 409, and may be sent again.
func (s *Server) orderPlace(empty bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		place := r.PathValue("place")
		snap := s.cfg.Backend.Catalog()
		if err := wire.CheckName("place", place); err != nil {
			writeError(w, http.StatusBadRequest, codeBadRequest, err.Error())
			return
		}
		if snap == nil {
			writeError(w, http.StatusServiceUnavailable, codeUnavailable, "no catalog received from the control leader yet")
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		order := &catalog.PlaceOrder{Place: place, Emptied: empty, Base: snap.Catalog().Places[place].Orders}
		c := catalog.Change{Place: order, Operator: operatorName(r.Context())}
		res, err := s.cfg.Backend.Change(ctx, c)
		if err != nil {
			writeError(w, http.StatusServiceUnavailable, codeOutcomeUnknown, "outcome of the order is unknown, send it again: "+err.Error())
			return
		}
		s.logChange(c, res)
		writeJSON(w, httpStatus(res.Code), res)
	}
}

func httpStatus(code catalog.Code) int {
	switch code {
	case catalog.CodeAccepted:
		return http.StatusOK
	case catalog.CodeConflict:
		return http.StatusConflict
	default:
		return http.StatusUnprocessableEntity
	}
}

// deriveCredentials sets the salts of new teams and replaces secrets by verifiers. The result is
// deterministic, so that the control leader recognises a resent change.
func (s *Server) deriveCredentials(c *catalog.Change) error {
	salts := map[string][]byte{}
	for i, op := range c.Ops {
		switch {
		case op.PutTeam != nil:
			op.PutTeam.Salt = s.saltOf(c.ID, op.PutTeam.Name)
			op.PutTeam.Iterations = scramIterations
			salts[op.PutTeam.Name] = op.PutTeam.Salt
		case op.GrantKey != nil:
			if err := s.replaceSecret(c.ID, op.GrantKey, salts); err != nil {
				return fmt.Errorf("ops[%d].grant_key.secret: %w", i, err)
			}
		}
	}
	return nil
}

// saltOf returns the salt of an existing team, or else derives one from the change and the team. Salts
// must differ between teams but needn't be secret.
func (s *Server) saltOf(changeID, team string) []byte {
	if snap := s.cfg.Backend.Catalog(); snap != nil {
		if t, ok := snap.Team(team); ok {
			return t.Salt
		}
	}
	sum := sha256.Sum256([]byte("salt\x00" + changeID + "\x00" + team))
	return sum[:saltBytes]
}

// replaceSecret replaces the secret of a granted key by its verifier. The salts are those of the teams
// that the same change creates.
func (s *Server) replaceSecret(changeID string, grant *catalog.GrantKey, salts map[string][]byte) error {
	if len(grant.Secret) < minSecretBytes {
		return fmt.Errorf("has %d bytes, want at least %d", len(grant.Secret), minSecretBytes)
	}
	salt, ok := salts[grant.Team]
	if !ok {
		salt = s.saltOf(changeID, grant.Team)
	}
	key, err := auth.Verifier(grant.Secret, salt, scramIterations)
	if err != nil {
		return err
	}
	grant.Key, grant.Secret = key, ""
	return nil
}

// watch is a long poll: it responds once the host's revision exceeds the parameter after, or with the
// value of that parameter after watchTimeout.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest, fmt.Sprintf("parameter after is %q, want a revision number", r.URL.Query().Get("after")))
		return
	}
	deadline := time.NewTimer(watchTimeout)
	defer deadline.Stop()
	poll := time.NewTicker(watchInterval)
	defer poll.Stop()
	for {
		if snap := s.cfg.Backend.Catalog(); snap != nil && snap.Revision() > after {
			writeRevision(w, snap.Revision())
			return
		}
		select {
		case <-poll.C:
		case <-deadline.C:
			writeRevision(w, after)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRevision(w http.ResponseWriter, revision uint64) {
	writeJSON(w, http.StatusOK, struct {
		Revision uint64 `json:"revision"`
	}{revision})
}
