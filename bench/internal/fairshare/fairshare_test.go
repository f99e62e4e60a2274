package fairshare

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Load: one team sends several times what fits. Guards against a plan in which the others lose, or in which room is left
// although someone asks for it.
func TestHotTeam(t *testing.T) {
	is := is.New(t)
	demand := func(name string, arrivals, weight float64) Demand {
		return Demand{Name: name, Resources: []string{"all"}, Arrivals: arrivals, WorkMs: 10, Weight: weight}
	}
	shares, use := Plan(Window{Seconds: 1, Resources: map[string]float64{"all": 4}, Demands: []Demand{
		demand("hot", 1000, 1), demand("small", 50, 1), demand("heavy", 200, 2),
	}})
	is.Equal(fmt.Sprintf("%.3f", shares), "[0.150 1.000 1.000]")
	is.Equal(use["all"], 1.0)
}

// Guards against a plan that uses more than a resource has, or that leaves a demand short for which each resource has room.
func TestPlanIsFeasibleAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Window{Seconds: 2, Resources: map[string]float64{"primaries": rapid.Float64Range(0, 5).Draw(t, "primaries"), "all": rapid.Float64Range(0, 10).Draw(t, "all")}}
		for i := range rapid.IntRange(1, 8).Draw(t, "demands") {
			d := Demand{Name: fmt.Sprint(i), Resources: []string{"all"}, Arrivals: rapid.Float64Range(0, 1000).Draw(t, "arrivals"), WorkMs: 10, Weight: rapid.Float64Range(0.1, 8).Draw(t, "weight")}
			if rapid.Bool().Draw(t, "primary") {
				d.Resources = append(d.Resources, "primaries")
			}
			w.Demands = append(w.Demands, d)
		}
		shares, use := Plan(w)
		used := map[string]float64{}
		for i, d := range w.Demands {
			full := false
			for _, r := range d.Resources {
				used[r] += shares[i] * d.Arrivals * d.WorkMs / 1000
				full = full || w.Resources[r] == 0 || use[r] > 1-1e-6
			}
			if shares[i] < 1-1e-6 && !full {
				t.Fatalf("demand %d gets %v with room in %v: %v", i, shares[i], d.Resources, use)
			}
		}
		for r, slots := range w.Resources {
			if used[r] > slots*w.Seconds*(1+1e-6)+1e-9 || math.IsNaN(used[r]) {
				t.Fatalf("%s: %v used of %v", r, used[r], slots*w.Seconds)
			}
		}
	})
}
