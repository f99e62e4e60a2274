package catalog

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func order(place string, emptied bool, base uint64) Change {
	return Change{Place: &PlaceOrder{Place: place, Emptied: emptied, Base: base}}
}

// Guards against a delayed copy of an order that undoes a later one, against an order that is refused when it is repeated
// after a lost response or given again after its withdrawal, and against orders that a snapshot loses.
func TestDelayedPlaceOrders(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	emptied := func() bool { c := m.Catalog(); return c.PlaceEmptied("a") }
	is.Equal(m.Apply(order("a", true, 0)).Code, CodeAccepted)
	is.Equal(m.Apply(order("a", true, 0)).Code, CodeAccepted) // repeated after a lost response
	is.True(emptied())
	is.Equal(m.Apply(order("a", false, 2)).Code, CodeAccepted)
	is.Equal(m.Apply(order("a", true, 0)).Code, CodeConflict) // a copy that was delayed
	is.True(!emptied())
	is.Equal(m.Apply(order("a", true, 3)).Code, CodeAccepted) // a new order
	is.Equal(m.Apply(order("b", false, 0)).Code, CodeAccepted)
	is.Equal(m.Apply(order("b", true, 0)).Code, CodeConflict) // the withdrawal has overtaken it
	data, err := m.Encode()
	is.NoErr(err)
	m, err = DecodeMachine(data)
	is.NoErr(err)
	is.True(emptied())
	c := m.Catalog()
	is.Equal(c.EmptiedPlaces(), []string{"a"})
	is.Equal(m.Apply(order("a", false, 2)).Code, CodeConflict)
	is.Equal(m.Apply(order("", true, 0)).Code, CodeInvalid)
}

// Guards against any order of delayed, lost and repeated copies after which a place isn't in the state of the operator's
// last acknowledged order. The operator sends an order after the previous one was acknowledged; each copy has the base that its
// host knew when it arrived there, which may be behind.
func TestLastAcknowledgedPlaceOrderHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		var delayed []Change
		for want, n := true, rapid.IntRange(1, 8).Draw(t, "orders"); n > 0; want, n = !want, n-1 {
			for acknowledged := false; !acknowledged; {
				current := m.Catalog().Places["a"].Orders
				behind := min(current, uint64(rapid.IntRange(0, 2).Draw(t, "behind")))
				c := order("a", want, current-behind)
				if rapid.Bool().Draw(t, "delayed") {
					delayed = append(delayed, c)
				} else {
					acknowledged = m.Apply(c).Code == CodeAccepted
				}
			}
			for len(delayed) > 0 && rapid.Bool().Draw(t, "arrives") {
				i := rapid.IntRange(0, len(delayed)-1).Draw(t, "copy")
				m.Apply(delayed[i])
				delayed = append(delayed[:i], delayed[i+1:]...)
			}
			if c := m.Catalog(); c.PlaceEmptied("a") != want {
				t.Fatalf("the place is emptied: %v, want %v as last acknowledged", !want, want)
			}
		}
	})
}
