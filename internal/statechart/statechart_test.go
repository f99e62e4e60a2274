package statechart

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an embedded chart that is invalid, which would otherwise show only when it is loaded at
// run time.
func TestEmbeddedChartsLoad(t *testing.T) {
	is := is.New(t)
	entries, err := files.ReadDir("charts")
	is.NoErr(err)
	is.Equal(len(entries), 4)
	for _, e := range entries {
		_, err := Load(strings.TrimSuffix(e.Name(), ".jsonc"))
		is.NoErr(err)
	}
}

// Guards against invalid charts that are accepted: a missing transition, for example, would show only when
// its event occurs.
func TestParseRefusesInvalidCharts(t *testing.T) {
	for name, chart := range map[string]string{
		"unknown field":               `{"name":"x","initial":"a","events":["e"],"final":[],"extra":1,"states":{"a":{"e":"a"}}}`,
		"unknown field in transition": `{"name":"x","initial":"a","events":["e"],"states":{"a":{"e":{"to":"a","go":"b"}}}}`,
		"missing event":               `{"name":"x","initial":"a","events":["e","f"],"states":{"a":{"e":"a"}}}`,
		"unreachable state":           `{"name":"x","initial":"a","events":["e"],"states":{"a":{"e":"a"},"b":{"e":"a"}}}`,
		"undefined next state":        `{"name":"x","initial":"a","events":["e"],"states":{"a":{"e":"c"}}}`,
		"undefined event":             `{"name":"x","initial":"a","events":["e"],"states":{"a":{"e":"a","g":"a"}}}`,
		"undefined initial state":     `{"name":"x","initial":"q","events":["e"],"states":{"a":{"e":"a"}}}`,
		"final state with transition": `{"name":"x","initial":"a","events":["e"],"final":["a"],"states":{"a":{"e":"a"}}}`,
	} {
		if _, err := Parse([]byte(chart)); err == nil {
			t.Errorf("%s: chart was accepted", name)
		}
	}
}

// Guards against a refused event that still changes the state.
func TestRefusedEventKeepsState(t *testing.T) {
	is := is.New(t)
	c, err := Load("caller_session")
	is.NoErr(err)
	m := c.New()
	_, err = m.Fire("ready_idle")
	is.True(errors.Is(err, ErrRefused))
	is.Equal(m.State(), "idle")
	_, err = m.Fire("request")
	is.NoErr(err)
	actions, err := m.Fire("close")
	is.NoErr(err)
	is.Equal(actions, []string{"abort"})
	is.True(m.Final())
}
