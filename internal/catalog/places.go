package catalog

import (
	"fmt"
	"maps"
	"slices"
)

// maxPlaces bounds the places that orders were accepted for.
const maxPlaces = 1024

// Place is what operators have ordered for a place.
type Place struct {
	// Emptied means that the targets of the place get no work.
	Emptied bool `cbor:"1,keyasint,omitempty" json:"emptied,omitempty"`
	// Orders is the number of accepted orders for the place. It is never reset, so that copies of earlier orders are
	// recognised.
	Orders uint64 `cbor:"2,keyasint" json:"orders"`
}

// PlaceOrder empties a place or refills it. The order has no version: a copy of it that is delayed on its way must not
// undo a later order, but the same order sent again after its withdrawal is a new one. Base tells them apart: it was read
// when the host received the order, hence before any later order of the operator.
type PlaceOrder struct {
	Place   string `cbor:"1,keyasint"`
	Emptied bool   `cbor:"2,keyasint,omitempty"` // false: refill
	Base    uint64 `cbor:"3,keyasint,omitempty"` // Place.Orders as known to the host that received the order, when it did
	// Declared means that the settings of that host name the place. Otherwise control must know a target or a host in it.
	Declared bool `cbor:"4,keyasint,omitempty"`
}

// applyPlace applies an order. One that changes nothing is accepted and counted, so that a delayed copy of the opposite
// order has no effect. One that would change the place, but was received before the last accepted order was known, is a
// conflict: it may be a delayed copy. Its sender repeats it if it is not.
func (m *Machine) applyPlace(o *PlaceOrder) Result {
	if o.Place == "" {
		return m.invalid("place", "is empty")
	}
	old, known := m.catalog.Places[o.Place]
	if !known && len(m.catalog.Places) >= maxPlaces {
		return m.invalid("place", fmt.Sprintf("%d places have orders already", maxPlaces))
	}
	if old.Emptied != o.Emptied && o.Base < old.Orders {
		return Result{
			Code: CodeConflict, Revision: m.catalog.Revision,
			Message: fmt.Sprintf("the order for place %q follows order %d, but the last one is %d", o.Place, o.Base, old.Orders),
		}
	}
	next := m.catalog.clone()
	if next.Places == nil {
		next.Places = map[string]Place{}
	}
	next.Places[o.Place] = Place{Emptied: o.Emptied, Orders: old.Orders + 1}
	next.Revision++
	m.catalog = next
	return Result{Code: CodeAccepted, Revision: next.Revision}
}

// PlaceEmptied reports whether the targets of a place get no work.
func (c *Catalog) PlaceEmptied(place string) bool { return c.Places[place].Emptied }

// EmptiedPlaces returns the names of the emptied places, sorted.
func (c *Catalog) EmptiedPlaces() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(c.Places)) {
		if c.Places[name].Emptied {
			names = append(names, name)
		}
	}
	return names
}

// PlaceEmptied reports whether the targets of a place get no work.
func (s *Snapshot) PlaceEmptied(place string) bool { return s.catalog.PlaceEmptied(place) }
