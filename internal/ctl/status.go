package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/citronrun/citronrun/internal/control"
)

var statusCommand = command{
	name: "status", args: "", about: "Show the leader's status: hosts, services with their owners, and deployed services.",
	example: "citronctl status",
	setup: withoutFlags(func(ctx context.Context, e *env, args []string) error {
		if len(args) > 0 {
			return usagef("takes no arguments")
		}
		var response json.RawMessage
		if err := e.client.Do(ctx, http.MethodGet, "/v1/status", nil, &response); err != nil {
			return err
		}
		if e.json {
			return e.printJSON(response)
		}
		var st control.Status
		if err := json.Unmarshal(response, &st); err != nil {
			return fmt.Errorf("decode status: %w", err)
		}
		return e.printStatus(st)
	}),
}

// printStatus prints hosts, services and deployed services as tables. A service has an owner; of a deployed
// service each target has a holder, the host with its lease.
func (e *env) printStatus(st control.Status) error {
	fmt.Fprintf(e.out, "leader %s, consensus term %d, configuration revision %d\n", st.Leader, st.Term, st.Revision)
	if len(st.EmptiedPlaces) > 0 {
		fmt.Fprintf(e.out, "emptied places: %s\n", strings.Join(st.EmptiedPlaces, ", "))
	}
	fmt.Fprintln(e.out)
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tPLACE\tADDRESS\tSERVICES\tREVISION\tSILENT\tSTATE")
	for _, name := range sorted(st.Hosts) {
		h := st.Hosts[name]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.1fs\t%s\n", name, h.Place, h.Addr, h.Services, h.Revision, h.SilentFor, hostState(h))
	}
	fmt.Fprintln(w, "\nSERVICE\tOWNER\tEPOCH\tTERM\tPRIMARY\tPHASE\tTARGETS")
	for _, name := range sorted(st.Services) {
		s := st.Services[name]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", name, s.Owner, s.Epoch, s.Term, s.Primary, s.Phase, formatTargets(s))
	}
	if len(st.Groups) > 0 {
		fmt.Fprintf(w, "\ndeployment version %d\n\nDEPLOYED SERVICE\tPRIMARY\tTOKEN\tPHASE\tTARGETS\n", st.Deployment)
	}
	for _, name := range sorted(st.Groups) {
		s := st.Groups[name]
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", name, s.Primary, s.Token, s.Phase, formatDeployedTargets(s))
	}
	return w.Flush()
}

// formatDeployedTargets lists a deployed service's targets with the hosts that hold their target leases.
func formatDeployedTargets(s control.GroupStatus) string {
	var items []string
	for _, name := range sorted(s.Targets) {
		t := s.Targets[name]
		item := fmt.Sprintf("%s at %s", name, t.Holder)
		if t.Holder == "" {
			item = name + " without a holder"
		}
		if t.Leaving {
			item += " leaving"
		}
		items = append(items, item)
	}
	for _, name := range s.Departed {
		items = append(items, name+" departed")
	}
	for _, name := range s.Restarted {
		items = append(items, name+" restarted without its log")
	}
	return strings.Join(items, ", ")
}

// hostState returns the text for the column STATE: the role of the host, or draining for an entry host that is
// being drained.
func hostState(h control.HostStatus) string {
	switch {
	case !h.Entry:
		return "control"
	case h.Draining:
		return "draining"
	default:
		return "entry"
	}
}

// formatTargets lists a service's targets with the log positions that they have received and applied.
func formatTargets(s control.ServiceStatus) string {
	var items []string
	for _, name := range sorted(s.Targets) {
		t := s.Targets[name]
		item := fmt.Sprintf("%s %s (applied %s)", name, t.Received, t.Applied)
		if t.Leaving {
			item += " leaving"
		}
		items = append(items, item)
	}
	return strings.Join(items, ", ")
}
