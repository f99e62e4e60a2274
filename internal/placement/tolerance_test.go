package placement

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a change that is acknowledged while the majority that has it may be lost with one place.
func TestBearsLoss(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		voters          map[string]int
		unknown, places int
		want            bool
	}{
		{map[string]int{"a": 3, "b": 2, "c": 2, "d": 2}, 0, 1, true},
		{map[string]int{"a": 3, "b": 2, "c": 2, "d": 2}, 0, 2, false},
		{map[string]int{"a": 3, "b": 1, "c": 1}, 0, 1, false},
		{map[string]int{"a": 2, "b": 2, "c": 1}, 0, 1, true},
		{map[string]int{"a": 2, "b": 2, "c": 2}, 0, 1, true},
		{map[string]int{"a": 2, "b": 2}, 0, 1, false},
		{map[string]int{"a": 2, "b": 2, "c": 2, "d": 2}, 1, 1, true},
		{map[string]int{"a": 2, "b": 2}, 1, 1, false},
		{map[string]int{"a": 3, "b": 1, "c": 1}, 0, 0, true},
		{nil, 3, 1, false},
	} {
		is.Equal(BearsLoss(c.voters, c.unknown, c.places), c.want)
	}
}
