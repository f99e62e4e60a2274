package daemon

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/citronrun/citronrun/internal/auth"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/crowdtest"
	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/standin"
	"github.com/citronrun/citronrun/internal/wire"
)

// Limits of the process in the settings of the test, which are its bounds.
const (
	crowdMemoryMb    = 96
	crowdDescriptors = 400
	crowdConnections = 200
	crowdTime        = 1500 * time.Millisecond
	crowdFrameBytes  = 1 << 20
)

// crowdHost is a host with both roles in a process of its own.
type crowdHost struct {
	t                     *testing.T
	process               *crowdtest.Process
	callerAddr, adminAddr string
	url                   string // of an ordinary caller
}

func startCrowdHost(t *testing.T) *crowdHost {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), 1+rand.IntN(250))
	port := func() string {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Addr().String()
	}
	h := &crowdHost{t: t, callerAddr: port(), adminAddr: port()}
	peers := port()
	settings := map[string]any{
		"host": "both", "place": "x", "roles": []string{"entry", "control"}, "control": []string{peers}, "bootstrap": true, "data_dir": t.TempDir(),
		"listen":   map[string]any{"callers": h.callerAddr, "peers": peers, "admin": h.adminAddr},
		"peer_tls": map[string]any{"self_signed": true}, "limits": crowdLimits,
	}
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	h.process = crowdtest.Start(t, nil, []string{crowdtest.Build(t), "-config", file}, []string{h.callerAddr, h.adminAddr})
	h.configure()
	group, err := standin.StartGroup(standin.GroupConfig{Targets: 2, Config: standin.Config{Target: "svc-", Database: "svc", Slots: 4, MaxConns: 16}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	for _, s := range group.Servers {
		a := standin.NewAnnouncer(wire.Announce{Target: s.Target(), Service: "svc", Addr: s.Addr(), Place: "x"}, "http://"+h.adminAddr+"/v1/announce")
		t.Cleanup(a.Close)
	}
	h.awaitStart("an ordinary request", h.request)
	return h
}

// configure puts the catalog: one service, one team with a key.
func (h *crowdHost) configure() {
	h.t.Helper()
	key := auth.NewKey()
	h.url = fmt.Sprintf("postgres://clerks:%s@%s/svc?sslmode=disable", key, h.callerAddr)
	ops := []catalog.Op{{PutTeam: &catalog.PutTeam{Name: "clerks"}}, {GrantKey: &catalog.GrantKey{Team: "clerks", ID: "crowd", Secret: key}}}
	ops = append(ops, catalog.Op{PutService: &catalog.PutService{Name: "svc", Service: catalog.Service{Databases: 2, Slots: 4, Connections: 16}}},
		putPolicy("rates", catalog.Policy{Rate: 100000, Burst: 100000}))
	body, err := json.Marshal(catalog.Change{ID: "crowd", Operator: "crowd", Ops: ops})
	if err != nil {
		h.t.Fatal(err)
	}
	h.awaitStart("the change of the catalog", func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.adminAddr+"/v1/changes", bytes.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			text, _ := io.ReadAll(resp.Body)
			return fmt.Errorf("status %d: %s", resp.StatusCode, text)
		}
		return nil
	})
}

// await repeats attempts until one succeeds.
func (h *crowdHost) await(what string, attempt func(ctx context.Context) error) {
	h.t.Helper()
	var err error
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err = attempt(ctx)
		cancel()
		if err == nil {
			return
		}
	}
	h.t.Fatalf("%s: %v", what, err)
}

// awaitStart repeats attempts until one succeeds, before a crowd begins.
func (h *crowdHost) awaitStart(what string, attempt func(ctx context.Context) error) {
	h.t.Helper()
	h.process.AwaitStart(what, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return attempt(ctx) == nil
	})
}

// request sends an ordinary request.
func (h *crowdHost) request(ctx context.Context) error { return connectAndQuery(ctx, h.url) }

func (h *crowdHost) awaitRequest() {
	h.t.Helper()
	h.await("an ordinary request", h.request)
}

// session makes a connection of a crowd that of an authenticated caller.
func (h *crowdHost) session(behave func(conn net.Conn)) func(conn net.Conn) {
	return func(conn net.Conn) {
		conf, err := pgconn.ParseConfig(h.url)
		if err != nil {
			return
		}
		conf.DialFunc = func(context.Context, string, string) (net.Conn, error) { return conn, nil }
		ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
		defer cancel()
		if _, err := pgconn.ConnectConfig(ctx, conf); err == nil {
			behave(conn)
		}
	}
}

// insert returns a Query message of the given size.
func insert(size int) []byte {
	const head, tail = "INSERT INTO booking (id, visitor, status) VALUES ('x', '", "', 'new') ON CONFLICT DO NOTHING\x00"
	body := append([]byte(head), bytes.Repeat([]byte{'x'}, size-pgwire.HeaderBytes-len(head)-len(tail))...)
	return pgwire.Append(nil, pgwire.Query, append(body, tail...))
}

// Guards against clients that make a host use more memory or descriptors than it has, or that keep it from serving
// ordinary callers.
func TestPgCrowdWhole(t *testing.T) {
	testCrowd(t, func(h *crowdHost, crowd *crowdtest.Crowd) { // large messages, each answered before the next
		crowd.Add(48, h.callerAddr, h.session(func(conn net.Conn) {
			reader, data := pgwire.NewReader(conn, pgwire.MaxFrameBytes), insert(crowdFrameBytes)
			for {
				if _, err := conn.Write(data); err != nil {
					return
				}
				for {
					f, err := reader.Next()
					if err != nil {
						return
					}
					if f.Type() == pgwire.ReadyForQuery {
						break
					}
				}
			}
		}))
	})
}

func TestPgCrowdPieces(t *testing.T) {
	testCrowd(t, func(h *crowdHost, crowd *crowdtest.Crowd) { // large messages in small pieces
		crowd.Add(64, h.callerAddr, h.session(func(conn net.Conn) {
			crowdtest.Pieces(conn, insert(crowdFrameBytes), 2<<10, time.Millisecond)
		}))
	})
}

func TestPgCrowdOversize(t *testing.T) {
	testCrowd(t, func(h *crowdHost, crowd *crowdtest.Crowd) { // messages over the limit, and many just below it
		header := func(size int) []byte { return binary.BigEndian.AppendUint32([]byte{pgwire.Query}, uint32(size-1)) }
		data := bytes.Repeat([]byte{'x'}, crowdFrameBytes)
		crowd.Add(32, h.callerAddr, h.session(func(conn net.Conn) { crowdtest.Repeat(1, header(64<<20))(conn); crowdtest.Repeat(8, data)(conn) }))
		crowd.Add(32, h.callerAddr, h.session(func(conn net.Conn) { crowdtest.Repeat(1, header(16<<20))(conn); crowdtest.Repeat(8, data)(conn) }))
		crowd.Add(64, h.callerAddr, crowdtest.Repeat(8, data)) // as the startup message
	})
}

func TestPgCrowdAhead(t *testing.T) {
	testCrowd(t, func(h *crowdHost, crowd *crowdtest.Crowd) { // statements sent ahead, whose answers are not read
		crowd.Add(32, h.callerAddr, h.session(crowdtest.Repeat(40, insert(900<<10))))
		crowd.Add(32, h.callerAddr, h.session(crowdtest.Repeat(400, insert(50<<10))))
		// Statements of one batch, whose responses are due only after its end.
		crowd.Add(32, h.callerAddr, h.session(crowdtest.Repeat(400, pgwire.Append(nil, pgwire.Parse, append([]byte("\x00SELECT '"), append(bytes.Repeat([]byte{'x'}, 50<<10), "'\x00\x00\x00"...)...)))))
	})
}

func TestPgCrowdUnread(t *testing.T) {
	testCrowd(t, func(h *crowdHost, crowd *crowdtest.Crowd) { // large results that are not read, or very slowly
		h.await("the insert", func(ctx context.Context) error {
			conn, err := pgconn.Connect(ctx, h.url)
			if err != nil {
				return err
			}
			defer conn.Close(ctx)
			_, err = conn.Exec(ctx, "INSERT INTO booking (id, visitor, status) VALUES ('large', '"+strings.Repeat("x", 900<<10)+"', 'new') ON CONFLICT DO NOTHING").ReadAll()
			return err
		})
		read := pgwire.Append(nil, pgwire.Query, []byte("SELECT visitor FROM booking\x00"))
		crowd.Add(32, h.callerAddr, h.session(crowdtest.Repeat(200, read)))
		crowd.Add(32, h.callerAddr, h.session(func(conn net.Conn) {
			crowdtest.Repeat(200, read)(conn)
			for {
				if _, err := conn.Read(make([]byte, 1)); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}))
	})
}

func TestPgCrowdHalfway(t *testing.T) {
	testCrowd(t, func(h *crowdHost, crowd *crowdtest.Crowd) { // stop in the startup message, in a message, in a block
		half := insert(crowdFrameBytes)[:crowdFrameBytes/2]
		crowd.Add(48, h.callerAddr, crowdtest.Repeat(1, []byte{0, 0, 32, 0, 0, 3, 0, 0, 'u', 's', 'e', 'r'}))
		crowd.Add(64, h.callerAddr, h.session(crowdtest.Repeat(1, half)))
		crowd.Add(16, h.callerAddr, h.session(crowdtest.Repeat(1, append(pgwire.Append(nil, pgwire.Query, []byte("BEGIN\x00")), half...))))
	})
}

func TestPgCrowdOpen(t *testing.T) {
	testCrowd(t, func(h *crowdHost, crowd *crowdtest.Crowd) { // many connections: idle ones, and those that send very slowly
		crowd.Add(200, h.callerAddr, func(net.Conn) {})
		crowd.Add(200, h.callerAddr, h.session(func(net.Conn) {}))
		crowd.Add(200, h.callerAddr, func(conn net.Conn) {
			crowdtest.Pieces(conn, bytes.Repeat([]byte{0}, 100), 1, 50*time.Millisecond)
		})
	})
}

func TestPgCrowdAdmin(t *testing.T) {
	testCrowd(t, func(h *crowdHost, crowd *crowdtest.Crowd) { // requests at the administration API
		body := bytes.Repeat([]byte{' '}, 1<<20)
		post := func(path string, size int) []byte {
			return fmt.Appendf(nil, "POST /v1/%s HTTP/1.1\r\nHost: host\r\nContent-Length: %d\r\n\r\n", path, size)
		}
		crowd.Add(64, h.adminAddr, crowdtest.Repeat(1, append(post("changes", len(body)), body[1:]...)))
		crowd.Add(16, h.adminAddr, crowdtest.Repeat(8, append(post("changes", 8*len(body)), body...)))
		crowd.Add(64, h.adminAddr, crowdtest.Repeat(1, append(post("announce", len(body)), body[1:]...)))
		crowd.Add(64, h.adminAddr, crowdtest.Repeat(2000, []byte("GET /metrics HTTP/1.1\r\nHost: host\r\n\r\n")))
		crowd.Add(100, h.adminAddr, func(conn net.Conn) {
			crowdtest.Pieces(conn, append([]byte("GET /readyz HTTP/1.1\r\nHost: host\r\n"), bytes.Repeat([]byte("X-Header: "+strings.Repeat("x", 1000)+"\r\n"), 900)...), 10000, 0)
		})
		crowd.Add(200, h.adminAddr, func(net.Conn) {})
	})
}

func testCrowd(t *testing.T, add func(h *crowdHost, crowd *crowdtest.Crowd)) {
	h := startCrowdHost(t)
	crowd := crowdtest.NewCrowd(crowdTime)
	add(h, crowd)
	crowd.Wait()
	h.process.Check(crowdMemoryMb<<20, crowdDescriptors)
	h.awaitRequest()
	h.await("the administration API", func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.adminAddr+"/readyz", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
}

// crowdLimits is the section "limits" of the settings.
var crowdLimits = map[string]any{"connections": crowdConnections, "memory_mb": crowdMemoryMb, "descriptors": crowdDescriptors}
