// Package statechart loads and runs state charts.
//
// A chart is an embedded file in JSON with comments. It lists its events and states. A state that isn't final
// gives, for every event, one of: the name of the next state; an object with the next state ("to") and actions
// ("actions"); "ignore"; or "error", which refuses the event. Final states refuse all events.
package statechart

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/tailscale/hujson"
)

//go:embed charts/*.jsonc
var files embed.FS

// ErrRefused is returned for an event that the current state refuses.
var ErrRefused = errors.New("event refused by state")

// Chart is a loaded chart. It is immutable and safe for concurrent use.
type Chart struct {
	name    string
	initial string
	events  []string
	states  map[string]state
}

type state struct {
	final       bool
	transitions map[string]transition
}

type transition struct {
	To      string   `json:"to"`
	Actions []string `json:"actions"`
	refused bool
	ignored bool
}

type chartFile struct {
	Name    string                                `json:"name"`
	Initial string                                `json:"initial"`
	Events  []string                              `json:"events"`
	Final   []string                              `json:"final"`
	States  map[string]map[string]json.RawMessage `json:"states"`
}

// Load returns the embedded chart of the given name, which is the file name without extension.
func Load(name string) (*Chart, error) {
	data, err := files.ReadFile("charts/" + name + ".jsonc")
	if err != nil {
		return nil, fmt.Errorf("state chart %q: %w", name, err)
	}
	c, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("state chart %q: %w", name, err)
	}
	if c.name != name {
		return nil, fmt.Errorf("state chart %q: the file declares the name %q", name, c.name)
	}
	return c, nil
}

// Parse parses and validates a chart in JSON with comments.
func Parse(data []byte) (*Chart, error) {
	plainJSON, err := hujson.Standardize(slices.Clone(data))
	if err != nil {
		return nil, err
	}
	var file chartFile
	if err := decodeStrict(plainJSON, &file); err != nil {
		return nil, err
	}
	c := &Chart{name: file.Name, initial: file.Initial, events: file.Events, states: map[string]state{}}
	for name, rawTransitions := range file.States {
		st, err := parseState(rawTransitions)
		if err != nil {
			return nil, fmt.Errorf("state %q: %w", name, err)
		}
		st.final = slices.Contains(file.Final, name)
		c.states[name] = st
	}
	return c, c.check(file)
}

func decodeStrict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

func parseState(rawTransitions map[string]json.RawMessage) (state, error) {
	st := state{transitions: map[string]transition{}}
	for event, raw := range rawTransitions {
		t, err := parseTransition(raw)
		if err != nil {
			return state{}, fmt.Errorf("event %q: %w", event, err)
		}
		st.transitions[event] = t
	}
	return st, nil
}

func parseTransition(raw json.RawMessage) (transition, error) {
	var next string // state name, "ignore" or "error"
	if json.Unmarshal(raw, &next) != nil {
		var t transition
		err := decodeStrict(raw, &t)
		return t, err
	}
	switch next {
	case "ignore":
		return transition{ignored: true}, nil
	case "error":
		return transition{refused: true}, nil
	default:
		return transition{To: next}, nil
	}
}

func (c *Chart) check(file chartFile) error {
	if len(file.Events) == 0 {
		return errors.New("chart has no events")
	}
	if _, ok := c.states[c.initial]; !ok {
		return fmt.Errorf("initial state %q is not defined", c.initial)
	}
	for _, f := range file.Final {
		if _, ok := c.states[f]; !ok {
			return fmt.Errorf("final state %q is not defined", f)
		}
	}
	for name, st := range c.states {
		if err := c.checkState(name, st, file.Events); err != nil {
			return err
		}
	}
	return c.checkReachable()
}

func (c *Chart) checkState(name string, st state, events []string) error {
	if st.final && len(st.transitions) > 0 {
		return fmt.Errorf("final state %q has transitions", name)
	}
	for event, t := range st.transitions {
		if !slices.Contains(events, event) {
			return fmt.Errorf("state %q: event %q is not defined", name, event)
		}
		if _, ok := c.states[t.To]; !ok && !t.ignored && !t.refused {
			return fmt.Errorf("state %q, event %q: next state %q is not defined", name, event, t.To)
		}
	}
	if st.final {
		return nil
	}
	for _, event := range events {
		if _, ok := st.transitions[event]; !ok {
			return fmt.Errorf("state %q: event %q is missing", name, event)
		}
	}
	return nil
}

func (c *Chart) checkReachable() error {
	reachable := map[string]bool{c.initial: true}
	queue := []string{c.initial}
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		for _, t := range c.states[name].transitions {
			if t.To != "" && !reachable[t.To] {
				reachable[t.To] = true
				queue = append(queue, t.To)
			}
		}
	}
	for name := range c.states {
		if !reachable[name] {
			return fmt.Errorf("state %q is not reachable from the initial state %q", name, c.initial)
		}
	}
	return nil
}

// Events returns the events in the order of the chart. The caller must not modify the slice.
func (c *Chart) Events() []string { return c.events }

// Next returns the transition of a state on an event. ok is false if the state ignores or refuses the
// event, or doesn't exist. The caller must not modify the actions.
func (c *Chart) Next(state, event string) (next string, actions []string, ok bool) {
	t, found := c.states[state].transitions[event]
	if !found || t.ignored || t.refused {
		return "", nil, false
	}
	return t.To, t.Actions, true
}

// New returns a machine in the chart's initial state.
func (c *Chart) New() *Machine { return &Machine{chart: c, state: c.initial} }

// Machine is one instance of a chart. It isn't safe for concurrent use.
type Machine struct {
	chart *Chart
	state string
}

// State returns the name of the current state.
func (m *Machine) State() string { return m.state }

// Final reports whether the current state is final.
func (m *Machine) Final() bool { return m.chart.states[m.state].final }

// Fire applies an event and returns the actions of the transition, which the caller must not modify. An
// ignored event has no actions. If the state refuses the event, the machine stays in its state and the error
// wraps ErrRefused.
func (m *Machine) Fire(event string) ([]string, error) {
	t, ok := m.chart.states[m.state].transitions[event]
	if !ok || t.refused {
		return nil, fmt.Errorf("state chart %q: state %q, event %q: %w", m.chart.name, m.state, event, ErrRefused)
	}
	if t.ignored {
		return nil, nil
	}
	m.state = t.To
	return t.Actions, nil
}
