package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// session is one session of a client.
type session struct {
	conn net.Conn
	r    *bufio.Reader
}

func (w *world) open(addr, database string) (*session, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: c, r: bufio.NewReaderSize(c, 1<<16)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "START %s %s\r\n", database, key)
	line, err := s.r.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("START is answered with %q", strings.TrimSpace(line))
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return s, nil
}

// query runs a statement. result is COMPLETE or the code of the error; err means that there is no complete answer.
func (s *session) query(id, text string) (rows []string, result string, err error) {
	_ = s.conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return nil, "", err
	}
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			return nil, "", err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			rows = append(rows, rest)
		case "COMPLETE":
			result = word
		case "ERROR":
			result, _, _ = strings.Cut(rest, " ")
		case "READY":
			return rows, result, nil
		}
	}
}

// write runs single writes, one after the other, until the case is over. It records which are acknowledged.
func (w *world) write(n int) {
	var s *session
	for i := 0; ; i++ {
		w.mu.Lock()
		over := w.over
		w.mu.Unlock()
		if over {
			return
		}
		if s == nil {
			var err error
			if s, err = w.open(w.fronts[(n+i)%len(w.fronts)].frontAddr, databaseNames[0][kindPrimary]); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%04x%08x", n, i)
		_, result, err := s.query(id, fmt.Sprintf("WRITE item%d v%d", n, i))
		switch {
		case err != nil:
			w.note("write %s: no answer: %v", id, err)
			_ = s.conn.Close()
			s = nil
		case result == "COMPLETE":
			w.mu.Lock()
			w.acknowledged[id] = time.Now()
			w.noteLocked("write %s acknowledged", id)
			w.mu.Unlock()
		default:
			w.note("write %s: %s", id, result)
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// acknowledgedCount returns the number of acknowledged commits.
func (w *world) acknowledgedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acknowledged)
}

// awaitWrites waits until n commits are acknowledged.
func (w *world) awaitWrites(n int) {
	for w.acknowledgedCount() < n {
		if time.Since(w.began) > 60*time.Second {
			w.fail(fmt.Errorf("only %d commits are acknowledged", w.acknowledgedCount()))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// expect records to which service a statement goes.
func (w *world) expect(id string, s *service) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sentTo[id] = s
}

// checkRun checks that a database runs a statement that was sent to its service. Statements that no client has announced with
// expect aren't checked.
func (w *world) checkRun(d *database, id, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.sentTo[id]; s != nil && s != d.svc {
		w.noteLocked("%s of service %s runs %s %s, which was sent to a route of service %s", d.id, d.svc.name, id, text, s.name)
		w.foreign++
		if w.foreign == 1 {
			w.broken = append(w.broken, fmt.Sprintf("ROUTE: %s of service %s runs %s %s, which was sent to a route of service %s", d.id, d.svc.name, id, text, s.name))
		}
	}
}
