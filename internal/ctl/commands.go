package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/citronrun/citronrun/internal/auth"
	"github.com/citronrun/citronrun/internal/catalog"
)

// withoutFlags returns the setup function of a command that has no flags of its own.
func withoutFlags(action func(context.Context, *env, []string) error) func(*flag.FlagSet) func(context.Context, *env, []string) error {
	return func(*flag.FlagSet) func(context.Context, *env, []string) error { return action }
}

var getCommand = command{
	name: "get", args: "[teams|services|policies|targets]", about: "Show the configuration.",
	example: "citronctl get policies",
	setup: withoutFlags(func(ctx context.Context, e *env, args []string) error {
		c, err := e.client.Catalog(ctx)
		if err != nil {
			return err
		}
		sections := map[string]any{"teams": c.Teams, "services": c.Services, "policies": c.Policies, "targets": c.Targets}
		if len(args) == 0 {
			return e.printJSON(c)
		}
		section, ok := sections[args[0]]
		if !ok || len(args) > 1 {
			return usagef("want no argument or one of teams, services, policies, targets")
		}
		return e.printJSON(section)
	}),
}

var labelCommand = command{
	name: "label", args: "team|service|target NAME KEY=VALUE|KEY-...", about: "Set and remove labels.",
	example: "citronctl label team inspectors reads=stale night-",
	setup: withoutFlags(func(ctx context.Context, e *env, args []string) error {
		if len(args) < 3 {
			return usagef("want a kind, a name and at least one KEY=VALUE or KEY-")
		}
		labels := &catalog.SetLabels{Kind: args[0], Name: args[1], Set: map[string]string{}}
		for _, a := range args[2:] {
			key, value, assigned := strings.Cut(a, "=")
			switch {
			case assigned:
				labels.Set[key] = value
			case strings.HasSuffix(a, "-"):
				labels.Remove = append(labels.Remove, strings.TrimSuffix(a, "-"))
			default:
				return usagef("%q is neither KEY=VALUE nor KEY-", a)
			}
		}
		return submitOne(ctx, e, catalog.Op{SetLabels: labels})
	}),
}

// submitOne submits one operation, based on the current revision.
func submitOne(ctx context.Context, e *env, op catalog.Op) error {
	c, err := e.client.Catalog(ctx)
	if err != nil {
		return err
	}
	return submit(ctx, e, catalog.Change{Base: c.Revision, Ops: []catalog.Op{op}})
}

var keyCommand = command{
	name: "key", args: "grant|withdraw TEAM ID | list TEAM", about: "Grant, withdraw and list a team's keys.",
	example: "citronctl key grant coordinators phone-2",
	setup: withoutFlags(func(ctx context.Context, e *env, args []string) error {
		switch {
		case len(args) == 3 && args[0] == "grant":
			return grantKey(ctx, e, args[1], args[2])
		case len(args) == 3 && args[0] == "withdraw":
			return submitOne(ctx, e, catalog.Op{WithdrawKey: &catalog.WithdrawKey{Team: args[1], ID: args[2]}})
		case len(args) == 2 && args[0] == "list":
			return listKeys(ctx, e, args[1])
		default:
			return usagef("want grant TEAM ID, withdraw TEAM ID or list TEAM")
		}
	}),
}

// grantKey generates a key, and prints it after the change was accepted. This output is the only place
// where the key appears in clear text.
func grantKey(ctx context.Context, e *env, team, id string) error {
	secret := auth.NewKey()
	if err := submitOne(ctx, e, catalog.Op{GrantKey: &catalog.GrantKey{Team: team, ID: id, Secret: secret}}); err != nil {
		return err
	}
	_, err := fmt.Fprintln(e.out, secret)
	return err
}

func listKeys(ctx context.Context, e *env, team string) error {
	c, err := e.client.Catalog(ctx)
	if err != nil {
		return err
	}
	t, ok := c.Teams[team]
	if !ok {
		return fmt.Errorf("team %q does not exist", team)
	}
	if e.json {
		return e.printJSON(t.Keys)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KEY\tSTATE")
	for _, id := range sorted(t.Keys) {
		state := "valid"
		if t.Keys[id].Withdrawn {
			state = "withdrawn"
		}
		fmt.Fprintf(w, "%s\t%s\n", id, state)
	}
	return w.Flush()
}

// requestAction returns an action that sends one request without a body and prints the JSON response.
// path returns the request's path for the command's arguments.
func requestAction(method string, path func(args []string) (string, error)) func(context.Context, *env, []string) error {
	return func(ctx context.Context, e *env, args []string) error {
		p, err := path(args)
		if err != nil {
			return err
		}
		var response json.RawMessage
		if err := e.client.Do(ctx, method, p, nil, &response); err != nil {
			return err
		}
		_, err = e.out.Write(response)
		return err
	}
}

// fixedPath returns a path function for a command without arguments.
func fixedPath(p string) func([]string) (string, error) {
	return func(args []string) (string, error) {
		if len(args) > 0 {
			return "", usagef("takes no arguments")
		}
		return p, nil
	}
}

var dumpCommand = command{
	name: "dump", args: "", about: "Print the internal state of the process that serves the first reachable address.",
	example: "citronctl dump -servers http://127.0.0.1:8432",
	setup:   withoutFlags(requestAction(http.MethodGet, fixedPath("/debug/state"))),
}

var promoteCommand = command{
	name: "promote", args: "SERVICE [TARGET]", about: "Move a service's primary to another target.",
	example: "citronctl promote bookings db-2",
	setup: withoutFlags(requestAction(http.MethodPost, func(args []string) (string, error) {
		if len(args) < 1 || len(args) > 2 {
			return "", usagef("want SERVICE and an optional TARGET")
		}
		p := "/v1/services/" + url.PathEscape(args[0]) + "/promote"
		if len(args) == 2 {
			p += "?target=" + url.QueryEscape(args[1])
		}
		return p, nil
	})),
}

var drainCommand = command{
	name: "drain", args: "HOST", about: "Move all services that a host owns to other hosts.",
	example: "citronctl drain entry-3",
	setup: withoutFlags(requestAction(http.MethodPost, func(args []string) (string, error) {
		if len(args) != 1 {
			return "", usagef("want HOST")
		}
		return "/v1/hosts/" + url.PathEscape(args[0]) + "/drain", nil
	})),
}

var placeCommand = command{
	name: "place", args: "empty|refill NAME", about: "Send nothing more to the targets of a place, or withdraw that.",
	example: "citronctl place empty north",
	setup: withoutFlags(requestAction(http.MethodPost, func(args []string) (string, error) {
		if len(args) != 2 || args[0] != "empty" && args[0] != "refill" {
			return "", usagef("want empty NAME or refill NAME")
		}
		return "/v1/places/" + url.PathEscape(args[1]) + "/" + args[0], nil
	})),
}

var forgetCommand = command{
	name: "forget", args: "SERVICE TARGET", about: "Remove a permanently lost target from its service.",
	example: "citronctl forget bookings db-3",
	setup: withoutFlags(requestAction(http.MethodDelete, func(args []string) (string, error) {
		if len(args) != 2 {
			return "", usagef("want SERVICE and TARGET")
		}
		return "/v1/services/" + url.PathEscape(args[0]) + "/targets/" + url.PathEscape(args[1]), nil
	})),
}

var membersCommand = command{
	name: "members", args: "add ID IP:PORT | remove ID", about: "Add and remove members of the control group (status -json lists them).",
	example: "citronctl members add 4 10.0.0.4:7432",
	setup: withoutFlags(func(ctx context.Context, e *env, args []string) error {
		switch {
		case len(args) == 3 && args[0] == "add":
			p := "/v1/members/" + url.PathEscape(args[1]) + "?addr=" + url.QueryEscape(args[2])
			return requestAction(http.MethodPut, fixedPath(p))(ctx, e, nil)
		case len(args) == 2 && args[0] == "remove":
			return requestAction(http.MethodDelete, fixedPath("/v1/members/"+url.PathEscape(args[1])))(ctx, e, nil)
		default:
			return usagef("want add ID IP:PORT or remove ID")
		}
	}),
}

var watchCommand = command{
	name: "watch", args: "", about: "Print each new configuration revision until interrupted.",
	example: "citronctl watch",
	setup: withoutFlags(func(ctx context.Context, e *env, args []string) error {
		if len(args) > 0 {
			return usagef("takes no arguments")
		}
		var latest struct {
			Revision uint64 `json:"revision"`
		}
		for ctx.Err() == nil {
			after := latest.Revision
			err := e.client.Do(ctx, http.MethodGet, fmt.Sprintf("/v1/watch?after=%d", after), nil, &latest)
			if err != nil && ctx.Err() == nil {
				return err
			}
			if latest.Revision > after {
				fmt.Fprintf(e.out, "revision %d\n", latest.Revision)
			}
		}
		return nil
	}),
}

func (e *env) printJSON(v any) error {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
