package entry

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/auth"
	"github.com/citronrun/citronrun/internal/catalog"
)

// fixture is a running Server with a fakeCluster. The team "red" has two keys, whose ids are "one" and
// "two".
type fixture struct {
	*is.I
	t        testing.TB
	cluster  *fakeCluster
	srv      *Server
	addr     string
	key1     string
	key2     string
	serveErr chan error // receives the result of Serve
}

// startEntry starts a Server on a loopback port. If configure is not nil, it may change the settings.
func startEntry(t testing.TB, configure func(*Config)) *fixture {
	t.Helper()
	fx := &fixture{I: is.New(t.(is.T)), t: t, key1: auth.NewKey(), key2: auth.NewKey(), serveErr: make(chan error, 1)}
	team := catalog.Team{Salt: auth.NewSalt(), Iterations: auth.DefaultIterations, Keys: map[string]catalog.Key{}}
	for id, secret := range map[string]string{"one": fx.key1, "two": fx.key2} {
		k, err := auth.Verifier(secret, team.Salt, team.Iterations)
		fx.NoErr(err)
		team.Keys[id] = k
	}
	fx.cluster = &fakeCluster{snap: fakeSnapshot{team: team}, rateTokens: -1, waitStarted: make(chan struct{}, 100), endWait: make(chan struct{}, 100)}
	cfg := Config{Transactor: fx.cluster, Directory: fx.cluster, Canceler: fx.cluster, Place: "here"}
	if configure != nil {
		configure(&cfg)
	}
	var err error
	fx.srv, err = New(cfg)
	fx.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	fx.NoErr(err)
	fx.addr = l.Addr().String()
	go func() { fx.serveErr <- fx.srv.Serve(l) }()
	t.Cleanup(func() {
		ctx, stop := context.WithCancel(context.Background())
		stop()
		_ = fx.srv.Shutdown(ctx)
	})
	return fx
}

func (fx *fixture) url(key, extra string) string {
	return "postgres://red:" + key + "@" + fx.addr + "/awnings?sslmode=disable" + extra
}

func (fx *fixture) connect() *pgx.Conn {
	fx.t.Helper()
	conn, err := pgx.Connect(context.Background(), fx.url(fx.key1, ""))
	fx.NoErr(err)
	fx.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// withdrawKey marks a key as withdrawn in a new snapshot.
func (fc *fakeCluster) withdrawKey(id string) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	keys := map[string]catalog.Key{}
	for k, v := range fc.snap.team.Keys {
		v.Withdrawn = v.Withdrawn || k == id
		keys[k] = v
	}
	fc.snap.team.Keys = keys
}

// testCertificate returns a self-signed certificate for entry.test.
func testCertificate(t testing.TB) (tls.Certificate, *x509.CertPool) {
	is := is.New(t.(is.T))
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"entry.test"}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	is.NoErr(err)
	leaf, err := x509.ParseCertificate(der)
	is.NoErr(err)
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}
