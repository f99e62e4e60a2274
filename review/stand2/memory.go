//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	deskSessions     = 10                    // at the primary, which has 16 connections
	viewSessions     = 20                    // at the two replicas
	crowdStatements  = 10                    // in a transaction, besides BEGIN and COMMIT
	crowdPause       = 30 * time.Millisecond // between two statements of a session
	crowdTime        = 60 * time.Second
	largeShapeBytes  = maxLineBytes - 200
	smallShapeBytes  = 16
	endsOfFault      = 3 // ends of a machine's processes in a day that count as a fault
	machinesOfFault  = 2 // machines on which that has to happen
	ordinaryInterval = 200 * time.Millisecond
	afterwards       = 15 * time.Second // within which an ordinary write has to be served after the crowd
)

// preparedMemory lets a crowd of clients prepare and execute statements of legal size, each with another shape.
func preparedMemory(w *world, trouble bool) (bool, error) {
	if err := w.start(3, 3); err != nil {
		return false, err
	}
	shape := smallShapeBytes
	if trouble {
		shape = largeShapeBytes
	}
	var served, refused atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range deskSessions + viewSessions {
		database := primaryName
		if i >= deskSessions {
			database = viewName
		}
		wg.Go(func() {
			for !isClosed(stop) {
				w.prepareAndExecute(fmt.Sprintf("crowd-%d", i), database, shape, stop)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		for !isClosed(stop) {
			if w.ordinaryWrite() {
				served.Add(1)
			} else {
				refused.Add(1)
			}
			time.Sleep(ordinaryInterval)
		}
	})
	deadline := time.Now().Add(crowdTime)
	for time.Now().Before(deadline) && !w.faulty() {
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	after := false
	for end := time.Now().Add(afterwards); !after && time.Now().Before(end); time.Sleep(ordinaryInterval) {
		after = w.ordinaryWrite()
	}
	for _, m := range w.machines {
		exceeded, ended := m.ends()
		w.rec.result("%s: %d processes over the memory of the machine, %d ended otherwise, peak %.0f MB", m.name, exceeded, ended, m.peak())
	}
	w.rec.result("ordinary writes: %d served, %d not; one served after the crowd: %v", served.Load(), refused.Load(), after)
	return w.faulty(), nil
}

// faulty reports whether the processes of two or more machines have ended by themselves three times or more.
func (w *world) faulty() bool {
	machines := 0
	for _, m := range w.machines {
		if exceeded, ended := m.ends(); exceeded+ended >= endsOfFault {
			machines++
		}
	}
	return machines >= machinesOfFault
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// randomFrontend returns the address of a frontend, as the platform chooses one for a new connection.
func (w *world) randomFrontend() string {
	fronts := w.fronts()
	return fronts[rand.IntN(len(fronts))].frontend()
}

func (w *world) ordinaryWrite() bool {
	s, err := openSession(w.randomFrontend(), primaryName, otherKey)
	if err != nil {
		return false
	}
	defer s.close()
	a, err := s.query(newID(), "WRITE ordinary data", 2*time.Second)
	return err == nil && a.ok()
}

// prepareAndExecute is one session of the crowd: transactions in which each statement is prepared, executed and
// deallocated before the next.
func (w *world) prepareAndExecute(who, database string, shapeBytes int, stop chan struct{}) {
	s, err := openSession(w.randomFrontend(), database, clientKey)
	if err != nil {
		return
	}
	defer s.close()
	send := func(text string) bool {
		id := newID()
		time.Sleep(crowdPause)
		a, err := s.query(id, text, 5*time.Second)
		if len(text) > 60 {
			text = fmt.Sprintf("%s... (%d bytes)", text[:60], len(text))
		}
		w.rec.add(who, "QUERY %s %s: %s%s %s, err %v", id, text, a.signature, a.code, a.state, err)
		return err == nil && a.ok()
	}
	for !isClosed(stop) {
		if !send("BEGIN READ") {
			return
		}
		for range crowdStatements {
			shape := newID() + strings.Repeat("x", shapeBytes)
			if !send("PREPARE p READ "+shape) || !send("EXECUTE p first") || !send("DEALLOCATE p") {
				return
			}
		}
		if !send("COMMIT") {
			return
		}
	}
}
