package replica

import (
	"context"
	"testing"
	"time"
)

// BenchmarkConfirm measures read barriers of concurrent callers, 10 per CPU, at the leader of a group of
// three members.
func BenchmarkConfirm(b *testing.B) {
	net := newTestNetwork()
	cfg := Config{Initial: []string{"a", "b", "c"}, Bootstrap: true}
	for _, addr := range cfg.Initial {
		c := cfg
		c.Dir, c.Addr = b.TempDir(), addr
		r, err := Open(c, &counter{}, testPeer{net, addr})
		if err != nil {
			b.Fatal(err)
		}
		defer r.Close()
		net.mu.Lock()
		net.replicas[addr] = r
		net.mu.Unlock()
	}
	for net.leader() == nil || voters(net.leader()) < 3 {
		time.Sleep(tickInterval) // the replicas run on their own tickers
	}
	leader := net.leader()
	b.SetParallelism(10)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := leader.ReadBarrier(context.Background()); err != nil {
				b.Error(err)
			}
		}
	})
}
