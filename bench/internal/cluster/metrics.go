package cluster

import (
	"bufio"
	"bytes"
	"context"
	"strconv"
	"strings"
)

// readCounts holds the read counters of one process.
type readCounts struct {
	replica, primary float64
}

// readTotals sums the read counters of all processes, including those that have exited.
type readTotals struct {
	lastByHost map[string]readCounts // by host
	total      readCounts
}

// add adds the increase of a host's counters since the previous call. Counters that decreased belong
// to a new process and count from 0.
func (r *readTotals) add(host string, now readCounts) {
	if now == (readCounts{}) {
		return
	}
	before := r.lastByHost[host]
	if now.replica < before.replica || now.primary < before.primary {
		before = readCounts{}
	}
	r.total.replica += now.replica - before.replica
	r.total.primary += now.primary - before.primary
	r.lastByHost[host] = now
}

// ReadCounts polls the hosts once more and returns how many reads replicas and primaries have served,
// as counted by the owners.
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
		count, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case `citron_owner_reads_total{at="replica"}`:
			out.replica = count
		case `citron_owner_reads_total{at="primary"}`:
			out.primary = count
		}
	}
	return out
}
