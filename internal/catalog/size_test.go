package catalog

import (
	"fmt"
	"testing"

	"github.com/citronrun/citronrun/internal/wire"
)

// BenchmarkSize reports the encoded size of a catalog in bytes per team, team with a key, policy and
// service. Names have 12 bytes, and each team and service has two labels.
func BenchmarkSize(b *testing.B) {
	const objects = 1000
	labels := map[string]string{"place": "cardiff", "job": "desk"}
	key := Key{StoredKey: make([]byte, 32), ServerKey: make([]byte, 32)}
	team := Team{Labels: labels, Salt: make([]byte, 16), Iterations: 4096}
	kinds := map[string]func(c *Catalog, name string){
		"team": func(c *Catalog, name string) { c.Teams[name] = team },
		"team_with_key": func(c *Catalog, name string) {
			t := team
			t.Keys = map[string]Key{"key-1": key}
			c.Teams[name] = t
		},
		"policy": func(c *Catalog, name string) {
			c.Policies[name] = Policy{Teams: "job=desk", Services: "place=cardiff", Reads: ReadsSession, Share: 2, Rate: 500, Burst: 1000}
		},
		"service": func(c *Catalog, name string) {
			c.Services[name] = Service{Labels: labels, Databases: 3, Slots: 2, Connections: 28}
		},
	}
	for kind, add := range kinds {
		b.Run(kind, func(b *testing.B) {
			for range b.N {
				c := emptyCatalog()
				for i := range objects {
					add(&c, fmt.Sprintf("object-%05d", i))
				}
				data, err := wire.Marshal(c)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data))/objects, "bytes/object")
			}
		})
	}
}
