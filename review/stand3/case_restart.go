package main

import "time"

// restartCase: a replica is cut off from the machines of the system, crashes behind the cut and starts again under its id,
// without its log, while the other replica receives nothing. The primary crashes before the first one has received all of the
// log again. Then the cut heals.
func restartCase(w *world, trouble bool) {
	w.deploy(5, 4, "p", "a", "r")
	w.configure(1)
	p, a, r := w.svc.dbs[0], w.svc.dbs[1], w.svc.dbs[2]
	for n := range 4 {
		go w.write(n)
	}
	w.awaitWrites(400)
	if !trouble {
		time.Sleep(15 * time.Second)
		return
	}
	w.note("replica a receives nothing from now on")
	a.set(func() { a.deaf = true })
	deafSince := time.Now()
	w.awaitWrites(w.acknowledgedCount() + 100)
	w.note("replica r is cut off from all machines of the system")
	r.set(func() { r.cut = true })
	cutSince := time.Now()
	time.Sleep(200 * time.Millisecond)
	r.crash()
	time.Sleep(300 * time.Millisecond)
	r.perTick = 1 // 200 commits a second, while it receives the log again
	r.start(false)
	time.Sleep(200 * time.Millisecond)
	p.crash()
	crashedAt := time.Now()
	// Three heartbeats of the cut replica have had no response within a second, and it has just begun to send the fourth.
	time.Sleep(2850 * time.Millisecond)
	w.note("the cut heals after %v", time.Since(cutSince).Round(time.Millisecond))
	r.set(func() { r.cut = false })
	time.Sleep(1500 * time.Millisecond)
	w.note("replica a receives again after %v", time.Since(deafSince).Round(time.Millisecond))
	a.set(func() { a.deaf = false })
	time.Sleep(time.Until(crashedAt.Add(6500 * time.Millisecond)))
	p.start(true)
	time.Sleep(5 * time.Second)
}
