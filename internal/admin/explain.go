package admin

import (
	"fmt"
	"net/http"

	"github.com/citronrun/citronrun/internal/gateway"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
)

// explain answers where this host would send an operation now. It sends nothing.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	if s.cfg.Explain == nil {
		writeError(w, http.StatusNotFound, codeBadRequest, "this host serves no deployment: ask an entry host")
		return
	}
	query, err := parseQuery(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest, err.Error())
		return
	}
	explanation, err := s.cfg.Explain(query)
	if err != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

// parseQuery reads the parameters database, team, kind, place and floor. All but database may be missing.
func parseQuery(r *http.Request) (gateway.Query, error) {
	values := r.URL.Query()
	for name := range values {
		switch name {
		case "database", "team", "kind", "place", "floor":
		default:
			return gateway.Query{}, fmt.Errorf("unknown parameter %q, want database, team, kind, place or floor", name)
		}
	}
	q := gateway.Query{Database: values.Get("database"), Team: values.Get("team"), Place: values.Get("place")}
	if q.Database == "" {
		return q, fmt.Errorf("the parameter database is missing")
	}
	if floor := values.Get("floor"); floor != "" {
		var err error
		if q.Floor, err = position.Parse(floor); err != nil {
			return q, err
		}
	}
	kind := values.Get("kind")
	if kind == "" {
		kind = statement.Read.String()
	}
	for _, k := range []statement.Kind{statement.Read, statement.Write, statement.Begin, statement.BeginRead} {
		if k.String() == kind {
			q.Kind = k
			return q, nil
		}
	}
	return q, fmt.Errorf("kind is %q, want read, write, begin or begin_read", kind)
}
