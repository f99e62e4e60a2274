package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of CPU times in /proc on Linux.
const ticksPerSecond = 100

// cpuTime returns the CPU time that a process has used, in user and system mode.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	rest := data[bytes.LastIndexByte(data, ')')+1:] // skips the process name, which may contain spaces
	fields := strings.Fields(string(rest))
	const userField, systemField = 11, 12 // counted from the process state, field 3 of stat
	if len(fields) <= systemField {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields after the process name, want more than %d", pid, len(fields), systemField)
	}
	var ticks int64
	for _, f := range fields[userField : systemField+1] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * (time.Second / ticksPerSecond), nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("/proc/%d/statm has %d fields, want at least 2", pid, len(fields))
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// memoryStats holds figures from the runtime.MemStats of a citrond process.
type memoryStats struct {
	mallocs int64
	bytes   int64 // in use by heap and stacks
}

// memoryOf runs a garbage collection in a citrond process and returns its memory statistics.
func memoryOf(h *host) (memoryStats, error) {
	var m memoryStats
	body, err := fetch(h.adminURL + "/debug/pprof/heap?gc=1&debug=1")
	if err != nil {
		return m, err
	}
	sc := bufio.NewScanner(bytes.NewReader(body))
	sc.Buffer(nil, len(body)+1)
	for sc.Scan() {
		name, value, ok := strings.Cut(strings.TrimPrefix(sc.Text(), "# "), " = ")
		if !ok {
			continue
		}
		value, _, _ = strings.Cut(value, " ")
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			continue // not one of the numbers below
		}
		switch name {
		case "Mallocs":
			m.mallocs = n
		case "HeapInuse", "Stack":
			m.bytes += n
		}
	}
	return m, sc.Err()
}

func fetch(url string) ([]byte, error) {
	resp, err := http.Get(url)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d, want %d", url, resp.StatusCode, http.StatusOK)
	}
	return io.ReadAll(resp.Body)
}
