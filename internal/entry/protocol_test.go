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

// raw starts a connection whose messages the test writes itself.
func (fx *fixture) raw() (net.Conn, *pgproto3.Frontend) {
	conn := fx.connect()
	h, err := conn.PgConn().Hijack()
	fx.NoErr(err)
	fx.t.Cleanup(func() { _ = h.Conn.Close() })
	return h.Conn, h.Frontend
}

// types reads messages up to and including one of the given type, and returns their types.
func types(fx *fixture, fe *pgproto3.Frontend, last pgproto3.BackendMessage) (out string) {
	fx.t.Helper()
	for {
		m, err := fe.Receive()
		fx.NoErr(err)
		b, err := m.Encode(nil)
		fx.NoErr(err)
		out += string(b[:1])
		if want, _ := last.Encode(nil); want[0] == b[0] {
			return out
		}
	}
}

func sendAll(fx *fixture, fe *pgproto3.Frontend, msgs ...pgproto3.FrontendMessage) {
	for _, m := range msgs {
		fe.Send(m)
	}
	fx.NoErr(fe.Flush())
}

// Guards against a hang when the Sync behind a COPY by extended protocol is ignored by the target,
// as libpq relies on.
func TestCopyInExtendedProtocol(t *testing.T) {
	fx := start(t, nil)
	nc, fe := fx.raw()
	fx.NoErr(nc.SetDeadline(time.Now().Add(20 * time.Second)))
	sendAll(fx, fe, &pgproto3.Parse{Query: "copy t from stdin"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	fx.Equal(types(fx, fe, &pgproto3.CopyInResponse{}), "12G")
	sendAll(fx, fe, &pgproto3.CopyData{Data: []byte("abc")}, &pgproto3.CopyDone{}, &pgproto3.Sync{})
	fx.Equal(types(fx, fe, &pgproto3.ReadyForQuery{}), "CZ")
	fx.Equal(fx.owner.copied.Load(), int64(3))
	sendAll(fx, fe, &pgproto3.Query{String: "copy t from stdin"}, &pgproto3.Query{String: "insert x"})
	fx.Equal(types(fx, fe, &pgproto3.ErrorResponse{}), "GE") // not a hang that holds a slot
}

// Guards against a local error that overtakes responses of requests sent before it, and against a
// batch that waits for its Sync though the caller asked for a flush.
func TestFlushAndLocalErrorKeepOrder(t *testing.T) {
	fx := start(t, nil)
	nc, fe := fx.raw()
	fx.NoErr(nc.SetDeadline(time.Now().Add(20 * time.Second)))
	sendAll(fx, fe, &pgproto3.Parse{Name: "a", Query: "select a"}, &pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Flush{})
	fx.Equal(types(fx, fe, &pgproto3.RowDescription{}), "1tT")
	sendAll(fx, fe, &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{}, &pgproto3.Flush{},
		&pgproto3.Parse{Query: "listen x"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	fx.Equal(types(fx, fe, &pgproto3.ReadyForQuery{}), "2DCEZ")
	// The unnamed statement outlives its Sync; the named one is closed locally.
	sendAll(fx, fe, &pgproto3.Parse{Query: "select u"}, &pgproto3.Sync{},
		&pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{},
		&pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Sync{})
	fx.Equal(types(fx, fe, &pgproto3.ReadyForQuery{}), "1Z")
	fx.Equal(types(fx, fe, &pgproto3.ReadyForQuery{}), "2DCZ")
	fx.Equal(types(fx, fe, &pgproto3.ReadyForQuery{}), "EZ")
}

// Guards against idle callers that hold up a shutdown, and callers that don't learn why they were
// closed.
func TestShutdownClosesIdleCallers(t *testing.T) {
	fx := start(t, nil)
	_, idle := fx.raw()
	busy := fx.connect()
	got := make(chan error, 1)
	go func() {
		_, err := busy.Exec(bg, "wait")
		got <- err
	}()
	<-fx.owner.waiting
	stopped := make(chan error, 1)
	go func() { stopped <- fx.srv.Shutdown(bg) }()
	m, err := idle.Receive()
	fx.NoErr(err)
	fx.Equal(m.(*pgproto3.ErrorResponse).Code, "57P01")
	fx.Equal(fx.srv.State().(State).Transactions, 1)
	fx.owner.release <- struct{}{}
	fx.NoErr(<-got) // the running request finished
	fx.NoErr(<-stopped)
}

// Guards against a shutdown that outlasts its context.
func TestShutdownEndsWithContext(t *testing.T) {
	fx := start(t, nil)
	conn := fx.connect()
	_, err := conn.Exec(bg, "begin")
	fx.NoErr(err)
	ctx, stop := context.WithCancel(bg)
	stop()
	fx.Equal(fx.srv.Shutdown(ctx), context.Canceled)
	_, err = conn.Exec(bg, "commit")
	fx.True(err != nil)
}

// Guards against more callers than the host has memory for.
func TestConnectionLimit(t *testing.T) {
	fx := start(t, func(c *Config) { c.MaxConnections = 1 })
	first := fx.connect()
	_, err := pgx.Connect(bg, fx.url(fx.key, ""))
	c, _ := code(err)
	fx.Equal(c, "53300")
	fx.NoErr(first.Ping(bg))
}

// Guards against a statement that goes on at the owner after its caller left.
func TestCallerLeavesDuringStatement(t *testing.T) {
	fx := start(t, nil)
	fx.owner.ended = make(chan string, 10)
	conn := fx.connect()
	_, err := conn.Exec(bg, "begin")
	fx.NoErr(err)
	ctx, stop := context.WithCancel(bg)
	go func() {
		<-fx.owner.waiting
		stop()
	}()
	_, err = conn.Exec(ctx, "wait")
	fx.True(err != nil)
	fx.owner.release <- struct{}{}
	fx.Equal(<-fx.owner.ended, "rollback")
}

// Guards against keys in the clear on hosts that require TLS.
func TestRequireTLS(t *testing.T) {
	cert, pool := testCertificate(t)
	fx := start(t, func(c *Config) {
		c.TLS = &tls.Config{Certificates: []tls.Certificate{cert}}
		c.RequireTLS = true
	})
	_, err := pgx.Connect(bg, fx.url(fx.key, ""))
	c, _ := code(err)
	fx.Equal(c, "28000")
	cfg, err := pgx.ParseConfig(fx.url(fx.key, ""))
	fx.NoErr(err)
	cfg.TLSConfig = &tls.Config{RootCAs: pool, ServerName: "entry.test"}
	conn, err := pgx.ConnectConfig(bg, cfg)
	fx.NoErr(err)
	var s string
	fx.NoErr(conn.QueryRow(bg, "select 1").Scan(&s))
	fx.NoErr(conn.Close(bg))
}
