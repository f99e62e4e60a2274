// Package fairshare computes the fair plan of a time window: what each demand would get if all of them were known in advance
// and the slots of the targets were shared by weight. It is the offline bound that a play is compared with.
package fairshare

import "fmt"

// Demand is work that arrives in a window, for example of a team or of a class of requests.
type Demand struct {
	Name      string   `json:"name"`
	Resources []string `json:"resources"` // every statement occupies a slot of each of them, for example of the primaries and of all targets
	Arrivals  float64  `json:"arrivals"`  // operations that came
	Served    float64  `json:"served"`    // operations that were served
	WorkMs    float64  `json:"work_ms"`   // slot time of an operation
	Weight    float64  `json:"weight"`    // 0 counts as 1
}

// Window is a time window of a day.
type Window struct {
	Name      string             `json:"name"`
	Seconds   float64            `json:"seconds"`
	Resources map[string]float64 `json:"resources"` // slots by name
	Demands   []Demand           `json:"demands"`
}

// Check returns an error for the first invalid field.
func (w *Window) Check() error {
	if w.Seconds <= 0 {
		return fmt.Errorf("window %q: seconds is %v, want more than 0", w.Name, w.Seconds)
	}
	for _, d := range w.Demands {
		if d.Arrivals < 0 || d.WorkMs < 0 || d.Weight < 0 || d.Served < 0 || d.Served > d.Arrivals {
			return fmt.Errorf("window %q, demand %q: negative value, or more served than arrivals", w.Name, d.Name)
		}
		for _, r := range d.Resources {
			if slots, ok := w.Resources[r]; !ok || slots < 0 {
				return fmt.Errorf("window %q, demand %q: resource %q is missing or negative", w.Name, d.Name, r)
			}
		}
	}
	return nil
}

// Plan returns the weighted max-min fair share of each demand, from 0 to 1, and the use of each resource, from 0 to 1. All
// demands are granted slot time in proportion to their weights until one has all that it asks for, or a resource of its own
// is used up; the others go on.
func Plan(w Window) (shares []float64, use map[string]float64) {
	left, granted, asked := map[string]float64{}, make([]float64, len(w.Demands)), make([]float64, len(w.Demands))
	for r, slots := range w.Resources {
		left[r] = slots * w.Seconds
	}
	open := map[int]bool{}
	for i, d := range w.Demands {
		asked[i] = d.Arrivals * d.WorkMs / 1000
		open[i] = asked[i] > 0
	}
	for {
		step, weights := nextStep(w, open, left, granted, asked)
		if len(weights) == 0 {
			break
		}
		for i, d := range w.Demands {
			if !open[i] {
				continue
			}
			granted[i] += step * weight(d)
			for _, r := range d.Resources {
				left[r] -= step * weight(d)
			}
		}
		closeFull(w, open, left, granted, asked)
	}
	shares, use = make([]float64, len(w.Demands)), map[string]float64{}
	for i := range w.Demands {
		shares[i] = 1
		if asked[i] > 0 {
			shares[i] = min(granted[i]/asked[i], 1)
		}
	}
	for r, slots := range w.Resources {
		if slots > 0 {
			use[r] = 1 - max(left[r], 0)/(slots*w.Seconds)
		}
	}
	return shares, use
}

// nextStep returns the slot time by unit of weight until a demand is met or a resource is used up, and the weights of the
// open demands by resource. They are empty if no demand is open.
func nextStep(w Window, open map[int]bool, left map[string]float64, granted, asked []float64) (float64, map[string]float64) {
	step, weights := -1.0, map[string]float64{}
	for i, d := range w.Demands {
		if !open[i] {
			continue
		}
		if needed := (asked[i] - granted[i]) / weight(d); step < 0 || needed < step {
			step = needed
		}
		weights[""] += weight(d)
		for _, r := range d.Resources {
			weights[r] += weight(d)
		}
	}
	for r, sum := range weights {
		if r != "" {
			step = min(step, left[r]/sum)
		}
	}
	return step, weights
}

// closeFull closes the demands that are met or have no resource left.
func closeFull(w Window, open map[int]bool, left map[string]float64, granted, asked []float64) {
	const rounding = 1e-9
	for i, d := range w.Demands {
		if asked[i]-granted[i] <= rounding*asked[i] {
			open[i] = false
		}
		for _, r := range d.Resources {
			if left[r] <= rounding*w.Resources[r]*w.Seconds {
				open[i] = false
			}
		}
	}
}

func weight(d Demand) float64 {
	if d.Weight == 0 {
		return 1
	}
	return d.Weight
}
