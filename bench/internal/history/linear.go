package history

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// searchTimeout limits the linearizability search for one row, one booking or the configuration.
const searchTimeout = 5 * time.Second

// step is a nondeterministic state transition of a sequential model. It returns all possible next
// states, or none if the operation is impossible in this state.
type step func(state int64) []int64

// newOperation returns an operation of a history. Its input is the step itself.
func newOperation(start, end time.Duration, s step) porcupine.Operation {
	return porcupine.Operation{Input: s, Call: int64(start), Return: int64(end)}
}

// linearize searches for a sequential order of the operations that their steps allow, starting in
// the given state.
func linearize(initial int64, ops []porcupine.Operation) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(sequentialModel(initial), ops, searchTimeout)
}

// sequentialModel returns a model whose state changes by the step that is the input of an operation.
func sequentialModel(initial int64) porcupine.Model {
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

// requireState returns a step that is possible in one state only and doesn't change it.
func requireState(want int64) step {
	return func(state int64) []int64 {
		if state != want {
			return nil
		}
		return []int64{state}
	}
}

// transition returns a step from one state to another, which is impossible in all other states.
func transition(from, to int64) step {
	return func(state int64) []int64 {
		if state != from {
			return nil
		}
		return []int64{to}
	}
}

// optional returns a step that either happens or leaves the state unchanged.
func optional(s step) step {
	return func(state int64) []int64 {
		return append([]int64{state}, s(state)...)
	}
}
