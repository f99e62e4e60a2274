package agent

import (
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/wire"
)

// Snapshot is the configuration at one revision. It is immutable.
type Snapshot = catalog.Catalog

func decodeSnapshot(data []byte) (*Snapshot, error) {
	var c Snapshot
	if err := wire.Unmarshal(data, &c); err != nil {
		return nil, err
	}
	return &c, nil
}

// revision returns the revision of a snapshot, 0 without one.
func revision(s *Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.Revision
}
