package placement

import (
	"cmp"
	"maps"
	"slices"
)

// BearsLoss reports whether a majority of the voters is left when any so many places are lost. voters is their number by
// place. Voters whose place isn't known may all be in the places that are lost.
func BearsLoss(voters map[string]int, unknown, places int) bool {
	counts := slices.SortedFunc(maps.Values(voters), func(a, b int) int { return cmp.Compare(b, a) })
	total, lost := unknown, unknown
	for i, n := range counts {
		total += n
		if i < places {
			lost += n
		}
	}
	return total-lost > total/2
}
