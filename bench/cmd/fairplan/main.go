// Command fairplan compares what was served in the windows of a day with the fair plan of each window. It reads a JSON list
// of windows, see package fairshare, from a file.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/citronrun/citronrun/bench/internal/fairshare"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: fairplan FILE")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "fairplan:", err)
		os.Exit(1)
	}
}

func run(file string, out io.Writer) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var windows []fairshare.Window
	if err := json.Unmarshal(data, &windows); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WINDOW\tDEMAND\tPLAN\tSERVED\tRATIO\tUSE OF RESOURCES")
	for _, window := range windows {
		if err := window.Check(); err != nil {
			return err
		}
		shares, use := fairshare.Plan(window)
		for i, d := range window.Demands {
			served := 1.0
			if d.Arrivals > 0 {
				served = d.Served / d.Arrivals
			}
			ratio := 1.0
			if shares[i] > 0 {
				ratio = served / shares[i]
			}
			text := ""
			for _, r := range d.Resources {
				text += fmt.Sprintf("%s %.0f%% ", r, 100*use[r])
			}
			fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%s\n", window.Name, d.Name, shares[i], served, ratio, text)
		}
	}
	return w.Flush()
}
