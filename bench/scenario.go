package main

import (
	"context"
	"fmt"
	"time"

	"github.com/citronrun/citronrun/bench/internal/load"
)

// withdrawalBound is the time within which a withdrawn key stops working.
const withdrawalBound = 6 * time.Second

// scenario is a load and a table of timed faults.
type scenario struct {
	name, about string
	roaming     bool
	before      func(context.Context, *trial) error
	shape       func(t *load.Team, labels map[string]string)
	faults      []fault
}

// fault happens at a share of the run's length.
type fault struct {
	at   float64
	name string
	do   func(context.Context, *trial) error
}

var scenarios = []scenario{
	{name: "steady", about: "usual load, no faults"},
}

func scenarioNamed(name string, _ uint64) (scenario, error) {
	for _, s := range scenarios {
		if s.name == name {
			return s, nil
		}
	}
	return scenario{}, fmt.Errorf("unknown scenario %q, see -list", name)
}
