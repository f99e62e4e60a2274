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
	"github.com/citronrun/citronrun/internal/gateway"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/wire"
)

// backend is an administration backend that applies changes to a catalog machine. It can drop the
// responses of applied changes.
type backend struct {
	mu              sync.Mutex
	machine         *catalog.Machine
	responsesToDrop int // responses of changes still to be dropped
	changeRequests  int
	adminRequests   []wire.AdminRequest
	statusBody      []byte // response to AdminStatus
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
	b.changeRequests++
	res := b.machine.Apply(c)
	if b.responsesToDrop > 0 {
		b.responsesToDrop--
		return catalog.Result{}, errors.New("response dropped by the test")
	}
	return res, nil
}

func (b *backend) Announce(context.Context, wire.Announce) (wire.AnnounceReply, error) {
	return wire.AnnounceReply{OK: true}, nil
}

func (b *backend) Admin(_ context.Context, req wire.AdminRequest) (wire.AdminReply, error) {
	if req.Op == wire.AdminStatus {
		return wire.AdminReply{OK: true, Body: b.statusBody}, nil
	}
	b.adminRequests = append(b.adminRequests, req)
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
	var stdout, stderr bytes.Buffer
	args = append(args, "-servers", f.server.URL)
	code = Run(context.Background(), args, strings.NewReader(in), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

const configuration = `{
  // comments are allowed
  "teams": {"desk": {"labels": {"job": "desk"}}},
  "services": {"visits": {"databases": 3, "slots": 2, "connections": 16}},
  "policies": {"default": {"reads": "max_age", "max_age": "5s"}},
}`

// Guards against a change that is retried after a lost response, and then applied twice or reported as a
// conflict with itself.
func TestApplyRetriesAfterLostResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	f.responsesToDrop = 2
	code, out, errs := f.run(configuration, "apply", "-f", "-")
	is.Equal(errs, "")
	is.Equal(code, ExitOK)
	is.Equal(out, "accepted, revision 1\n")
	is.Equal(f.changeRequests, 3)
	is.Equal(f.machine.Catalog().Revision, uint64(1))
}

// Guards against a change that is sent although the configuration already equals the file.
func TestApplyIsDeclarative(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	code, _, _ := f.run(configuration, "apply", "-f", "-")
	is.Equal(code, ExitOK)
	code, out, _ := f.run(configuration, "diff", "-f", "-")
	is.Equal(code, ExitOK)
	is.Equal(out, "")
	code, _, _ = f.run(configuration, "apply", "-f", "-")
	is.Equal(code, ExitOK)
	is.Equal(f.changeRequests, 1)
}

// Guards against different failures with the same exit code, which scripts couldn't distinguish.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	code, _, _ := f.run(configuration, "apply", "-f", "-")
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

// Guards against a secret key that appears in other output than that of its grant, or in the stored
// configuration.
func TestGrantedKeyIsShownOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	code, _, _ := f.run(configuration, "apply", "-f", "-")
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

// Guards against administration requests without a valid token, and against health checks that need one.
func TestTokens(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	operatorsFile := filepath.Join(dir, "operators.txt")
	is.NoErr(os.WriteFile(operatorsFile, []byte("# operators\nada 0123456789abcdef\n"), 0o600))
	tokens, err := admin.LoadTokens(operatorsFile)
	is.NoErr(err)
	f := newFixture(t, tokens)
	code, _, errs := f.run("", "get")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(errs, "operator token"))
	tokenFile := filepath.Join(dir, "token")
	is.NoErr(os.WriteFile(tokenFile, []byte("0123456789abcdef\n"), 0o600))
	code, _, _ = f.run("", "get", "-token-file", tokenFile)
	is.Equal(code, ExitOK)
	resp, err := http.Get(f.server.URL + "/healthz")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK) // the platform's health checks carry no token
}

// Guards against commands that request the wrong operation, or name the wrong object in the request.
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
	is.Equal(f.adminRequests, []wire.AdminRequest{
		{Op: wire.AdminPromote, Service: "visits", Target: "db-2"},
		{Op: wire.AdminDrain, Host: "entry-3"},
		{Op: wire.AdminForget, Service: "visits", Target: "db-3"},
		{Op: wire.AdminMemberAdd, Member: 4, Addr: "127.0.0.1:7432"},
		{Op: wire.AdminMemberRemove, Member: 2},
	})
}

// Guards against certs commands that write no certificate file, or accept a host name as an address.
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

// Guards against example catalogs that the API refuses.
func TestExampleCatalogs(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/catalog.jsonc")
	if err != nil || len(files) != 2 {
		t.Fatalf("found example catalogs %v (error %v), want 2", files, err)
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

// Guards against a status whose tables omit the leader or the targets' positions, or whose JSON loses
// fields.
func TestStatusOutput(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	f.statusBody = []byte(`{"leader": "c1", "consensus_term": 3, "catalog_revision": 7,
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

// Guards against an explanation for another operation than the one asked for, and against output without the parts of the
// costs.
func TestExplain(t *testing.T) {
	is := is.New(t)
	var asked gateway.Query
	s := admin.New(admin.Config{Host: "h", Logger: log.NewNopLogger(), Explain: func(q gateway.Query) (gateway.Explanation, error) {
		asked = q
		if q.Place == "y" {
			return gateway.Explanation{}, errors.New("this host is in another place")
		}
		return gateway.Explanation{Target: "db-1", Holder: "e-2", Reason: "late", DeclineAboveMs: 41.5, Targets: []gateway.ExplainedTarget{
			{Target: "db-1", Place: "y", Total: 63, Path: 8.5, Traffic: 54.5}, {Target: "db-2", Place: "x", Unusable: "leaving"},
		}}, nil
	}})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	f := fixture{server: server}
	code, out, errs := f.run("", "explain", "-team", "t", "-kind", "begin_read", "-place", "x", "-floor", "3/14", "orders")
	is.Equal(errs, "")
	is.Equal(code, ExitOK)
	is.Equal(asked, gateway.Query{Database: "orders", Team: "t", Kind: statement.BeginRead, Place: "x", Floor: position.Position{Term: 3, Offset: 14}})
	for _, part := range []string{"would go to db-1 at e-2", `"late"`, "41.5", "63.0", "8.5", "54.5", "leaving"} {
		is.True(strings.Contains(out, part))
	}
	for _, args := range [][]string{{"-place", "y", "orders"}, {"-kind", "commit", "orders"}, {"-floor", "3", "orders"}} {
		code, _, errs = f.run("", append([]string{"explain"}, args...)...)
		is.Equal(code, ExitInvalid)
		is.True(errs != "")
	}
	code, _, _ = f.run("", "explain")
	is.Equal(code, ExitUsage)
	code, _, errs = newFixture(t, nil).run("", "explain", "orders") // a control host
	is.True(code != ExitOK)
	is.True(strings.Contains(errs, "ask an entry host"))
}
