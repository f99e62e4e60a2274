package entry

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/pgwire"
)

// bareConnect connects without a driver on an open route, so that the caller's side costs little.
func bareConnect(b *testing.B, addr string) net.Conn {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	params := "user\x00" + catalog.OpenTeam + "\x00database\x00awnings\x00\x00"
	msg := binary.BigEndian.AppendUint32(nil, uint32(8+len(params)))
	msg = binary.BigEndian.AppendUint32(msg, protocolMajor<<16)
	if _, err := nc.Write(append(msg, params...)); err != nil {
		b.Fatal(err)
	}
	awaitReadyFrame(b, nc)
	return nc
}

// awaitReadyFrame reads up to a ReadyForQuery without a buffer.
func awaitReadyFrame(b *testing.B, nc net.Conn) {
	var head [pgwire.HeaderBytes]byte
	for head[0] != pgwire.ReadyForQuery {
		if _, err := io.ReadFull(nc, head[:]); err != nil {
			b.Fatal(err)
		}
		if _, err := io.CopyN(io.Discard, nc, int64(binary.BigEndian.Uint32(head[1:]))-4); err != nil {
			b.Fatal(err)
		}
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkIdleConnections measures heap and stacks of connections that are idle after one request,
// including the caller's side of the sockets, which is in the same process.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 9500 // two descriptors each, under a limit of 20,000
	for b.Loop() {
		fx := start(b, nil)
		fx.owner.snap.open = true
		before := memoryInUse()
		conns := make([]net.Conn, 0, connections)
		for range connections {
			nc := bareConnect(b, fx.addr)
			_, err := nc.Write(pgwire.Append(nil, pgwire.Query, []byte("select 1\x00")))
			fx.NoErr(err)
			awaitReadyFrame(b, nc)
			conns = append(conns, nc)
		}
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/conn")
		for _, nc := range conns {
			_ = nc.Close()
		}
		ctx, stop := context.WithCancel(bg)
		stop()
		_ = fx.srv.Shutdown(ctx)
	}
}

// BenchmarkRelayRows reports the allocations per row of a large result: entry, fake target and the
// reading side together.
func BenchmarkRelayRows(b *testing.B) {
	const rows = 200000
	fx := start(b, nil)
	fx.owner.snap.open = true
	nc := bareConnect(b, fx.addr)
	defer nc.Close()
	query := pgwire.Append(nil, pgwire.Query, []byte("select canned 200000\x00"))
	rd := pgwire.NewReader(nc, pgwire.MaxFrameBytes)
	var m0, m1 runtime.MemStats
	n := 0
	runtime.ReadMemStats(&m0)
	for b.Loop() {
		n++
		_, err := nc.Write(query)
		fx.NoErr(err)
		for f, err := rd.Next(); ; f, err = rd.Next() {
			fx.NoErr(err)
			if f.Type() == pgwire.ReadyForQuery {
				break
			}
		}
	}
	runtime.ReadMemStats(&m1)
	b.ReportMetric(float64(m1.Mallocs-m0.Mallocs)/float64(n)/rows, "allocs/row")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n)/rows, "ns/row")
}

// BenchmarkPointRead measures one prepared read through an unmodified driver.
func BenchmarkPointRead(b *testing.B) {
	fx := start(b, nil)
	conn, err := pgx.Connect(bg, fx.url(fx.key, ""))
	fx.NoErr(err)
	defer conn.Close(bg)
	var s string
	b.ReportAllocs()
	for b.Loop() {
		if err := conn.QueryRow(bg, "select a $1", "x").Scan(&s); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against startup and frame handling that panics on any input.
func FuzzCallerInput(f *testing.F) {
	params := "user\x00open\x00database\x00awnings\x00\x00"
	msg := binary.BigEndian.AppendUint32(nil, uint32(8+len(params)))
	msg = append(binary.BigEndian.AppendUint32(msg, protocolMajor<<16), params...)
	f.Add(msg)
	f.Add(pgwire.Append(msg, pgwire.Query, []byte("select 1\x00")))
	ext := pgwire.Append(msg, pgwire.Parse, []byte("a\x00select 1\x00\x00\x00"))
	ext = pgwire.Append(ext, pgwire.Bind, []byte("\x00a\x00\x00\x00\x00\x00\x00\x00"))
	ext = pgwire.Append(ext, pgwire.Execute, []byte("\x00\x00\x00\x00\x00"))
	f.Add(pgwire.Append(ext, pgwire.Sync, nil))
	f.Add([]byte(strings.Repeat("\x00\x00\x00\x08\x04\xd2\x16\x2f", 4)))
	owner := &fakeOwner{snap: fakeSnapshot{open: true}, tokens: -1, waiting: make(chan struct{}, 1), release: make(chan struct{})}
	close(owner.release)
	f.Fuzz(func(t *testing.T, in []byte) {
		srv, err := New(Config{Transactor: owner, Directory: owner, MaxFrameBytes: 1 << 16})
		if err != nil {
			t.Fatal(err)
		}
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		go func() {
			_, _ = near.Write(in)
			_ = near.Close()
		}()
		srv.accept(far)
		srv.wg.Wait()
		if n := srv.connections(); n != 0 {
			t.Fatalf("%d connections are left", n)
		}
	})
}
