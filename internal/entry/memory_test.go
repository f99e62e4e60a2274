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

// connectBare connects without a driver and without a key, so that the caller's side uses little
// memory.
func connectBare(b *testing.B, addr string) net.Conn {
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
	readToReady(b, nc)
	return nc
}

// readToReady reads up to a ReadyForQuery without a buffer.
func readToReady(b *testing.B, nc net.Conn) {
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

func memoryInUseBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkIdleConnections measures the heap and stack memory per connection that is idle after one
// request, including the caller's side of the socket, which is in the same process.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 9500 // two file descriptors each, below a limit of 20,000
	for b.Loop() {
		fx := startEntry(b, nil)
		fx.cluster.snap.open = true
		before := memoryInUseBytes()
		conns := make([]net.Conn, 0, connections)
		for range connections {
			nc := connectBare(b, fx.addr)
			_, err := nc.Write(pgwire.Append(nil, pgwire.Query, []byte("select 1\x00")))
			fx.NoErr(err)
			readToReady(b, nc)
			conns = append(conns, nc)
		}
		b.ReportMetric(float64(memoryInUseBytes()-before)/connections, "B/conn")
		for _, nc := range conns {
			_ = nc.Close()
		}
		ctx, stop := context.WithCancel(background)
		stop()
		_ = fx.srv.Shutdown(ctx)
	}
}

// BenchmarkRelayRows reports the allocations and the time per row of a large result, in the entry server,
// the fake cluster and the caller's side together.
func BenchmarkRelayRows(b *testing.B) {
	const rows = 200000
	fx := startEntry(b, nil)
	fx.cluster.snap.open = true
	nc := connectBare(b, fx.addr)
	defer nc.Close()
	query := pgwire.Append(nil, pgwire.Query, []byte("select canned 200000\x00"))
	rd := pgwire.NewReader(nc, pgwire.MaxFrameBytes)
	var before, after runtime.MemStats
	iterations := 0
	runtime.ReadMemStats(&before)
	for b.Loop() {
		iterations++
		_, err := nc.Write(query)
		fx.NoErr(err)
		for f, err := rd.Next(); ; f, err = rd.Next() {
			fx.NoErr(err)
			if f.Type() == pgwire.ReadyForQuery {
				break
			}
		}
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(iterations)/rows, "allocs/row")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(iterations)/rows, "ns/row")
}

// BenchmarkPointRead measures one prepared read through an unmodified driver.
func BenchmarkPointRead(b *testing.B) {
	fx := startEntry(b, nil)
	conn, err := pgx.Connect(background, fx.url(fx.key1, ""))
	fx.NoErr(err)
	defer conn.Close(background)
	var s string
	b.ReportAllocs()
	for b.Loop() {
		if err := conn.QueryRow(background, "select a $1", "x").Scan(&s); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against panics and leaked connections on arbitrary input.
func FuzzCallerInput(f *testing.F) {
	params := "user\x00open\x00database\x00awnings\x00\x00"
	msg := binary.BigEndian.AppendUint32(nil, uint32(8+len(params)))
	msg = append(binary.BigEndian.AppendUint32(msg, protocolMajor<<16), params...)
	f.Add(msg)
	f.Add(pgwire.Append(msg, pgwire.Query, []byte("select 1\x00")))
	extended := pgwire.Append(msg, pgwire.Parse, []byte("a\x00select 1\x00\x00\x00"))
	extended = pgwire.Append(extended, pgwire.Bind, []byte("\x00a\x00\x00\x00\x00\x00\x00\x00"))
	extended = pgwire.Append(extended, pgwire.Execute, []byte("\x00\x00\x00\x00\x00"))
	f.Add(pgwire.Append(extended, pgwire.Sync, nil))
	f.Add([]byte(strings.Repeat("\x00\x00\x00\x08\x04\xd2\x16\x2f", 4)))
	cluster := &fakeCluster{snap: fakeSnapshot{open: true}, rateTokens: -1, waitStarted: make(chan struct{}, 1), endWait: make(chan struct{})}
	close(cluster.endWait)
	f.Fuzz(func(t *testing.T, in []byte) {
		srv, err := New(Config{Transactor: cluster, Directory: cluster, MaxFrameBytes: 1 << 16})
		if err != nil {
			t.Fatal(err)
		}
		callerEnd, serverEnd := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, callerEnd) }()
		go func() {
			_, _ = callerEnd.Write(in)
			_ = callerEnd.Close()
		}()
		srv.accept(serverEnd)
		srv.wg.Wait()
		if n := srv.connectionCount(); n != 0 {
			t.Fatalf("%d connections are still registered, expected 0", n)
		}
	})
}
