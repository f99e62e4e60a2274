package spill

import (
	"math"
	"time"
)

const (
	// shareWindow is the time over which the share of statements that leave a place is measured.
	shareWindow = 5 * time.Second
	// shareMinimum is the least number of statements from which a share says something.
	shareMinimum = 20
	// strongChange is the change of the share that an operator should see.
	strongChange = 0.25
)

// Share measures the share of the statements with a usable target at home that leave the place. The zero value is a share
// of 0.
type Share struct {
	since      time.Time
	all, left  int
	lastStrong float64 // share after the last strong change
}

// Record records a statement. At the end of a window it returns the share, and whether it differs strongly from the one
// after the last strong change.
func (s *Share) Record(now time.Time, left bool) (share float64, strong bool) {
	s.all++
	if left {
		s.left++
	}
	if now.Sub(s.since) < shareWindow {
		return 0, false
	}
	all := s.all
	share = float64(s.left) / float64(all)
	s.since, s.all, s.left = now, 0, 0
	if all < shareMinimum || math.Abs(share-s.lastStrong) < strongChange {
		return share, false
	}
	s.lastStrong = share
	return share, true
}
