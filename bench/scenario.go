package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/citronrun/citronrun/bench/internal/load"
	"github.com/citronrun/citronrun/internal/catalog"
)

// scenario is a load with a schedule of faults.
type scenario struct {
	name, description string
	roaming           bool
	noInterruptions   bool // no request may be interrupted
	setUp             func(context.Context, *trial) error
	adjustLoad        func(t *load.Team, labels map[string]string)
	faults            []fault
}

// fault is a failure that is injected after a fraction of the run's duration.
type fault struct {
	startFraction float64
	name          string
	inject        func(context.Context, *trial) error
}

const noisyRateFactor = 5

var scenarios = []scenario{
	{name: "steady", description: "usual load, no faults"},
	{name: "morning-rush", description: "inspectors or reports teams read heavily", setUp: raiseReaderRates, adjustLoad: applyRushLoad},
	{name: "noisy-team", description: "one team at 5 times its rate", adjustLoad: applyNoisyLoad},
	{name: "lagging-replicas", description: "replicas 1 to 3 s behind", faults: []fault{{0.1, "lag", lagReplicas}}},
	{name: "primary-killed", description: "the primary of the first service is killed", faults: []fault{{0.3, "kill primary", killPrimary}}},
	{name: "primary-isolated", description: "the primary of the first service is unreachable for 40% of the run", faults: []fault{{0.3, "isolate primary", isolatePrimary}}},
	{name: "entry-killed", description: "SIGKILL of the owner of the first service", faults: []fault{{0.3, "kill owner", killOwner}}},
	{name: "control-isolated", description: "the control leader is cut off for the rest of the run", faults: []fault{{0.3, "isolate leader", isolateLeader}}},
	{name: "roaming", description: "each session reconnects to another host after every write", roaming: true},
	{name: "key-withdrawn", description: "the key of one team is withdrawn", faults: []fault{{0.3, "withdraw key", withdrawKey}}},
	{name: "rolling-restart", description: "SIGTERM and restart of each entry host in turn", noInterruptions: true, faults: []fault{{0.1, "restart hosts", restartHosts}}},
	{name: "config-churn", description: "labels and policies change every 200 ms through different hosts", faults: []fault{{0.05, "change configuration", changeConfiguration}}},
	{name: "lossy-link", description: "jitter and 2% loss between hosts", faults: []fault{{0.05, "lossy links", injectLoss(lossRate)}}},
}

// combinableFaults are the faults from which the scenario "combined" draws.
var combinableFaults = []fault{
	{0.1, "lag", lagReplicas},
	{0.25, "kill primary", killPrimary},
	{0.4, "kill owner", killOwner},
	{0.3, "isolate leader", isolateLeader},
	{0.15, "lossy links", injectLoss(lossRate)},
	{0.05, "change configuration", changeConfiguration},
	{0.5, "isolate primary", isolatePrimary},
}

const combinedFaultCount = 3

// scenarioNamed returns the scenario with a name. The seed determines the faults of the scenario
// "combined".
func scenarioNamed(name string, seed uint64) (scenario, error) {
	for _, s := range scenarios {
		if s.name == name {
			return s, nil
		}
	}
	if name != combinedName {
		return scenario{}, fmt.Errorf("unknown scenario %q, see -list", name)
	}
	s := scenario{name: combinedName}
	rng := rand.New(rand.NewPCG(seed, 3))
	for _, i := range rng.Perm(len(combinableFaults))[:combinedFaultCount] {
		s.faults = append(s.faults, combinableFaults[i])
	}
	return s, nil
}

const (
	combinedName        = "combined"
	combinedDescription = "three faults drawn from the seed"
)

// isHeavyReader reports whether the labels are those of a team that reads heavily during the morning
// rush.
func isHeavyReader(labels map[string]string) bool {
	return labels["job"] == "review" || labels["job"] == "reports"
}

const (
	rushRate     = 1000 // statements/s of each heavy reader
	rushSessions = 40
)

// raiseReaderRates raises the rate limit of the heavy readers.
func raiseReaderRates(ctx context.Context, t *trial) error {
	err := t.cluster.Submit(ctx, "rush", func(catalog.Catalog) []catalog.Op {
		return []catalog.Op{{PutPolicy: &catalog.PutPolicy{Name: "rush", Policy: catalog.Policy{
			Priority: 50, Teams: "job in (review, reports)", Rate: rushRate, Burst: 2 * rushRate,
		}}}}
	})
	time.Sleep(catalogPropagationTime) // until all hosts have applied the change
	return err
}

func applyRushLoad(t *load.Team, labels map[string]string) {
	if isHeavyReader(labels) {
		t.Sessions = rushSessions
		t.Mix = load.Mix{Reads: 0.97, Bookings: 0.01, Transactions: 0.01}
	}
}

// applyNoisyLoad makes one small team of each profile send noisyRateFactor times its rate limit.
func applyNoisyLoad(t *load.Team, _ map[string]string) {
	if t.Name == "accounts" || t.Name == "billing" {
		t.Rate *= noisyRateFactor / baseLoadFraction
		t.Sessions = 2 * largeSessions
	}
}
