package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/citronrun/citronrun/bench/internal/load"
	"github.com/citronrun/citronrun/internal/catalog"
)

// scenario is a load and a table of timed faults.
type scenario struct {
	name, about string
	roaming     bool
	graceful    bool // no request may be interrupted
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

const noisyFactor = 5

var scenarios = []scenario{
	{name: "steady", about: "usual load, no faults"},
	{name: "morning-rush", about: "inspectors or reports teams read heavily", before: raiseReaders, shape: readHeavily},
	{name: "noisy-team", about: "one team at 5 times its rate", shape: noisyTeam},
	{name: "lagging-replicas", about: "replicas 1 to 3 s behind", faults: []fault{{0.1, "lag", lagReplicas}}},
	{name: "primary-killed", about: "the primary of the first service is killed", faults: []fault{{0.3, "kill primary", killPrimary}}},
	{name: "primary-isolated", about: "the primary of the first service answers nobody for a while", faults: []fault{{0.3, "isolate primary", isolatePrimary}}},
	{name: "entry-killed", about: "SIGKILL of the owner of the first service", faults: []fault{{0.3, "kill owner", killOwner}}},
	{name: "control-isolated", about: "the control leader is cut off for the rest of the run", faults: []fault{{0.3, "isolate leader", isolateLeader}}},
	{name: "roaming", about: "each session reconnects to another host after every write", roaming: true},
	{name: "key-withdrawn", about: "the key of one team is withdrawn", faults: []fault{{0.3, "withdraw key", withdrawKey}}},
	{name: "rolling-restart", about: "SIGTERM and restart of each entry host in turn", graceful: true, faults: []fault{{0.1, "restart hosts", restartHosts}}},
	{name: "config-churn", about: "labels and policies change every 200 ms through different hosts", faults: []fault{{0.05, "change configuration", changeConfiguration}}},
	{name: "lossy-link", about: "jitter and 2% loss between hosts", faults: []fault{{0.05, "lossy links", loseWith(lossShare)}}},
}

// combinable are faults that the scenario combined draws from.
var combinable = []fault{
	{0.1, "lag", lagReplicas},
	{0.25, "kill primary", killPrimary},
	{0.4, "kill owner", killOwner},
	{0.3, "isolate leader", isolateLeader},
	{0.15, "lossy links", loseWith(lossShare)},
	{0.05, "change configuration", changeConfiguration},
	{0.5, "isolate primary", isolatePrimary},
}

const combinedFaults = 3

// scenarioNamed returns a scenario; the seed draws the faults of combined.
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
	for _, i := range rng.Perm(len(combinable))[:combinedFaults] {
		s.faults = append(s.faults, combinable[i])
	}
	return s, nil
}

const (
	combinedName  = "combined"
	combinedAbout = "three faults drawn from the seed"
)

// heavyReaders reports whether a team reads heavily in the morning.
func heavyReaders(labels map[string]string) bool {
	return labels["job"] == "review" || labels["job"] == "reports"
}

const (
	rushRate     = 1000 // statements/s of each heavily reading team
	rushSessions = 40
)

// raiseReaders raises the rate of the teams that read heavily.
func raiseReaders(ctx context.Context, t *trial) error {
	err := t.cluster.Submit(ctx, "rush", func(catalog.Catalog) []catalog.Op {
		return []catalog.Op{{PutPolicy: &catalog.PutPolicy{Name: "rush", Policy: catalog.Policy{
			Priority: 50, Teams: "job in (review, reports)", Rate: rushRate, Burst: 2 * rushRate,
		}}}}
	})
	time.Sleep(settleTime) // until all hosts have it
	return err
}

func readHeavily(t *load.Team, labels map[string]string) {
	if heavyReaders(labels) {
		t.Sessions = rushSessions
		t.Mix = load.Mix{Reads: 0.97, Bookings: 0.01, Transactions: 0.01}
	}
}

// noisyTeam makes the first small team send more than it may.
func noisyTeam(t *load.Team, _ map[string]string) {
	if t.Name == "accounts" || t.Name == "billing" {
		t.Rate *= noisyFactor / usualLoad
		t.Sessions = 2 * largeSessions
	}
}
