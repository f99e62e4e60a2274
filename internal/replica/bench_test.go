package replica

import (
	"context"
	"testing"
	"time"
)

// BenchmarkConfirm measures confirmed reads by concurrent callers, 10 per CPU, at the leader of a group
// of three members.
func BenchmarkConfirm(b *testing.B) {
	h := newHub()
	cfg := Config{Initial: []string{"a", "b", "c"}, Bootstrap: true}
	for _, addr := range cfg.Initial {
		c := cfg
		c.Dir, c.Addr = b.TempDir(), addr
		r, err := Open(c, &counter{}, peer{h, addr})
		if err != nil {
			b.Fatal(err)
		}
		defer r.Close()
		h.mu.Lock()
		h.replicas[addr] = r
		h.mu.Unlock()
	}
	for h.leader() == nil || voters(h.leader()) < 3 {
		time.Sleep(tickInterval) // the replicas run on their own tickers
	}
	leader := h.leader()
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
