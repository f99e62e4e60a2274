//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	namesMemoryMb   = 96 // of a frontend, lowered so that a small crowd suffices
	namesSessions   = 700
	namesPerSession = 4000
	namesAtOnce     = 20 // statements that a session sends ahead
	namesTime       = 80 * time.Second
)

// preparedNames lets a crowd of clients prepare many small statements, as sessions that stay open.
func preparedNames(w *world, trouble bool) (bool, error) {
	w.frontMb = namesMemoryMb
	if err := w.start(3, 3); err != nil {
		return false, err
	}
	names := 2
	if trouble {
		names = namesPerSession
	}
	var served, refused, prepared atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range namesSessions {
		wg.Go(func() {
			for !isClosed(stop) {
				w.prepareNames(fmt.Sprintf("crowd-%d", i), names, stop, &prepared)
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
	deadline := time.Now().Add(namesTime)
	for time.Now().Before(deadline) && !w.faulty() {
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	for _, m := range w.machines {
		exceeded, ended := m.ends()
		w.rec.result("%s: %d processes over the memory of the machine, %d ended otherwise, peak %.0f MB", m.name, exceeded, ended, m.peak())
	}
	w.rec.result("%d statements prepared; ordinary writes: %d served, %d not", prepared.Load(), served.Load(), refused.Load())
	return w.faulty(), nil
}

// prepareNames opens a session, prepares statements and keeps the session open.
func (w *world) prepareNames(who string, names int, stop chan struct{}, prepared *atomic.Int64) {
	s, err := openSession(w.randomFrontend(), primaryName, clientKey)
	if err != nil {
		return
	}
	defer s.close()
	r := bufio.NewReader(s.conn)
	for i := 0; i < names && !isClosed(stop); i += namesAtOnce {
		var out bytes.Buffer
		for j := range namesAtOnce {
			fmt.Fprintf(&out, "QUERY q PREPARE %x READ s\r\n", i+j)
		}
		_ = s.conn.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := s.conn.Write(out.Bytes()); err != nil {
			w.rec.add(who, "session ends after %d statements: %v", i, err)
			return
		}
		for range namesAtOnce {
			for {
				m, err := readLine(r)
				if err != nil || m.word == "ERROR" {
					w.rec.add(who, "session ends after %d statements: %s %s %v", i, m.word, m.rest, err)
					return
				}
				if m.word == "READY" {
					break
				}
			}
		}
		prepared.Add(namesAtOnce)
	}
	w.rec.add(who, "has prepared %d statements and stays idle", names)
	for !isClosed(stop) {
		_ = s.conn.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := r.ReadByte(); err != nil && !isTimeout(err) {
			w.rec.add(who, "session ends: %v", err)
			return
		}
	}
}
