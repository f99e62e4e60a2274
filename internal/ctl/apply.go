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

// File is the declarative form of a configuration that apply and diff read. Objects that it doesn't
// name stay as they are.
type File struct {
	Teams    map[string]FileTeam        `json:"teams"`
	Services map[string]catalog.Service `json:"services"`
	Policies map[string]catalog.Policy  `json:"policies"`
	Targets  map[string]catalog.Target  `json:"targets"`
	Delete   FileDelete                 `json:"delete"`
}

// FileTeam is a team in a File. Keys are granted with citronctl key.
type FileTeam struct {
	Labels map[string]string `json:"labels"`
}

// FileDelete names objects that must not exist.
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
		id := fs.String("id", "", "change id; missing: a random one. Give the same id to repeat a change safely")
		base := fs.Uint64("base", 0, "revision that the change builds on; 0: the current one")
		note := fs.String("note", "", "free text stored with the change")
		return func(ctx context.Context, e *env, args []string) error {
			ops, revision, err := plan(ctx, e, *file, args)
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
			ops, _, err := plan(ctx, e, *file, args)
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

// plan returns the operations that bring the current configuration to what the file says.
func plan(ctx context.Context, e *env, file string, args []string) ([]catalog.Op, uint64, error) {
	if file == "" || len(args) > 0 {
		return nil, 0, usagef("want -f FILE and no arguments")
	}
	want, err := readFile(file, e.in)
	if err != nil {
		return nil, 0, err
	}
	have, err := e.client.Catalog(ctx)
	if err != nil {
		return nil, 0, err
	}
	return want.operations(have), have.Revision, nil
}

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

// operations returns the difference between f and have, in a fixed order.
func (f File) operations(have catalog.Catalog) []catalog.Op {
	var ops []catalog.Op
	for _, name := range sorted(f.Teams) {
		old, ok := have.Teams[name]
		if !ok || !maps.Equal(old.Labels, f.Teams[name].Labels) {
			ops = append(ops, catalog.Op{PutTeam: &catalog.PutTeam{Name: name, Labels: f.Teams[name].Labels}})
		}
	}
	for _, name := range sorted(f.Services) {
		if old, ok := have.Services[name]; !ok || !reflect.DeepEqual(old, f.Services[name]) {
			ops = append(ops, catalog.Op{PutService: &catalog.PutService{Name: name, Service: f.Services[name]}})
		}
	}
	for _, name := range sorted(f.Policies) {
		if old, ok := have.Policies[name]; !ok || old != f.Policies[name] {
			ops = append(ops, catalog.Op{PutPolicy: &catalog.PutPolicy{Name: name, Policy: f.Policies[name]}})
		}
	}
	for _, name := range sorted(f.Targets) {
		if op := labelTarget(name, have.Targets[name].Labels, f.Targets[name].Labels); op != nil {
			ops = append(ops, *op)
		}
	}
	return append(ops, f.Delete.operations(have)...)
}

func labelTarget(name string, have, want map[string]string) *catalog.Op {
	if maps.Equal(have, want) {
		return nil
	}
	set := &catalog.SetLabels{Kind: "target", Name: name, Set: want}
	for _, k := range sorted(have) {
		if _, ok := want[k]; !ok {
			set.Remove = append(set.Remove, k)
		}
	}
	return &catalog.Op{SetLabels: set}
}

func (d FileDelete) operations(have catalog.Catalog) []catalog.Op {
	var ops []catalog.Op
	for _, name := range d.Teams {
		if _, ok := have.Teams[name]; ok {
			ops = append(ops, catalog.Op{DeleteTeam: name})
		}
	}
	for _, name := range d.Services {
		if _, ok := have.Services[name]; ok {
			ops = append(ops, catalog.Op{DeleteService: name})
		}
	}
	for _, name := range d.Policies {
		if _, ok := have.Policies[name]; ok {
			ops = append(ops, catalog.Op{DeletePolicy: name})
		}
	}
	return ops
}

// submit sends a change and prints its outcome. A change without operations isn't sent.
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

// print writes v as JSON when asked for, else the text.
func (e *env) print(v any, format string, args ...any) error {
	if !e.json {
		_, err := fmt.Fprintf(e.out, format, args...)
		return err
	}
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
