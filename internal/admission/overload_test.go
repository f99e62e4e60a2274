package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load: 20 uneven teams want 1.6 times what a target can serve, and wait 100 ms at most. Guards against requests that are admitted,
// held and then refused, and against slots that are idle because too much is refused.
func TestOverloadHoldsFewInVain(t *testing.T) {
	is := is.New(t)
	const slots, length, startWithin = 5, 60 * time.Second, 100 * time.Millisecond
	const meanServiceTime = 10 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, 2))
	exponential := func(mean time.Duration) time.Duration { return time.Duration(rnd.ExpFloat64() * float64(mean)) }
	q := NewQueue(Config{})
	q.SetTarget("a", slots, 100)
	type running struct {
		endsAt time.Time
		id     uint64
	}
	var inService []running
	teams, leaveAt := map[uint64]string{}, map[uint64]time.Time{}
	served, refused, inVain := 0, 0, 0
	now, arrivesAt := epoch, epoch
	for id := uint64(0); now.Sub(epoch) < length; {
		next, ends := arrivesAt, -1
		for i, r := range inService {
			if r.endsAt.Before(next) {
				next, ends = r.endsAt, i
			}
		}
		for waiting, at := range leaveAt {
			if at.Before(next) && q.Cancel(waiting) {
				inVain++
				delete(leaveAt, waiting)
			}
		}
		now = next
		if ends >= 0 {
			ended := inService[ends].id
			inService = append(inService[:ends], inService[ends+1:]...)
			q.Finish(now, ended)
			q.ReleaseConn("a", teams[ended])
		} else {
			arrivesAt = now.Add(exponential(meanServiceTime / slots * 10 / 16))
			id++
			teams[id] = fmt.Sprint(int(20 * rnd.Float64() * rnd.Float64()))
			if err := q.Enqueue(now, Request{ID: id, Target: "a", Team: teams[id], Deadline: now.Add(AdmitWithin(startWithin))}); err != nil {
				refused++
			} else {
				leaveAt[id] = now.Add(startWithin)
			}
		}
		for _, granted := range q.Grant(now) {
			served++
			delete(leaveAt, granted)
			inService = append(inService, running{now.Add(exponential(meanServiceTime)), granted})
		}
	}
	t.Logf("served %d, refused at once %d, held in vain %d", served, refused, inVain)
	is.True(float64(served) > 0.98*slots*length.Seconds()/meanServiceTime.Seconds())
	is.True(inVain*10 < served+refused+inVain) // fewer than one in ten
}
