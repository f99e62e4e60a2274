package holder

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/statement"
)

// discardConn is a Conn that keeps nothing.
type discardConn struct{ Conn }

func (discardConn) Set(context.Context, string, string) error           { return nil }
func (discardConn) Prepare(context.Context, statement.Definition) error { return nil }
func (discardConn) Reset(context.Context) error                         { return nil }

// Guards against a holder that runs out of memory, because its connections to targets keep the prepared statements and settings
// of sessions that have ended: nobody is charged for them.
func TestConnectionsKeepNoLargeTexts(t *testing.T) {
	is := is.New(t)
	const size = 256 << 10
	text := func(i int) string { return fmt.Sprint(i) + strings.Repeat("x", size) }
	var conns []*conn
	before := heapBytes()
	for i := range 16 {
		c := newConn(discardConn{}, "t")
		conns = append(conns, c)
		read := statement.Statement{Kind: statement.Read, Prepared: &statement.Definition{Kind: statement.Read, Body: text(i)}}
		is.NoErr(c.applySession(t.Context(), map[string]string{"a": text(i)}, read))
		is.NoErr(c.applySession(t.Context(), map[string]string{"a": text(i), text(i): "b"}, read))
	}
	grown := heapBytes() - before
	runtime.KeepAlive(conns)
	is.True(grown < size)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a statement that runs with the settings of another session, which differ from its own only in the part that
// the connection keeps as a digest, or that was forgotten.
func TestLongSettingsBelongToSession(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	long := strings.Repeat("x", maxKeptText)
	many := map[string]string{}
	for i := range maxIdleSettings + 1 {
		many[fmt.Sprint("s", i)] = "1"
	}
	for _, settings := range []map[string]string{
		{long + "a": "1"}, {long + "b": "1"}, {long + "b": long + "1"}, {long + "b": long + "2"}, many, {"s1": "1"}, many, {},
	} {
		reply, _ := f.Start(context.Background(), newRequest("t", statement.Read, "x", settings))
		is.Equal(reply.Code, "")
		is.Equal(f.target.executed[len(f.target.executed)-1], fmt.Sprintf("t read %v x", settings))
	}
	is.Equal(f.target.dials, 1)
}

// Guards against a prepared statement that is taken for another one.
func TestDigestsTellDefinitionsApart(t *testing.T) {
	is := is.New(t)
	definitions := []statement.Definition{
		{Kind: statement.Read, Body: "READ q"}, {Kind: statement.Write, Body: "READ q"}, {Kind: statement.Read, Body: "READ r"},
		{Kind: statement.Read, Body: strings.Repeat("x", 512)}, {Kind: statement.Read, Body: strings.Repeat("x", 513)},
	}
	seen := map[statement.Definition]bool{}
	for _, d := range definitions {
		is.True(!seen[keptDefinition(d)])
		seen[keptDefinition(d)] = true
	}
}
