//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// line is a message of the line protocol.
type line struct{ word, rest string }

const maxLineBytes = 1 << 20

func readLine(r *bufio.Reader) (line, error) {
	text, err := r.ReadString('\n')
	if err != nil {
		return line{}, err
	}
	text, ok := strings.CutSuffix(text, "\r\n")
	if !ok {
		return line{}, errors.New("line without CR LF")
	}
	word, rest, _ := strings.Cut(text, " ")
	return line{word, rest}, nil
}

// answer is the response to a QUERY.
type answer struct {
	rows            []string
	signature, code string
	text            string
	state, position string
}

// ok reports whether the statement succeeded.
func (a answer) ok() bool { return a.code == "" }

// session is a client's connection to the system.
type session struct {
	conn net.Conn
	r    *bufio.Reader
}

// openSession connects to a frontend and starts a session.
func openSession(addr, database, key string) (*session, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, key); err != nil {
		s.close()
		return nil, err
	}
	m, err := readLine(s.r)
	if err == nil && m.word != "READY" {
		err = fmt.Errorf("START: %s %s", m.word, m.rest)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// query sends a statement and reads its response. An error means that the connection is broken.
func (s *session) query(id, text string, timeout time.Duration) (answer, error) {
	_ = s.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := s.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		m, err := readLine(s.r)
		if err != nil {
			return a, err
		}
		switch m.word {
		case "ROW":
			a.rows = append(a.rows, m.rest)
		case "COMPLETE":
			a.signature = m.rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(m.rest, " ")
		case "READY":
			a.state, a.position, _ = strings.Cut(m.rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unexpected %s", m.word)
		}
	}
}

func (s *session) close() { _ = s.conn.Close() }

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
