package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func deployment(version uint64, change func(*Deployment)) *Deployment {
	d := &Deployment{
		Version:  version,
		Routes:   []Route{{Name: "r", Database: "db", Service: "s", Timeout: time.Second}},
		Services: []DeployedService{{Name: "s", Connections: 16, SyncReplicas: 1}},
		Teams:    []DeployedTeam{{Name: "t", Keys: []KeyDigest{DigestKey("k")}, Rate: 10, Burst: 10}},
		Source:   []byte("source"),
	}
	if change != nil {
		change(d)
	}
	return d
}

// Guards against a deployment that is replaced by an older version or by different content with the same
// version, and against a resend that is refused.
func TestHighestVersionWins(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	put := func(d *Deployment) Result { return m.Apply(Change{Deployment: d}) }
	is.Equal(put(deployment(7, nil)), Result{Code: CodeAccepted, Revision: 1})
	is.Equal(put(deployment(7, nil)).Code, CodeAccepted) // resend
	is.Equal(put(deployment(7, func(d *Deployment) { d.Teams = nil })).Code, CodeAccepted)
	is.Equal(len(m.Catalog().Deployment.Teams), 1) // the first content is kept
	is.Equal(put(deployment(5, nil)), Result{Code: CodeAccepted, Revision: 1})
	is.Equal(m.Catalog().Deployment.Version, uint64(7))
	is.Equal(put(deployment(12, nil)), Result{Code: CodeAccepted, Revision: 2})
	data, err := m.Encode()
	is.NoErr(err)
	restored, err := DecodeMachine(data)
	is.NoErr(err)
	is.Equal(restored.Catalog().Deployment, m.Catalog().Deployment)
}

// Guards against an invalid deployment that is accepted, including one with an old version, which would
// have no effect.
func TestInvalidDeployments(t *testing.T) {
	for name, change := range map[string]func(*Deployment){
		"unknown service": func(d *Deployment) { d.Routes[0].Service = "x" },
		"no timeout":      func(d *Deployment) { d.Routes[0].Timeout = 0 },
		"duplicate route": func(d *Deployment) { d.Routes = append(d.Routes, d.Routes[0]) },
		"shared key": func(d *Deployment) {
			d.Teams = append(d.Teams, DeployedTeam{Name: "u", Keys: d.Teams[0].Keys})
		},
		"duplicate team":    func(d *Deployment) { d.Teams = append(d.Teams, d.Teams[0]) },
		"duplicate service": func(d *Deployment) { d.Services = append(d.Services, d.Services[0]) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMachine()
			is.Equal(m.Apply(Change{Deployment: deployment(7, nil)}).Code, CodeAccepted)
			for _, version := range []uint64{3, 7, 9} {
				is.Equal(m.Apply(Change{Deployment: deployment(version, change)}).Code, CodeInvalid)
			}
			is.Equal(m.Catalog().Deployment.Version, uint64(7))
		})
	}
}

// Guards against a key that is valid after it was removed from the deployment, and against rate limits of the
// deployment's teams that are not applied.
func TestIndex(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	m.Apply(Change{Deployment: deployment(7, nil)})
	snap, err := NewSnapshot(m.Catalog())
	is.NoErr(err)
	team, ok := snap.Deployment().TeamOf(DigestKey("k"))
	is.True(ok)
	is.Equal(team, "t")
	rate, burst := snap.RateLimit("t")
	is.Equal([2]float64{rate, burst}, [2]float64{10, 10})
	m.Apply(Change{Deployment: deployment(8, func(d *Deployment) { d.Teams[0].Keys = nil })})
	snap, err = NewSnapshot(m.Catalog())
	is.NoErr(err)
	_, ok = snap.Deployment().TeamOf(DigestKey("k"))
	is.True(!ok)
}
