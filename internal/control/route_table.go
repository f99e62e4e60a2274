package control

import (
	"cmp"
	"slices"

	"github.com/citronrun/citronrun/internal/pack"
	"github.com/citronrun/citronrun/internal/wire"
)

// routeTable holds the routes to all targets and the version at which each of them last changed, so that a host that
// knows an earlier version gets only the changes. A table is valid for one leadership.
type routeTable struct {
	version   uint64             // increases with each change; 0: never updated
	routes    []wire.TargetRoute // sorted by target
	changedAt map[string]uint64  // by target: version of the last change or of the removal
	encoded   []byte             // compressed CBOR of routes; nil until it is needed
}

// encode returns the compressed CBOR of all routes. It is computed once for each version: after a change of leader every
// host needs it.
func (t *routeTable) encode() ([]byte, error) {
	if t.encoded != nil {
		return t.encoded, nil
	}
	data, err := wire.Marshal(t.routes)
	if err == nil {
		t.encoded, err = pack.Compress(data)
	}
	return t.encoded, err
}

func newRouteTable() *routeTable { return &routeTable{changedAt: map[string]uint64{}} }

// update replaces the routes, which are sorted by target. It starts a new version if a route differs, if force is set,
// or if it is the first update.
func (t *routeTable) update(routes []wire.TargetRoute, force bool) {
	if t.version > 0 && !force && slices.Equal(routes, t.routes) {
		return
	}
	t.version++
	t.encoded = nil
	old := t.routes
	for _, r := range routes {
		i, found := t.find(r.Target)
		if !found || old[i] != r {
			t.changedAt[r.Target] = t.version
		}
	}
	t.routes = routes
	for _, r := range old {
		if _, found := t.find(r.Target); !found {
			t.changedAt[r.Target] = t.version
		}
	}
}

// since returns the routes that were added or changed after a version, and the targets whose route was removed.
func (t *routeTable) since(version uint64) (changed []wire.TargetRoute, removed []string) {
	for target, at := range t.changedAt {
		if at <= version {
			continue
		}
		if i, found := t.find(target); found {
			changed = append(changed, t.routes[i])
		} else {
			removed = append(removed, target)
		}
	}
	return changed, removed
}

func (t *routeTable) find(target string) (int, bool) {
	return slices.BinarySearchFunc(t.routes, target, func(r wire.TargetRoute, name string) int { return cmp.Compare(r.Target, name) })
}
