package history

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// configHistory generates a correct history of changes by several operators, with lost responses and
// resends. The first two changes are accepted.
func configHistory(seed uint64) []ConfigEvent {
	rng := rand.New(rand.NewPCG(seed, 0))
	revision := uint64(7)
	var events []ConfigEvent
	for i := range 60 {
		now := time.Duration(i+1) * 10 * ms
		e := ConfigEvent{
			Operator: fmt.Sprintf("operator%d", i%4),
			ChangeID: fmt.Sprintf("change%d", i),
			Base:     revision,
			Start:    now - time.Duration(rng.IntN(30))*ms,
			End:      now + time.Duration(rng.IntN(30))*ms,
		}
		if i > 1 {
			e.Base -= uint64(rng.IntN(2))
		}
		switch {
		case e.Base != revision:
			e.Result, e.Revision = ConfigConflict, revision
		case i > 1 && rng.IntN(4) == 0:
			e.Result = ConfigInvalid
		default:
			revision++
			e.Result, e.Revision = ConfigAccepted, revision
		}
		if i > 1 && rng.IntN(4) == 0 {
			unanswered := e
			unanswered.Result, unanswered.Revision = ConfigUnknown, 0
			events = append(events, unanswered)
			e.Start, e.End = unanswered.End+ms, unanswered.End+5*ms
		}
		if e.Result == ConfigConflict && rng.IntN(10) == 0 {
			continue // not recorded; it has no effect
		}
		events = append(events, e)
	}
	return events
}

// Guards against false alarms for conflicts, lost responses and resends.
func TestConfigCorrectHistoryPasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if ok, detail := CheckConfig(configHistory(rapid.Uint64().Draw(t, "seed"))); !ok {
			t.Fatal(detail)
		}
	})
}

// Guards against missed violations: accepted changes that contradict each other, and responses that
// contradict an earlier one.
func TestConfigMutationsAreFound(t *testing.T) {
	mutations := map[string]func(events []ConfigEvent) []ConfigEvent{
		"two accepted on one base": func(events []ConfigEvent) []ConfigEvent {
			e := events[0]
			e.ChangeID = "other"
			return append(events, e)
		},
		"a resend accepted again": func(events []ConfigEvent) []ConfigEvent {
			e := events[0]
			e.Start, e.End, e.Revision = time.Minute, time.Minute+ms, e.Revision+50
			return append(events, e)
		},
		"an id accepted on two bases": func(events []ConfigEvent) []ConfigEvent {
			events[1].ChangeID = events[0].ChangeID
			return events
		},
		"a conflict on the current base": func(events []ConfigEvent) []ConfigEvent {
			e := events[0]
			e.ChangeID, e.Result, e.Revision = "other", ConfigConflict, e.Base
			return append(events, e)
		},
		"an accepted change reverted": func(events []ConfigEvent) []ConfigEvent {
			e := events[0]
			e.ChangeID, e.Base, e.Result, e.Revision = "other", e.Base-3, ConfigConflict, e.Base
			e.Start, e.End = time.Minute, time.Minute+ms
			return append(events, e)
		},
	}
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				events := configHistory(rapid.Uint64().Draw(t, "seed"))
				ok, detail := CheckConfig(mutate(events))
				is := is.New(t)
				is.True(!ok)
				is.True(detail != "")
			})
		})
	}
}
