package ctl

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/citronrun/citronrun/internal/gateway"
)

var explainCommand = command{
	name: "explain", args: "DATABASE", about: "Show where an entry host would send an operation now, and why, without sending it.",
	example: "citronctl explain -servers http://127.0.0.1:7561 -team desk -kind read orders",
	setup: func(fs *flag.FlagSet) func(context.Context, *env, []string) error {
		team := fs.String("team", "", "team of the caller; empty: a caller without a key")
		kind := fs.String("kind", "read", "read or write; begin or begin_read for a transaction block")
		place := fs.String("place", "", "place of the entry host; fails if the server is in another one")
		floor := fs.String("floor", "", "TERM/OFFSET of the session's last commit")
		return func(ctx context.Context, e *env, args []string) error {
			if len(args) != 1 {
				return usagef("want the name of one database")
			}
			values := url.Values{"database": {args[0]}, "kind": {*kind}}
			for name, value := range map[string]string{"team": *team, "place": *place, "floor": *floor} {
				if value != "" {
					values.Set(name, value)
				}
			}
			var explanation gateway.Explanation
			if err := e.client.Do(ctx, http.MethodGet, "/v1/explain?"+values.Encode(), nil, &explanation); err != nil {
				return err
			}
			if e.json {
				return e.printJSON(explanation)
			}
			return e.printExplanation(explanation)
		}
	},
}

// printExplanation prints the outcome, the limits and the targets with the parts of their costs in ms.
func (e *env) printExplanation(x gateway.Explanation) error {
	switch {
	case x.Refusal != "":
		fmt.Fprintf(e.out, "would be refused: %s\n", x.Refusal)
	default:
		fmt.Fprintf(e.out, "would go to %s at %s, reason %q\n", x.Target, x.Holder, x.Reason)
	}
	if x.DeclineAboveMs > 0 {
		fmt.Fprintf(e.out, "its holder declines it, and it goes elsewhere, if it would wait longer than %.1f ms or the target is failing\n", x.DeclineAboveMs)
	}
	fmt.Fprintf(e.out, "place %s, deployment %d, service %s, primary needed: %v", x.Place, x.Version, cmp.Or(x.Service, "-"), x.Primary)
	if x.MaxAgeMs > 0 {
		fmt.Fprintf(e.out, ", data at most %.0f ms old, position at least %s", x.MaxAgeMs, cmp.Or(x.Floor, "any"))
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\n\nLIMIT\tBOUND\tSTATE")
	for _, l := range x.Limits {
		fmt.Fprintf(w, "%s\t%s\t%s\n", l.Name, l.Bound, l.State)
	}
	fmt.Fprintln(w, "\nTARGET\tPLACE\tPRIMARY\tCOST MS\tPATH\tWAIT\tIN FLIGHT\tFAILURES\tRESERVE\tTRAFFIC\tUNUSABLE")
	for _, t := range x.Targets {
		if t.Unusable != "" {
			fmt.Fprintf(w, "%s\t%s\t%v\t-\t-\t-\t-\t-\t-\t-\t%s\n", t.Target, t.Place, t.Primary, t.Unusable)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", t.Target, t.Place, t.Primary,
			t.Total, t.Path, t.Wait, t.InFlight, t.Failures, t.Reserve, t.Traffic)
	}
	return w.Flush()
}
