package entry

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

// connectRaw opens an authenticated connection on which the test exchanges protocol messages itself.
func (fx *fixture) connectRaw() (net.Conn, *pgproto3.Frontend) {
	conn := fx.connect()
	h, err := conn.PgConn().Hijack()
	fx.NoErr(err)
	fx.t.Cleanup(func() { _ = h.Conn.Close() })
	return h.Conn, h.Frontend
}

// receiveTypes reads messages up to and including one of the given type, and returns their types.
func receiveTypes(fx *fixture, frontend *pgproto3.Frontend, last pgproto3.BackendMessage) (out string) {
	fx.t.Helper()
	for {
		m, err := frontend.Receive()
		fx.NoErr(err)
		b, err := m.Encode(nil)
		fx.NoErr(err)
		out += string(b[:1])
		if want, _ := last.Encode(nil); want[0] == b[0] {
			return out
		}
	}
}

func sendAll(fx *fixture, frontend *pgproto3.Frontend, msgs ...pgproto3.FrontendMessage) {
	for _, m := range msgs {
		frontend.Send(m)
	}
	fx.NoErr(frontend.Flush())
}

// Guards against a hang after a COPY in the extended protocol. libpq sends a Sync together with the Execute
// and relies on the target to ignore it: no ReadyForQuery arrives for that Sync.
func TestCopyInExtendedProtocol(t *testing.T) {
	fx := startEntry(t, nil)
	nc, frontend := fx.connectRaw()
	fx.NoErr(nc.SetDeadline(time.Now().Add(20 * time.Second)))
	sendAll(fx, frontend, &pgproto3.Parse{Query: "copy t from stdin"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	fx.Equal(receiveTypes(fx, frontend, &pgproto3.CopyInResponse{}), "12G")
	sendAll(fx, frontend, &pgproto3.CopyData{Data: []byte("abc")}, &pgproto3.CopyDone{}, &pgproto3.Sync{})
	fx.Equal(receiveTypes(fx, frontend, &pgproto3.ReadyForQuery{}), "CZ")
	fx.Equal(fx.cluster.copiedBytes.Load(), int64(3))
	sendAll(fx, frontend, &pgproto3.Query{String: "copy t from stdin"}, &pgproto3.Query{String: "insert x"})
	fx.Equal(receiveTypes(fx, frontend, &pgproto3.ErrorResponse{}), "GE") // a query fails the COPY, which would otherwise keep its slot
}

// Guards against a local error that is sent before the responses to earlier messages, and against a
// batch that isn't sent until its Sync although the caller sent a Flush.
func TestFlushAndLocalErrorKeepOrder(t *testing.T) {
	fx := startEntry(t, nil)
	nc, frontend := fx.connectRaw()
	fx.NoErr(nc.SetDeadline(time.Now().Add(20 * time.Second)))
	sendAll(fx, frontend, &pgproto3.Parse{Name: "a", Query: "select a"}, &pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Flush{})
	fx.Equal(receiveTypes(fx, frontend, &pgproto3.RowDescription{}), "1tT")
	sendAll(fx, frontend, &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{}, &pgproto3.Flush{},
		&pgproto3.Parse{Query: "listen x"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	fx.Equal(receiveTypes(fx, frontend, &pgproto3.ReadyForQuery{}), "2DCEZ")
	// The unnamed statement outlives its Sync; the named one is closed locally.
	sendAll(fx, frontend, &pgproto3.Parse{Query: "select u"}, &pgproto3.Sync{},
		&pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{},
		&pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Sync{})
	fx.Equal(receiveTypes(fx, frontend, &pgproto3.ReadyForQuery{}), "1Z")
	fx.Equal(receiveTypes(fx, frontend, &pgproto3.ReadyForQuery{}), "2DCZ")
	fx.Equal(receiveTypes(fx, frontend, &pgproto3.ReadyForQuery{}), "EZ")
}

// Guards against idle callers that delay a shutdown, and against closing their connections without an
// error.
func TestShutdownClosesIdleCallers(t *testing.T) {
	fx := startEntry(t, nil)
	_, idle := fx.connectRaw()
	busy := fx.connect()
	execErr := make(chan error, 1)
	go func() {
		_, err := busy.Exec(background, "wait")
		execErr <- err
	}()
	<-fx.cluster.waitStarted
	// The owner has begun the transaction before the entry host has its answer, with which the transaction counts.
	for deadline := time.Now().Add(5 * time.Second); fx.srv.State().(State).Transactions == 0; time.Sleep(time.Millisecond) {
		fx.True(time.Now().Before(deadline))
	}
	stopped := make(chan error, 1)
	go func() { stopped <- fx.srv.Shutdown(background) }()
	m, err := idle.Receive()
	fx.NoErr(err)
	fx.Equal(m.(*pgproto3.ErrorResponse).Code, "57P01")
	fx.Equal(fx.srv.State().(State).Transactions, 1)
	fx.cluster.endWait <- struct{}{}
	fx.NoErr(<-execErr) // the running request finished
	fx.NoErr(<-stopped)
}

// Guards against a shutdown that outlasts its context.
func TestShutdownEndsWithContext(t *testing.T) {
	fx := startEntry(t, nil)
	conn := fx.connect()
	_, err := conn.Exec(background, "begin")
	fx.NoErr(err)
	ctx, stop := context.WithCancel(background)
	stop()
	fx.Equal(fx.srv.Shutdown(ctx), context.Canceled)
	_, err = conn.Exec(background, "commit")
	fx.True(err != nil)
}

// Guards against accepting more callers than MaxConnections, which protects the host's memory.
func TestConnectionLimit(t *testing.T) {
	fx := startEntry(t, func(c *Config) { c.MaxConnections = 1 })
	first := fx.connect()
	_, err := pgx.Connect(background, fx.url(fx.key1, ""))
	sqlstate, _ := errorCode(err)
	fx.Equal(sqlstate, "53300")
	fx.NoErr(first.Ping(background))
}

// Guards against a transaction that stays open at the owner after its caller disconnected.
func TestCallerDisconnectsDuringStatement(t *testing.T) {
	fx := startEntry(t, nil)
	fx.cluster.outcomes = make(chan string, 10)
	conn := fx.connect()
	_, err := conn.Exec(background, "begin")
	fx.NoErr(err)
	ctx, stop := context.WithCancel(background)
	go func() {
		<-fx.cluster.waitStarted
		stop()
	}()
	_, err = conn.Exec(ctx, "wait")
	fx.True(err != nil)
	fx.cluster.endWait <- struct{}{}
	fx.Equal(<-fx.cluster.outcomes, "rollback")
}

// Guards against authentication over an unencrypted connection on a host that requires TLS.
func TestRequireTLS(t *testing.T) {
	cert, pool := testCertificate(t)
	fx := startEntry(t, func(c *Config) {
		c.TLS = &tls.Config{Certificates: []tls.Certificate{cert}}
		c.RequireTLS = true
	})
	_, err := pgx.Connect(background, fx.url(fx.key1, ""))
	sqlstate, _ := errorCode(err)
	fx.Equal(sqlstate, "28000")
	cfg, err := pgx.ParseConfig(fx.url(fx.key1, ""))
	fx.NoErr(err)
	cfg.TLSConfig = &tls.Config{RootCAs: pool, ServerName: "entry.test"}
	conn, err := pgx.ConnectConfig(background, cfg)
	fx.NoErr(err)
	var s string
	fx.NoErr(conn.QueryRow(background, "select 1").Scan(&s))
	fx.NoErr(conn.Close(background))
}
