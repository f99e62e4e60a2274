package admin

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/citronrun/citronrun/internal/wire"
)

const minTokenBytes = 16

// Tokens holds the hashes of the operators' tokens.
type Tokens struct {
	hashes map[string][sha256.Size]byte // by operator
}

// LoadTokens reads a file with one operator per line: NAME TOKEN. Empty lines and lines that start
// with # are skipped.
func LoadTokens(file string) (*Tokens, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t := &Tokens{hashes: map[string][sha256.Size]byte{}}
	scanner := bufio.NewScanner(f)
	for line := 1; scanner.Scan(); line++ {
		if err := t.add(scanner.Text()); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, line, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	if len(t.hashes) == 0 {
		return nil, fmt.Errorf("%s contains no token", file)
	}
	return t, nil
}

func (t *Tokens) add(line string) error {
	fields := strings.Fields(line)
	switch {
	case len(fields) == 0 || strings.HasPrefix(fields[0], "#"):
		return nil
	case len(fields) != 2:
		return fmt.Errorf("got %d fields, want NAME TOKEN", len(fields))
	case len(fields[1]) < minTokenBytes:
		return fmt.Errorf("token of operator %q has %d bytes, want at least %d", fields[0], len(fields[1]), minTokenBytes)
	}
	if _, ok := t.hashes[fields[0]]; ok {
		return fmt.Errorf("duplicate operator %q", fields[0])
	}
	t.hashes[fields[0]] = sha256.Sum256([]byte(fields[1]))
	return nil
}

// Operator returns the operator whose token is the bearer token of the request.
func (t *Tokens) Operator(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	found := ""
	for name, want := range t.hashes { // no early exit, so that the duration reveals nothing about the tokens
		if subtle.ConstantTimeCompare(sum[:], want[:]) == 1 {
			found = name
		}
	}
	return found, found != ""
}

type operatorKey struct{}

func contextWithOperator(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, operatorKey{}, name)
}

func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// addLeaderRoutes adds the routes whose requests are forwarded to the control leader as
// wire.AdminRequest.
func (s *Server) addLeaderRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/status", s.forwardHandler(func(*http.Request) wire.AdminRequest {
		return wire.AdminRequest{Op: wire.AdminStatus}
	}))
	mux.HandleFunc("POST /v1/services/{service}/promote", s.forwardHandler(func(r *http.Request) wire.AdminRequest {
		return wire.AdminRequest{Op: wire.AdminPromote, Service: r.PathValue("service"), Target: r.URL.Query().Get("target")}
	}))
	mux.HandleFunc("POST /v1/hosts/{host}/drain", s.forwardHandler(func(r *http.Request) wire.AdminRequest {
		return wire.AdminRequest{Op: wire.AdminDrain, Host: r.PathValue("host")}
	}))
	mux.HandleFunc("DELETE /v1/services/{service}/targets/{target}", s.forwardHandler(func(r *http.Request) wire.AdminRequest {
		return wire.AdminRequest{Op: wire.AdminForget, Service: r.PathValue("service"), Target: r.PathValue("target")}
	}))
	mux.HandleFunc("PUT /v1/members/{member}", s.memberHandler(wire.AdminMemberAdd))
	mux.HandleFunc("DELETE /v1/members/{member}", s.memberHandler(wire.AdminMemberRemove))
}

// memberHandler returns the handler of a request that adds or removes a control member.
func (s *Server) memberHandler(op wire.AdminOp) http.HandlerFunc {
	return s.requireOperator(func(w http.ResponseWriter, r *http.Request) {
		var id uint64
		if _, err := fmt.Sscanf(r.PathValue("member"), "%d", &id); err != nil || id == 0 {
			writeError(w, http.StatusBadRequest, codeBadRequest, fmt.Sprintf("member id is %q, want a decimal number above 0", r.PathValue("member")))
			return
		}
		s.forward(w, r, wire.AdminRequest{Op: op, Member: id, Addr: r.URL.Query().Get("addr")})
	})
}

// forwardHandler returns a handler that forwards the AdminRequest built from an HTTP request.
func (s *Server) forwardHandler(newRequest func(*http.Request) wire.AdminRequest) http.HandlerFunc {
	return s.requireOperator(func(w http.ResponseWriter, r *http.Request) { s.forward(w, r, newRequest(r)) })
}

func (s *Server) forward(w http.ResponseWriter, r *http.Request, req wire.AdminRequest) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	reply, err := s.cfg.Backend.Admin(ctx, req)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, codeOutcomeUnknown, err.Error())
		return
	}
	if !reply.OK {
		writeError(w, http.StatusUnprocessableEntity, codeBadRequest, reply.Message)
		return
	}
	if len(reply.Body) == 0 {
		writeJSON(w, http.StatusOK, struct {
			Message string `json:"message"`
		}{reply.Message})
		return
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	_, _ = w.Write(reply.Body)
}
