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
)

const (
	scramIterations = 4096 // the least that SCRAM-SHA-256 allows; keys are random, not chosen by people
	saltBytes       = 16
	minSecretBytes  = 16
)

// change submits a configuration change. The status is 200 when accepted, 409 on a conflict of
// revisions, 422 when invalid, 503 when the outcome is unknown: the same change may be sent again.
func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	var c catalog.Change
	if !readJSON(w, r, &c, maxBodyBytes) {
		return
	}
	if name := operatorName(r.Context()); name != "" {
		c.Operator = name
	}
	if err := s.prepare(&c); err != nil {
		writeError(w, http.StatusUnprocessableEntity, string(catalog.CodeInvalid), err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	res, err := s.cfg.Backend.Change(ctx, c)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, codeUnknownResult,
			"the change may or may not be accepted, send it again with the same id: "+err.Error())
		return
	}
	s.logChange(c, res)
	writeJSON(w, statusOf(res.Code), res)
}

func statusOf(code catalog.Code) int {
	switch code {
	case catalog.CodeAccepted:
		return http.StatusOK
	case catalog.CodeConflict:
		return http.StatusConflict
	default:
		return http.StatusUnprocessableEntity
	}
}

// prepare fills in salts of new teams and replaces secrets by verifiers. It gives the same result
// for each send of a change, so that a resend is recognised.
func (s *Server) prepare(c *catalog.Change) error {
	salts := map[string][]byte{}
	for i, op := range c.Ops {
		switch {
		case op.PutTeam != nil:
			op.PutTeam.Salt = s.salt(c.ID, op.PutTeam.Name)
			op.PutTeam.Iterations = scramIterations
			salts[op.PutTeam.Name] = op.PutTeam.Salt
		case op.GrantKey != nil:
			if err := s.verifier(c.ID, op.GrantKey, salts); err != nil {
				return fmt.Errorf("ops[%d].grant_key.secret: %w", i, err)
			}
		}
	}
	return nil
}

// salt returns the team's salt, or the one that a new team gets in the change with this id. Salts
// need to differ between teams but not to be secret.
func (s *Server) salt(changeID, team string) []byte {
	if snap := s.cfg.Backend.Catalog(); snap != nil {
		if t, ok := snap.Team(team); ok {
			return t.Salt
		}
	}
	sum := sha256.Sum256([]byte("salt\x00" + changeID + "\x00" + team))
	return sum[:saltBytes]
}

func (s *Server) verifier(changeID string, g *catalog.GrantKey, salts map[string][]byte) error {
	if len(g.Secret) < minSecretBytes {
		return fmt.Errorf("has %d bytes, want at least %d", len(g.Secret), minSecretBytes)
	}
	salt, ok := salts[g.Team]
	if !ok {
		salt = s.salt(changeID, g.Team)
	}
	key, err := auth.Verifier(g.Secret, salt, scramIterations)
	if err != nil {
		return err
	}
	g.Key, g.Secret = key, ""
	return nil
}

// watch answers once the host's revision exceeds the parameter after, or with the current revision
// after 30 s.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest, "parameter after: want a revision")
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
