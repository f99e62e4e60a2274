//go:build review

// Command stand2 plays the scripted cases of the second review. It starts the project's own programs as separate
// processes on loopback addresses and takes the place of everything around them: databases, the platform, the
// operator and clients. It judges only what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit ends a case that takes too long. It is below the 120 s that a script may run.
const runLimit = 110 * time.Second

// testCase is one scripted case. It returns whether the rule was broken, or an error if the case could not run.
type testCase func(w *world, trouble bool) (broken bool, err error)

var cases = map[string]testCase{
	"prepared-memory": preparedMemory,
	"late-order":      lateOrder,
	"prepared-names":  preparedNames,
	"reborn-replica":  rebornReplica,
}

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.String("trouble", "1", "0: without the disruption")
	record := flag.String("record", "record.txt", "file to write the record to")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(exitNotRun)
	}
	os.Exit(play(run, *trouble != "0", *record))
}

// play runs a case and ends all processes that it has started.
func play(run testCase, trouble bool, file string) int {
	rec, err := newRecorder(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w, err := newWorld(rec)
	if err != nil {
		rec.add("case", "could not run: %v", err)
		return exitNotRun
	}
	defer w.close()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		broken, err := run(w, trouble)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			rec.result("could not run: %v", o.err)
			return exitNotRun
		case o.broken:
			rec.result("the rule was broken")
			return exitBroken
		}
		rec.result("the rule held")
		return exitHeld
	case <-stopped:
		rec.result("could not run: stopped by a signal")
		return exitNotRun
	case <-time.After(runLimit):
		rec.result("could not run: not finished within %v", runLimit)
		return exitNotRun
	}
}

// recorder writes the record of a case: who sent, answered or ran what, and when.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(file string) (*recorder, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

// maxRecorded is the length beyond which a line of the record is cut.
const maxRecorded = 240

// add adds a line. who is the party that saw it.
func (r *recorder) add(who, format string, args ...any) {
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), "\r\n", " ")
	if len(text) > maxRecorded {
		text = fmt.Sprintf("%s... (%d bytes)", text[:maxRecorded], len(text))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-10s %s\n", time.Since(r.start).Seconds(), who, text)
}

// result adds a line and prints it.
func (r *recorder) result(format string, args ...any) {
	r.add("case", format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() { _ = r.file.Close() }
