package gateway

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
)

// Guards against sessions that hold ten times the memory that they are charged for, so that many short prepared statements or
// settings take all memory of a host.
func TestStateBytesCoverMemory(t *testing.T) {
	line := func(i int) (name, body string) { // parts of one message
		text := fmt.Sprintf("QUERY %016x PREPARE s%d READ q%d", i, i, i)
		name, body, _ = strings.Cut(text[strings.Index(text, "s"):], " ")
		return name, body
	}
	for state, add := range map[string]func(s *Session, i int) error{
		"prepared": func(s *Session, i int) error {
			name, body := line(i)
			s.prepare(name, statement.Definition{Kind: statement.Read, Body: body})
			return nil
		},
		"settings": func(s *Session, i int) error {
			name, body := line(i)
			if i >= maxSettings {
				name = "s0"
			}
			return s.set(name, body)
		},
	} {
		t.Run(state, func(t *testing.T) {
			is := is.New(t)
			before := heapBytes()
			var sessions []*Session
			charged := int64(0)
			for range 20 {
				s := &Session{prepared: map[string]statement.Definition{}}
				for i := range 1200 {
					is.NoErr(add(s, i))
				}
				sessions = append(sessions, s)
				charged += s.StateBytes()
			}
			held := heapBytes() - before
			runtime.KeepAlive(sessions)
			t.Logf("held %d bytes, charged %d", held, charged)
			is.True(held <= charged)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a charge that drifts from what the session has, as statements are replaced and removed.
func TestStateBytesFollowChanges(t *testing.T) {
	is := is.New(t)
	s := &Session{prepared: map[string]statement.Definition{}}
	s.prepare("a", statement.Definition{Body: "1234"})
	s.prepare("a", statement.Definition{Body: "12"})
	is.Equal(s.StateBytes(), int64(3+StateEntryBytes))
	s.deallocate("b")
	s.deallocate("a")
	is.Equal(s.StateBytes(), int64(0))
	is.NoErr(s.set("a", "1234"))
	is.NoErr(s.set("a", "12"))
	is.Equal(s.StateBytes(), int64(3+StateEntryBytes))
}

// Guards against a session whose settings fill each of its statements and each connection to a target.
func TestTooManySettings(t *testing.T) {
	is := is.New(t)
	s := &Session{}
	for i := range maxSettings {
		is.NoErr(s.set(fmt.Sprint("s", i), "1"))
	}
	is.NoErr(s.set("s0", "2"))
	err := s.set("another", "1")
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(len(s.settings), maxSettings)
}
