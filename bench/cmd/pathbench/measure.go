package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// dataPath is the path of a statement from a caller to a target.
type dataPath string

const (
	pathDirect    dataPath = "direct"
	pathOwner     dataPath = "owner"      // through the host that owns the service
	pathOtherHost dataPath = "other host" // through the other host and QUIC
)

var dataPaths = []dataPath{pathDirect, pathOwner, pathOtherHost}

const (
	profileSeconds = 5
	rowStatements  = 300 // of each size
)

func (in *installation) urls(path dataPath) []string {
	switch path {
	case pathOwner:
		return []string{in.url(in.owner)}
	case pathOtherHost:
		return []string{in.url(in.other)}
	}
	var urls []string
	for _, addr := range in.targetAddrs[1:] { // only the replicas, since citrond sends these reads to replicas too
		urls = append(urls, targetURL(addr))
	}
	return urls
}

// measureRound runs each phase once.
func measureRound(ctx context.Context, o options, in *installation, r *results) error {
	for _, callers := range o.callers {
		for _, path := range dataPaths {
			if err := measurePhase(ctx, o, in, r, phase{path, callers}); err != nil {
				return fmt.Errorf("phase %s with %d callers: %w", path, callers, err)
			}
		}
	}
	return nil
}

func measurePhase(ctx context.Context, o options, in *installation, r *results, p phase) error {
	callers, err := openCallers(ctx, p.callers, smallRead, in.urls(p.path)...)
	if err != nil {
		return err
	}
	defer closeAll(callers)
	if _, err := runLoad(callers, o.warmUp); err != nil {
		return err
	}
	before, err := in.cpuUsage()
	if err != nil {
		return err
	}
	start := time.Now()
	latencies, err := runLoad(callers, o.duration)
	if err != nil {
		return err
	}
	elapsed := time.Since(start)
	after, err := in.cpuUsage()
	if err != nil {
		return err
	}
	r.add(p, latencies, elapsed, after.minus(before))
	return nil
}

// cpuUsage is the CPU time of the processes other than pathbench itself.
type cpuUsage struct{ owner, other, targets time.Duration }

func (u cpuUsage) minus(v cpuUsage) cpuUsage {
	return cpuUsage{u.owner - v.owner, u.other - v.other, u.targets - v.targets}
}

func (u cpuUsage) plus(v cpuUsage) cpuUsage {
	return cpuUsage{u.owner + v.owner, u.other + v.other, u.targets + v.targets}
}

func (in *installation) cpuUsage() (u cpuUsage, err error) {
	for _, p := range []struct {
		process *process
		to      *time.Duration
	}{{in.owner.process, &u.owner}, {in.other.process, &u.other}, {in.targets, &u.targets}} {
		if *p.to, err = cpuTime(p.process.pid()); err != nil {
			return u, err
		}
	}
	return u, nil
}

// measureRows derives the allocations per statement and per row from those of small and large results.
func measureRows(ctx context.Context, o options, in *installation, r *results) error {
	var counts [2]int64
	for i, sql := range []string{smallRead, largeRead} {
		n, err := countMallocs(ctx, in, sql)
		if err != nil {
			return err
		}
		counts[i] = n
	}
	r.allocsPerStatement = float64(counts[0]) / rowStatements
	r.allocsPerRow = float64(counts[1]-counts[0]) / float64(rowStatements*(o.resultRows-1))
	return nil
}

// countMallocs returns the number of allocations of the owner while one caller runs a statement
// rowStatements times.
func countMallocs(ctx context.Context, in *installation, sql string) (int64, error) {
	c, err := openCaller(ctx, in.url(in.owner), sql)
	if err != nil {
		return 0, err
	}
	defer c.close()
	var before memoryStats
	for round := range 2 { // the first round warms up
		if before, err = memoryOf(in.owner); err != nil {
			return 0, err
		}
		for range rowStatements {
			if err := c.run(); err != nil {
				return 0, fmt.Errorf("round %d: %w", round, err)
			}
		}
	}
	after, err := memoryOf(in.owner)
	return after.mallocs - before.mallocs, err
}

// measureIdle measures the memory of idle callers of the owner, each of which has run one statement.
func measureIdle(ctx context.Context, o options, in *installation, r *results) error {
	if o.idleCallers == 0 {
		return nil
	}
	before, err := memoryOf(in.owner)
	if err != nil {
		return err
	}
	residentBefore, err := residentBytes(in.owner.pid())
	if err != nil {
		return err
	}
	callers, err := openCallers(ctx, o.idleCallers, smallRead, in.url(in.owner))
	if err != nil {
		return err
	}
	defer closeAll(callers)
	for _, c := range callers {
		if err := c.run(); err != nil {
			return err
		}
	}
	if _, err := memoryOf(in.owner); err != nil { // its garbage collection frees memory used by authentication
		return err
	}
	after, err := memoryOf(in.owner)
	if err != nil {
		return err
	}
	residentAfter, err := residentBytes(in.owner.pid())
	if err != nil {
		return err
	}
	r.idleHeapBytes = float64(after.bytes-before.bytes) / float64(o.idleCallers)
	r.idleResidentBytes = float64(residentAfter-residentBefore) / float64(o.idleCallers)
	return nil
}

// saveProfiles writes CPU and allocation profiles of the owner and the other host under load.
func saveProfiles(ctx context.Context, o options, in *installation) error {
	if o.profile == "" {
		return nil
	}
	for _, p := range []struct {
		path dataPath
		host *host
		file string
	}{{pathOwner, in.owner, "owner"}, {pathOtherHost, in.owner, "owner-remote"}, {pathOtherHost, in.other, "other"}} {
		if err := saveProfile(ctx, o, in, p.path, p.host, p.file); err != nil {
			return err
		}
	}
	return nil
}

func saveProfile(ctx context.Context, o options, in *installation, path dataPath, h *host, name string) error {
	callers, err := openCallers(ctx, o.callers[len(o.callers)-1], smallRead, in.urls(path)...)
	if err != nil {
		return err
	}
	defer closeAll(callers)
	done := make(chan error, 1)
	go func() {
		_, err := runLoad(callers, (profileSeconds+1)*time.Second)
		done <- err
	}()
	for file, endpoint := range map[string]string{
		name + ".cpu":    fmt.Sprintf("/debug/pprof/profile?seconds=%d", profileSeconds),
		name + ".allocs": "/debug/pprof/allocs",
	} {
		data, err := fetch(h.adminURL + endpoint)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(o.profile, file), data, 0o600); err != nil {
			return err
		}
	}
	return <-done
}
