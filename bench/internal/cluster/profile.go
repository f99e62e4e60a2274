package cluster

import (
	"fmt"
	"time"
)

// Profile describes one of the deployments in docs/design.md.
type Profile struct {
	Name        string
	Places      []string
	Delay       time.Duration // one way, between places
	Connections int           // per database
	ConnectTime time.Duration
}

// Sizes, delays and key ID that all profiles share.
const (
	controlHosts        = 3
	entryHosts          = 7
	databasesPerService = 3
	slotsPerDatabase    = 2
	serviceTime         = time.Millisecond
	localDelay          = 100 * time.Microsecond // one way, within a place
	callerDelay         = time.Millisecond       // one way
	keyID               = "bench"
)

var profiles = []Profile{
	{
		Name:        "regie",
		Places:      []string{"marche-central", "grand-standing", "mbour-route", "hotel-ville"},
		Delay:       4 * time.Millisecond,
		Connections: 16,
		ConnectTime: 12 * time.Millisecond,
	},
	{
		Name:        "prys",
		Places:      []string{"Cardiff", "Aberystwyth", "Bangor"},
		Delay:       3 * time.Millisecond,
		Connections: 28,
		ConnectTime: 27 * time.Millisecond,
	},
}

// ProfileNamed returns the profile with a name.
func ProfileNamed(name string) (Profile, error) {
	for _, p := range profiles {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, fmt.Errorf("unknown profile %q, want regie or prys", name)
}
