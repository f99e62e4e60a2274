package history

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// searchTimeout limits the search for an order of one row, booking or configuration.
const searchTimeout = 5 * time.Second

// step is a state transition of a sequential model: it returns all states that may follow, none
// if the operation is impossible in this state.
type step func(state int64) []int64

// operation is an entry of a history whose input is its own transition.
func operation(start, end time.Duration, s step) porcupine.Operation {
	return porcupine.Operation{Input: s, Call: int64(start), Return: int64(end)}
}

// linearize searches for an order of the operations that the steps allow, from the given state.
func linearize(initial int64, ops []porcupine.Operation) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(model(initial), ops, searchTimeout)
}

// model is the sequential model of a state that the inputs, which are steps, change.
func model(initial int64) porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{initial} },
		Step: func(state, input, _ any) []any {
			var next []any
			for _, s := range input.(step)(state.(int64)) {
				next = append(next, s)
			}
			return next
		},
	}
	return m.ToModel()
}

// expect is a step that is possible in one state only and doesn't change it.
func expect(want int64) step {
	return func(state int64) []int64 {
		if state != want {
			return nil
		}
		return []int64{state}
	}
}

// move is a step from one state to another.
func move(from, to int64) step {
	return func(state int64) []int64 {
		if state != from {
			return nil
		}
		return []int64{to}
	}
}

// maybe makes a step optional.
func maybe(s step) step {
	return func(state int64) []int64 {
		return append([]int64{state}, s(state)...)
	}
}
