package agent

import "github.com/citronrun/citronrun/internal/catalog"

// revision returns the revision of a snapshot, or 0 if it is nil.
func revision(s *catalog.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.Revision()
}
