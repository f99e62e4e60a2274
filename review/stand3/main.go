package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	name := flag.String("case", "", "case to run")
	trouble := flag.Bool("trouble", true, "bring the disruption about")
	program := flag.String("program", "target/citrond", "program of the system")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	cases := map[string]func(w *world, trouble bool){"restart": restartCase, "odd-service": oddServiceCase, "odd-leave": oddLeaveCase}
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotRun)
	}
	w := newWorld(*record, *program)
	time.AfterFunc(110*time.Second, func() { w.fail(fmt.Errorf("the case takes too long")) })
	run(w, *trouble)
	w.finish()
}
