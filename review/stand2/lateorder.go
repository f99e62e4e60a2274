//go:build review

package main

import (
	"sync"
	"time"
)

const (
	platformSlowTime = 2800 * time.Millisecond // calls that arrive in this time get no response
	orderLateBy      = 4150 * time.Millisecond // such calls are carried out this much later; kinds: applied_late, 2 to 12 s
	replicaCutTime   = 5 * time.Second         // for_s of srv_cut in kinds
	crashTime        = 3 * time.Second         // for_s of srv_crash "primary" in the site file: up to 7
	timeAfterReturn  = 9 * time.Second
)

// lateOrder lets the primary crash while the platform is slow, and cuts the replica that was to be promoted off. The
// primary comes back at its address, with its log, before the order is carried out.
func lateOrder(w *world, trouble bool) (bool, error) {
	if err := w.start(3, 3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var acked []ackedWrite
	stop := make(chan struct{})
	var wg sync.WaitGroup
	w.write(stop, &wg, &mu, &acked)
	time.Sleep(quietTime)
	primary := w.group.databases[0]
	if trouble {
		w.group.mu.Lock()
		w.group.slowUntil = time.Now().Add(platformSlowTime)
		w.group.mu.Unlock()
		w.rec.add("platform", "answers no call for %v, and carries them out %v later", platformSlowTime, orderLateBy)
		primary.crash()
		time.Sleep(crashTime)
		if err := primary.restartAs(primary.id + "b"); err != nil {
			return false, err
		}
	} else {
		time.Sleep(crashTime)
	}
	time.Sleep(timeAfterReturn)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.rec.result("%d writes were acknowledged, %d promotions", len(acked), len(w.group.promotions))
	return w.group.lost(acked) > 0, nil
}

// promoteLate leaves a promotion order unanswered, to carry it out later. The first such order cuts the database that it
// names off from all machines of the system.
func (g *group) promoteLate(id string, token uint64, holder string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rec.add("platform", "promotion of %s with token %d by %s: no response yet", id, token, holder)
	time.AfterFunc(orderLateBy, func() { g.promote(id, token, holder) })
	for _, d := range g.databases {
		if d.id == id && d.cutUntil.IsZero() {
			d.cutUntil = time.Now().Add(replicaCutTime)
			g.rec.add(d.id, "is cut off from all machines for %v, but not from the other databases", replicaCutTime)
		}
	}
}

// isSlow reports whether calls to the platform get no response at present.
func (g *group) isSlow() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.slowUntil)
}

// awaitPath waits until the database is not cut off.
func (d *database) awaitPath() {
	d.group.mu.Lock()
	wait := time.Until(d.cutUntil)
	d.group.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
}

// restartAs starts the database again as a new incarnation with its log, at its address.
func (d *database) restartAs(id string) error {
	d.group.mu.Lock()
	d.id = id
	d.group.mu.Unlock()
	return d.restart(true)
}
