package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"reflect"
	"slices"

	"github.com/tailscale/hujson"

	"github.com/citronrun/citronrun/internal/catalog"
)

// File is the configuration file of apply and diff: the desired state of the objects that it names.
// Other objects are left unchanged.
type File struct {
	Teams    map[string]FileTeam        `json:"teams"`
	Services map[string]catalog.Service `json:"services"`
	Policies map[string]catalog.Policy  `json:"policies"`
	Targets  map[string]catalog.Target  `json:"targets"`
	Delete   FileDelete                 `json:"delete"`
}

// FileTeam is a team in a File. It has no keys, which are granted with citronctl key.
type FileTeam struct {
	Labels map[string]string `json:"labels"`
}

// FileDelete names the objects to delete if they exist.
type FileDelete struct {
	Teams    []string `json:"teams"`
	Services []string `json:"services"`
	Policies []string `json:"policies"`
}

var applyCommand = command{
	name: "apply", args: "", about: "Apply a configuration file (JSON with comments).",
	example: "citronctl apply -f teams.jsonc -note 'new clinic'",
	setup: func(fs *flag.FlagSet) func(context.Context, *env, []string) error {
		file := fs.String("f", "", "configuration file, - for standard input")
		id := fs.String("id", "", "change id; empty: a random one. Use the same id to retry a change safely")
		base := fs.Uint64("base", 0, "revision on which the change is based; 0: the current one")
		note := fs.String("note", "", "free text stored with the change")
		return func(ctx context.Context, e *env, args []string) error {
			ops, revision, err := planOperations(ctx, e, *file, args)
			if err != nil {
				return err
			}
			if *base != 0 {
				revision = *base
			}
			return submit(ctx, e, catalog.Change{ID: *id, Base: revision, Ops: ops, Note: *note})
		}
	},
}

var diffCommand = command{
	name: "diff", args: "", about: "Show what apply would change.",
	example: "citronctl diff -f teams.jsonc",
	setup: func(fs *flag.FlagSet) func(context.Context, *env, []string) error {
		file := fs.String("f", "", "configuration file, - for standard input")
		return func(ctx context.Context, e *env, args []string) error {
			ops, _, err := planOperations(ctx, e, *file, args)
			if err != nil {
				return err
			}
			for _, op := range ops {
				line, err := json.Marshal(op)
				if err != nil {
					return err
				}
				fmt.Fprintln(e.out, string(line))
			}
			return nil
		}
	},
}

// planOperations returns the operations that bring the configuration to the state in the file, and the
// revision on which they are based.
func planOperations(ctx context.Context, e *env, file string, args []string) ([]catalog.Op, uint64, error) {
	if file == "" || len(args) > 0 {
		return nil, 0, usagef("want -f FILE and no arguments, got -f %q and %d arguments", file, len(args))
	}
	desired, err := readFile(file, e.in)
	if err != nil {
		return nil, 0, err
	}
	current, err := e.client.Catalog(ctx)
	if err != nil {
		return nil, 0, err
	}
	return desired.operations(current), current.Revision, nil
}

// readFile reads a configuration file, or in if file is "-". Unknown fields are an error.
func readFile(file string, in io.Reader) (File, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(in)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return File{}, err
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return File{}, fmt.Errorf("%s: %w", file, err)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	var f File
	if err := dec.Decode(&f); err != nil {
		return File{}, fmt.Errorf("%s: %w", file, err)
	}
	return f, nil
}

// operations returns the operations that turn the current configuration into the desired one, in a
// deterministic order.
func (f File) operations(current catalog.Catalog) []catalog.Op {
	var ops []catalog.Op
	for _, name := range sorted(f.Teams) {
		existing, ok := current.Teams[name]
		if !ok || !maps.Equal(existing.Labels, f.Teams[name].Labels) {
			ops = append(ops, catalog.Op{PutTeam: &catalog.PutTeam{Name: name, Labels: f.Teams[name].Labels}})
		}
	}
	for _, name := range sorted(f.Services) {
		if existing, ok := current.Services[name]; !ok || !reflect.DeepEqual(existing, f.Services[name]) {
			ops = append(ops, catalog.Op{PutService: &catalog.PutService{Name: name, Service: f.Services[name]}})
		}
	}
	for _, name := range sorted(f.Policies) {
		if existing, ok := current.Policies[name]; !ok || existing != f.Policies[name] {
			ops = append(ops, catalog.Op{PutPolicy: &catalog.PutPolicy{Name: name, Policy: f.Policies[name]}})
		}
	}
	for _, name := range sorted(f.Targets) {
		if op := targetLabelOp(name, current.Targets[name].Labels, f.Targets[name].Labels); op != nil {
			ops = append(ops, *op)
		}
	}
	return append(ops, f.Delete.operations(current)...)
}

// targetLabelOp returns the operation that sets a target's labels to the desired ones, or nil if no
// label changes.
func targetLabelOp(name string, current, desired map[string]string) *catalog.Op {
	if maps.Equal(current, desired) {
		return nil
	}
	set := &catalog.SetLabels{Kind: "target", Name: name, Set: desired}
	for _, k := range sorted(current) {
		if _, ok := desired[k]; !ok {
			set.Remove = append(set.Remove, k)
		}
	}
	return &catalog.Op{SetLabels: set}
}

func (d FileDelete) operations(current catalog.Catalog) []catalog.Op {
	var ops []catalog.Op
	for _, name := range d.Teams {
		if _, ok := current.Teams[name]; ok {
			ops = append(ops, catalog.Op{DeleteTeam: name})
		}
	}
	for _, name := range d.Services {
		if _, ok := current.Services[name]; ok {
			ops = append(ops, catalog.Op{DeleteService: name})
		}
	}
	for _, name := range d.Policies {
		if _, ok := current.Policies[name]; ok {
			ops = append(ops, catalog.Op{DeletePolicy: name})
		}
	}
	return ops
}

// submit submits a change and prints its result. A change without operations is not sent.
func submit(ctx context.Context, e *env, c catalog.Change) error {
	if len(c.Ops) == 0 {
		return e.print(catalog.Result{Code: catalog.CodeAccepted, Revision: c.Base}, "nothing to change, revision %d\n", c.Base)
	}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	res, err := e.client.Change(ctx, c)
	if err != nil {
		return fmt.Errorf("change %s: %w", c.ID, err)
	}
	return e.print(res, "accepted, revision %d\n", res.Revision)
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// print prints v as JSON with the flag -json, else the formatted text.
func (e *env) print(v any, format string, args ...any) error {
	if !e.json {
		_, err := fmt.Fprintf(e.out, format, args...)
		return err
	}
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
