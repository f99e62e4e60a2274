package ctl

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/admin"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/wire"
)

// backend is an administration backend over a catalog machine. It can lose the answers of changes.
type backend struct {
	mu      sync.Mutex
	machine *catalog.Machine
	lose    int // answers still to be lost
	sends   int
	asked   []wire.AdminRequest
	status  []byte // answer to AdminStatus
}

func (b *backend) Catalog() *catalog.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, err := catalog.NewSnapshot(b.machine.Catalog())
	if err != nil {
		panic(err)
	}
	return s
}

func (b *backend) ConfirmedAge() time.Duration { return 0 }

func (b *backend) Change(_ context.Context, c catalog.Change) (catalog.Result, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sends++
	res := b.machine.Apply(c)
	if b.lose > 0 {
		b.lose--
		return catalog.Result{}, errors.New("the leader was lost")
	}
	return res, nil
}

func (b *backend) Announce(context.Context, wire.Announce) (wire.AnnounceReply, error) {
	return wire.AnnounceReply{OK: true}, nil
}

func (b *backend) Admin(_ context.Context, req wire.AdminRequest) (wire.AdminReply, error) {
	if req.Op == wire.AdminStatus {
		return wire.AdminReply{OK: true, Body: b.status}, nil
	}
	b.asked = append(b.asked, req)
	return wire.AdminReply{OK: true, Message: "done"}, nil
}

type fixture struct {
	*backend
	server *httptest.Server
}

func newFixture(t *testing.T, tokens *admin.Tokens) fixture {
	b := &backend{machine: catalog.NewMachine()}
	s := admin.New(admin.Config{Host: "h", Backend: b, Ready: func() error { return nil }, Tokens: tokens, Logger: log.NewNopLogger()})
	f := fixture{b, httptest.NewServer(s.Handler())}
	t.Cleanup(f.server.Close)
	return f
}

func (f fixture) run(in string, args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	args = append(args, "-servers", f.server.URL)
	code = Run(context.Background(), args, strings.NewReader(in), &o, &e)
	return code, o.String(), e.String()
}

const teams = `{
  // comments are allowed
  "teams": {"desk": {"labels": {"job": "desk"}}},
  "services": {"visits": {"databases": 3, "slots": 2, "connections": 16}},
  "policies": {"default": {"reads": "max_age", "max_age": "5s"}},
}`

// Guards against a resend that is applied twice or reported as a conflict with itself.
func TestApplyResendsAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	f.lose = 2
	code, out, errs := f.run(teams, "apply", "-f", "-")
	is.Equal(errs, "")
	is.Equal(code, ExitOK)
	is.Equal(out, "accepted, revision 1\n")
	is.Equal(f.sends, 3)
	is.Equal(f.machine.Catalog().Revision, uint64(1))
}

// Guards against a change that is sent although the file says what is already in force.
func TestApplyIsDeclarative(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	code, _, _ := f.run(teams, "apply", "-f", "-")
	is.Equal(code, ExitOK)
	code, out, _ := f.run(teams, "diff", "-f", "-")
	is.Equal(code, ExitOK)
	is.Equal(out, "")
	code, _, _ = f.run(teams, "apply", "-f", "-")
	is.Equal(code, ExitOK)
	is.Equal(f.sends, 1)
}

// Guards against exit codes that scripts can't tell apart.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	code, _, _ := f.run(teams, "apply", "-f", "-")
	is.Equal(code, ExitOK)
	code, _, errs := f.run(`{"teams": {"clinic": {}}}`, "apply", "-f", "-", "-base", "7")
	is.Equal(code, ExitConflict)
	is.True(strings.Contains(errs, "the current one is 1"))
	code, _, errs = f.run(`{"teams": {"Not A Name": {}}}`, "apply", "-f", "-")
	is.Equal(code, ExitInvalid)
	is.True(strings.Contains(errs, "ops[0].put_team.name"))
	code, _, _ = f.run("", "apply")
	is.Equal(code, ExitUsage)
	code, _, errs = f.run(`{"team": {}}`, "apply", "-f", "-")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(errs, "unknown field"))
	f.server.Close()
	code, _, _ = f.run("", "get")
	is.Equal(code, ExitUnknown)
}

// Guards against a key that shows up anywhere but in the output of its grant.
func TestGrantedKeyIsShownOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	code, _, _ := f.run(teams, "apply", "-f", "-")
	is.Equal(code, ExitOK)
	code, out, errs := f.run("", "key", "grant", "desk", "phone-1")
	is.Equal(code, ExitOK)
	is.Equal(errs, "")
	secret := strings.TrimSpace(strings.Split(out, "\n")[1])
	is.True(len(secret) >= 16)
	for _, args := range [][]string{{"get"}, {"dump"}, {"key", "list", "desk"}} {
		_, out, _ := f.run("", args...)
		is.True(!strings.Contains(out, secret))
	}
	encoded, err := f.machine.Encode()
	is.NoErr(err)
	is.True(!bytes.Contains(encoded, []byte(secret)))
	code, _, _ = f.run("", "key", "withdraw", "desk", "phone-1")
	is.Equal(code, ExitOK)
	is.True(!f.Catalog().KeyValid("desk", "phone-1"))
}

// Guards against administration without a token, and against a token given as another operator's.
func TestTokens(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "operators.txt")
	is.NoErr(os.WriteFile(file, []byte("# operators\nada 0123456789abcdef\n"), 0o600))
	tokens, err := admin.LoadTokens(file)
	is.NoErr(err)
	f := newFixture(t, tokens)
	code, _, errs := f.run("", "get")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(errs, "operator token"))
	good := filepath.Join(dir, "token")
	is.NoErr(os.WriteFile(good, []byte("0123456789abcdef\n"), 0o600))
	code, _, _ = f.run("", "get", "-token-file", good)
	is.Equal(code, ExitOK)
	resp, err := http.Get(f.server.URL + "/healthz")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK) // the platform's health checks carry no token
}

// Guards against requests that reach the leader with the wrong operation or object.
func TestAdminRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	for _, args := range [][]string{
		{"promote", "visits", "db-2"}, {"drain", "entry-3"}, {"forget", "visits", "db-3"},
		{"members", "add", "4", "127.0.0.1:7432"}, {"members", "remove", "2"},
	} {
		code, _, errs := f.run("", args...)
		is.Equal(errs, "")
		is.Equal(code, ExitOK)
	}
	is.Equal(f.asked, []wire.AdminRequest{
		{Op: wire.AdminPromote, Service: "visits", Target: "db-2"},
		{Op: wire.AdminDrain, Host: "entry-3"},
		{Op: wire.AdminForget, Service: "visits", Target: "db-3"},
		{Op: wire.AdminMemberAdd, Member: 4, Addr: "127.0.0.1:7432"},
		{Op: wire.AdminMemberRemove, Member: 2},
	})
}

// Guards against certificate files that the daemons can't load.
func TestCerts(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	dir := t.TempDir()
	code, _, errs := f.run("", "certs", "authority", "-dir", dir)
	is.Equal(errs, "")
	is.Equal(code, ExitOK)
	code, _, _ = f.run("", "certs", "host", "entry-1", "127.0.0.1", "-dir", dir)
	is.Equal(code, ExitOK)
	code, _, _ = f.run("", "certs", "host", "entry-2", "localhost", "-dir", dir)
	is.Equal(code, ExitUsage)
	_, err := os.Stat(filepath.Join(dir, "entry-1.crt"))
	is.NoErr(err)
}

// Guards against example catalogs that are refused.
func TestExampleCatalogs(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/catalog.jsonc")
	if err != nil || len(files) != 2 {
		t.Fatalf("found %v, %v", files, err)
	}
	for _, file := range files {
		is := is.New(t)
		f := newFixture(t, nil)
		code, _, errs := f.run("", "apply", "-f", file)
		is.Equal(errs, "")
		is.Equal(code, ExitOK)
		is.Equal(len(f.machine.Catalog().Teams), 8)
		is.Equal(len(f.machine.Catalog().Services), 3)
	}
}

// Guards against a status that an operator can't read at a glance, and against one that scripts can't.
func TestStatusOutput(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	f.status = []byte(`{"leader": "c1", "consensus_term": 3, "catalog_revision": 7,
		"hosts": {"e1": {"place": "p", "addr": "127.0.0.1:1", "entry": true, "services": 1}},
		"services": {"visits": {"owner": "e1", "epoch": 2, "term": 4, "primary": "db-1", "phase": "steady",
			"targets": {"db-1": {"received": {"term": 4, "offset": 9}, "applied": {"term": 4, "offset": 8}}}}}}`)
	code, out, errs := f.run("", "status")
	is.Equal(errs, "")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "leader c1, consensus term 3, configuration revision 7"))
	is.True(strings.Contains(out, "db-1 4/9 (applied 4/8)"))
	code, out, _ = f.run("", "status", "-json")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, `"catalog_revision": 7`))
}
