package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/bench/internal/history"
)

// Guards against gaps at the start or the end of a run that go undetected.
func TestLongestGap(t *testing.T) {
	is := is.New(t)
	is.Equal(longestGap([]time.Duration{3, 9}, 10), time.Duration(6))
	is.Equal(longestGap([]time.Duration{7, 9}, 10), time.Duration(7))
	is.Equal(longestGap([]time.Duration{2}, 10), time.Duration(8))
}

// Guards against a team that counts as poorly served because its demand exceeds its rate.
func TestWorstTeamShareIsOfEntitlement(t *testing.T) {
	is := is.New(t)
	events := []history.Event{
		{Team: "noisy", Outcome: history.OK, Statements: 30},
		{Team: "noisy", Outcome: history.NotRun, Statements: 70},
		{Team: "quiet", Outcome: history.OK, Statements: 9},
	}
	limits := map[string]history.Limit{"noisy": {Rate: 2, Burst: 10}, "quiet": {Rate: 100}}
	var r Result
	r.findWorstTeamShare(events, map[string]float64{"noisy": 100, "quiet": 10}, limits, 10*time.Second)
	is.Equal(r.WorstTeam, "quiet")
	is.Equal(r.WorstTeamShare, 0.9)
}

// Guards against combined scenarios that differ between two runs with the same seed.
func TestCombinedFaultsDependOnSeedOnly(t *testing.T) {
	is := is.New(t)
	a, err := scenarioNamed(combinedName, 5)
	is.NoErr(err)
	b, err := scenarioNamed(combinedName, 5)
	is.NoErr(err)
	is.Equal(len(a.faults), combinedFaultCount)
	for i := range a.faults {
		is.Equal(a.faults[i].name, b.faults[i].name)
	}
	_, err = scenarioNamed("unknown", 1)
	is.True(err != nil)
}

// Guards against requests that run with a withdrawn key and go undetected.
func TestUseOfWithdrawnKeyIsReported(t *testing.T) {
	is := is.New(t)
	tr := &trial{keyWithdrawnOffset: map[string]time.Duration{"a": time.Second}}
	late := time.Second + withdrawalBound + 1
	tr.checkWithdrawnKeys([]history.Event{
		{Team: "a", Start: time.Second, Outcome: history.OK},
		{Team: "b", Start: late, Outcome: history.OK},
		{Team: "a", Start: late, Outcome: history.NotRun},
	})
	is.Equal(len(tr.failures), 0)
	tr.checkWithdrawnKeys([]history.Event{{Team: "a", Start: late, Outcome: history.OK}})
	is.Equal(len(tr.failures), 1)
}

// Guards against requests interrupted by a graceful shutdown that go undetected, and against counting
// a transaction once per row.
func TestInterrupted(t *testing.T) {
	is := is.New(t)
	is.Equal(countInterrupted([]history.Event{
		{Outcome: history.OK},
		{Outcome: history.NotRun, Code: "57P01"},
		{Outcome: history.Denied, Code: "23505"},
		{Outcome: history.MayHaveRun, Code: "08007"},
		{Outcome: history.Denied, Code: "08007", Statements: 2},
		{Outcome: history.Denied, Code: "08007", Statements: -1},
	}), 2)
}
