package cluster

import (
	"bufio"
	"bytes"
	"context"
	"strconv"
	"strings"
)

// readCounts are counters of one process.
type readCounts struct {
	replica, primary float64
}

// reads adds up the counters of all processes, also of those that ended.
type readTotals struct {
	last  map[string]readCounts // by host
	total readCounts
}

// note adds the growth of a host's counters. Lower counters than before are those of a new process.
func (r *readTotals) add(host string, now readCounts) {
	if now == (readCounts{}) {
		return
	}
	before := r.last[host]
	if now.replica < before.replica || now.primary < before.primary {
		before = readCounts{}
	}
	r.total.replica += now.replica - before.replica
	r.total.primary += now.primary - before.primary
	r.last[host] = now
}

// Reads returns how many reads replicas and primaries have served, as counted by the owners. It
// reads the counters once more.
func (c *Cluster) ReadCounts(ctx context.Context) (replica, primary float64) {
	c.poll(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads.total.replica, c.reads.total.primary
}

func fetchReads(ctx context.Context, h *Host) readCounts {
	body, err := fetch(ctx, "http://"+h.AdminAddr+"/metrics")
	if err != nil {
		return readCounts{}
	}
	var out readCounts
	scanner := bufio.NewScanner(bytes.NewReader(body))
	for scanner.Scan() {
		name, value, ok := strings.Cut(scanner.Text(), " ")
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case `citron_owner_reads_total{at="replica"}`:
			out.replica = v
		case `citron_owner_reads_total{at="primary"}`:
			out.primary = v
		}
	}
	return out
}
