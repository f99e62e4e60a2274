//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	writers          = 4
	writeInterval    = 50 * time.Millisecond
	quietTime        = 3 * time.Second
	deafTime         = 6 * time.Second // largest for_s of replica_lag "deaf" in the site file: 6.5
	primaryDownTime  = 7 * time.Second // for_s of srv_crash "primary" in the site file
	replicaDownTime  = 3 * time.Second
	deafBeforeCrash  = 2 * time.Second
	timeAfterRestart = 8 * time.Second
)

// ackedWrite is a write that the system has acknowledged to a client.
type ackedWrite struct {
	id string
	at time.Time
}

// rebornReplica lets one replica receive nothing for a while. Meanwhile the primary and the other replica crash; the
// replica starts again under its id and holds nothing of before, the primary comes back later with its log.
func rebornReplica(w *world, trouble bool) (bool, error) {
	if err := w.start(3, 3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var acked []ackedWrite
	stop := make(chan struct{})
	var wg sync.WaitGroup
	w.write(stop, &wg, &mu, &acked)
	time.Sleep(quietTime)
	primary, reborn, behind := w.group.databases[0], w.group.databases[1], w.group.databases[2]
	if trouble {
		w.group.mu.Lock()
		behind.deafUntil = time.Now().Add(deafTime)
		w.group.mu.Unlock()
		w.rec.add(behind.id, "receives nothing for %v", deafTime)
		time.Sleep(deafBeforeCrash)
		primary.crash()
		reborn.crash()
		time.Sleep(replicaDownTime)
		if err := reborn.restart(false); err != nil {
			return false, err
		}
		time.Sleep(primaryDownTime - replicaDownTime)
		if err := primary.restart(true); err != nil {
			return false, err
		}
	} else {
		time.Sleep(deafBeforeCrash + primaryDownTime)
	}
	time.Sleep(timeAfterRestart)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.rec.result("%d writes were acknowledged, %d promotions", len(acked), len(w.group.promotions))
	return w.group.lost(acked) > 0, nil
}

// write starts clients that write until stop is closed, and collects the writes that were acknowledged.
func (w *world) write(stop chan struct{}, wg *sync.WaitGroup, mu *sync.Mutex, acked *[]ackedWrite) {
	for i := range writers {
		wg.Go(func() {
			for !isClosed(stop) {
				w.writeUntilError(fmt.Sprintf("writer-%d", i), stop, func(id string) {
					mu.Lock()
					defer mu.Unlock()
					*acked = append(*acked, ackedWrite{id, time.Now()})
				})
				time.Sleep(writeInterval)
			}
		})
	}
}

// writeUntilError writes in one session until a write fails or the session ends.
func (w *world) writeUntilError(who string, stop chan struct{}, acked func(id string)) {
	s, err := openSession(w.randomFrontend(), primaryName, clientKey)
	if err != nil {
		return
	}
	defer s.close()
	for !isClosed(stop) {
		id := newID()
		a, err := s.query(id, "WRITE item-"+who+" "+id, 2*time.Second)
		w.rec.add(who, "QUERY %s WRITE: %s %s %s %s, err %v", id, a.signature, a.code, a.text, a.position, err)
		if err != nil || !a.ok() {
			return
		}
		acked(id)
		time.Sleep(writeInterval)
	}
}

// lost returns the number of writes that were acknowledged before a promotion and are missing in the log of the database
// that was promoted.
func (g *group) lost(acked []ackedWrite) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0
	for _, p := range g.promotions {
		has := map[string]bool{}
		for _, e := range p.log {
			has[e.id] = true
		}
		n := 0
		for _, a := range acked {
			if a.at.Before(p.at) && !has[a.id] {
				n++
				if n <= 5 {
					g.rec.add("case", "write %s was acknowledged %.3f s before %s was promoted without it", a.id, p.at.Sub(a.at).Seconds(), p.id)
				}
			}
		}
		if n > 0 {
			g.rec.result("%d acknowledged writes are missing in the log of %s, which was promoted", n, p.id)
		}
		total += n
	}
	return total
}
