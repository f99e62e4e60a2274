package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/wire"
)

// Guards against a cold target that its holder takes for a warm one, because its registration is old, or no registration has
// reached this leader, and against limits in services that have none.
func TestColdness(t *testing.T) {
	is := is.New(t)
	r := newPlacesTest(t)
	r.ColdTolerance = ColdTolerance{Factor: 1.5, Statements: 5}
	limited, unlimited := &catalog.DeployedService{Name: "s", ColdRate: 10}, &catalog.DeployedService{Name: "s"}
	is.Equal(r.coldness(r.leader, r.clock.Now(), limited, "a"), wire.Coldness{Limit: 15}) // three quarters of 20, and not known
	r.leader.registrations["a"] = &registration{Registration: wire.Registration{WarmupRemaining: 3 * time.Second}, receivedAt: r.clock.Now()}
	r.clock.Advance(time.Second)
	is.Equal(r.coldness(r.leader, r.clock.Now(), limited, "a"), wire.Coldness{Limit: 15, Known: true, HeardAgo: time.Second, Remaining: 2 * time.Second})
	is.Equal(r.coldness(r.leader, r.clock.Now(), unlimited, "a").Limit, 0)
	is.Equal(ColdTolerance{}.limit(0.5), 1)   // a limit of 0 would be none
	is.Equal(ColdTolerance{}.limit(1e300), 0) // the holder keeps a time for each statement of the limit
}
