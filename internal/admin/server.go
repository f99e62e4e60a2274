// Package admin serves the administration API over HTTP, for operators, the platform and targets. It
// includes health checks, metrics and the state dump.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/budget"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/gateway"
	"github.com/citronrun/citronrun/internal/httplimit"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	maxBodyBytes       = 1 << 20
	requestTimeout     = 15 * time.Second // covers finding the control leader and committing a change
	headerTimeout      = 5 * time.Second
	readTimeout        = 20 * time.Second
	writeTimeout       = 2 * time.Minute // longer than a watch or a profile
	watchTimeout       = 30 * time.Second
	watchInterval      = 50 * time.Millisecond
	shutdownGrace      = 2 * time.Second
	maxAnnounceBytes   = 4 << 10
	contentTypeJSON    = "application/json"
	codeUnavailable    = "unavailable"
	codeBadRequest     = "bad_request"
	codeUnauthorized   = "unauthorized"
	codeOutcomeUnknown = "outcome_unknown"
)

// Backend is the host's connection to the control leader.
type Backend interface {
	// Catalog returns the newest catalog on this host, or nil before the first has arrived.
	Catalog() *catalog.Snapshot
	// ConfirmedAge returns the age of the latest successful renewal, which confirmed the catalog.
	ConfirmedAge() time.Duration
	// Change submits a change. It may be called again with the same change after an error.
	Change(ctx context.Context, c catalog.Change) (catalog.Result, error)
	// Announce forwards a target's announcement to the leader.
	Announce(ctx context.Context, a wire.Announce) (wire.AnnounceReply, error)
	// Admin forwards an operator's request to the leader.
	Admin(ctx context.Context, req wire.AdminRequest) (wire.AdminReply, error)
}

// Config configures a Server.
type Config struct {
	Host    string
	Backend Backend
	Ready   func() error                                     // returns nil if the host can serve callers
	State   map[string]func() any                            // sections of the state dump by name
	Tokens  *Tokens                                          // nil if requests need no token
	Explain func(gateway.Query) (gateway.Explanation, error) // nil if the host serves no deployment
	Metrics func() []*metrics.Set                            // additional metric sets; may be nil
	Logger  log.Logger

	MaxConnections int              // 0: unlimited
	Refusals       *budget.Refusals // nil: clients over a limit are logged to Logger
}

// Server serves the administration API.
type Server struct {
	cfg  Config
	http *http.Server
}

// New returns a Server; Serve starts it.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	if cfg.Refusals == nil {
		cfg.Refusals = budget.NewRefusals(cfg.Logger)
	}
	s.http = httplimit.NewServer(s.Handler(), httplimit.Config{
		Connections: cfg.MaxConnections, HeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		ActiveTime: writeTimeout, Refusals: cfg.Refusals,
	})
	return s
}

// Handler returns the API's routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /debug/state", s.requireOperator(s.state))
	mux.HandleFunc("GET /debug/pprof/", s.requireOperator(pprof.Index))
	mux.HandleFunc("GET /debug/pprof/profile", s.requireOperator(pprof.Profile))
	mux.HandleFunc("GET /v1/catalog", s.requireOperator(s.catalog))
	mux.HandleFunc("GET /v1/watch", s.requireOperator(s.watch))
	mux.HandleFunc("POST /v1/changes", s.requireOperator(s.change))
	mux.HandleFunc("POST /v1/places/{place}/empty", s.requireOperator(s.orderPlace(true)))
	mux.HandleFunc("POST /v1/places/{place}/refill", s.requireOperator(s.orderPlace(false)))
	mux.HandleFunc("POST /v1/announce", s.requireOperator(s.announce))
	mux.HandleFunc("GET /v1/explain", s.requireOperator(s.explain))
	s.addLeaderRoutes(mux)
	return mux
}

// Serve accepts connections until Shutdown. The listener may be a TLS listener.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting and waits a short time for running requests.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownGrace)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close() // watch requests can last longer than shutdownGrace
	}
	return nil
}

// requireOperator wraps a handler to require an operator's token, if tokens are configured.
func (s *Server) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.cfg.Tokens == nil {
			next(w, r)
			return
		}
		name, ok := s.cfg.Tokens.Operator(r)
		if !ok {
			writeError(w, http.StatusUnauthorized, codeUnauthorized, "missing or unknown operator token, want the header Authorization: Bearer TOKEN")
			return
		}
		next(w, r.WithContext(contextWithOperator(r.Context(), name)))
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.cfg.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
	if s.cfg.Metrics == nil {
		return
	}
	for _, set := range s.cfg.Metrics() {
		set.WritePrometheus(w)
	}
}

func (s *Server) state(w http.ResponseWriter, _ *http.Request) {
	dump := make(map[string]any, len(s.cfg.State)+1)
	dump["host"] = s.cfg.Host
	for name, section := range s.cfg.State {
		dump[name] = section()
	}
	writeJSON(w, http.StatusOK, dump)
}

func (s *Server) catalog(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.cfg.Backend.Catalog()
	if snapshot == nil {
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, "no catalog received from the control leader yet")
		return
	}
	writeJSON(w, http.StatusOK, snapshot.Catalog())
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	var a wire.Announce
	if !readJSON(w, r, &a, maxAnnounceBytes) {
		return
	}
	if err := wire.CheckTarget(a.Target, a.Service, a.Place, a.Addr); err != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	reply, err := s.cfg.Backend.Announce(ctx, a)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, err.Error())
		return
	}
	status := http.StatusOK
	if !reply.OK {
		status = http.StatusUnprocessableEntity
	}
	writeJSON(w, status, reply)
}

// Error is the "error" member of every error response of the API.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, struct {
		Error Error `json:"error"`
	}{Error{Code: code, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		http.Error(w, "encode response: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// readJSON decodes a request body and rejects unknown fields. If the body is invalid, it writes the error
// response and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any, limit int64) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest, "request body: "+err.Error())
		return false
	}
	return true
}

func (s *Server) logChange(c catalog.Change, res catalog.Result) {
	_ = level.Info(s.cfg.Logger).Log("msg", "change decided", "id", c.ID, "operator", c.Operator,
		"base", c.Base, "code", res.Code, "revision", res.Revision, "field", res.Field)
}
