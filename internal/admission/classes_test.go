package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// classRun serves a queue of one team with one slot, for a while in which every class is refilled to a number of waiting
// requests, and returns the slot time by class and the longest wait of a request of class 0.
func classRun(policy Policy, waiting map[int]int, serviceTimes map[int]time.Duration) (used map[int]time.Duration, longest time.Duration) {
	q := NewQueue(Config{Policy: policy})
	q.SetTarget("a", 1, 10)
	now := epoch
	requests, arrivals, queued := map[uint64]Request{}, map[uint64]time.Time{}, map[int]int{}
	id := uint64(0)
	used = map[int]time.Duration{}
	for now.Sub(epoch) < 20*time.Second {
		for class, n := range waiting {
			for ; queued[class] < n; queued[class]++ {
				id++
				requests[id] = Request{ID: id, Target: "a", Team: "t", Share: float64(int(8) >> class), Class: class}
				arrivals[id] = now
				if err := q.Enqueue(now, requests[id]); err != nil {
					panic(err)
				}
			}
		}
		for _, granted := range q.Grant(now) {
			class := requests[granted].Class
			if class == 0 {
				longest = max(longest, now.Sub(arrivals[granted]))
			}
			queued[class]--
			now = now.Add(serviceTimes[class])
			used[class] += serviceTimes[class]
			q.Finish(now, granted)
			q.ReleaseConn("a", "t")
		}
	}
	return used, longest
}

// Load: a burst of one class of a team's requests, slower than the others. Guards against urgent requests that wait behind the
// burst in their own team's queue.
func TestBurstOfOneClassDelaysNoOther(t *testing.T) {
	is := is.New(t)
	serviceTimes := map[int]time.Duration{0: 3 * time.Millisecond, 2: 15 * time.Millisecond}
	waiting := map[int]int{0: 1, 2: 100}
	_, longest := classRun(Fair, waiting, serviceTimes)
	_, longestFIFO := classRun(FIFO, waiting, serviceTimes)
	t.Logf("longest wait of an urgent request: %v, %v with FIFO", longest, longestFIFO)
	is.True(longest <= 2*serviceTimes[2]) // the running request, and one of the share that the burst has
	is.True(longestFIFO > time.Second)
}

// Load: all classes of a team want more than the target can serve. Guards against a class that starves, or gets less than its
// share.
func TestClassesKeepTheirShares(t *testing.T) {
	is := is.New(t)
	serviceTimes := map[int]time.Duration{0: 3 * time.Millisecond, 1: 9 * time.Millisecond, 2: 15 * time.Millisecond}
	used, _ := classRun(Fair, map[int]int{0: 20, 1: 20, 2: 20}, serviceTimes)
	total := used[0] + used[1] + used[2]
	for class, share := range map[int]float64{0: 8. / 14, 1: 4. / 14, 2: 2. / 14} {
		is.True(used[class].Seconds() > 0.95*share*total.Seconds())
	}
}
