package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/standin"
)

// Guards against responses out of order and a wrong record of prepared statements, when one goroutine
// pipelines batches with and without errors while another one reads the responses.
func TestPipelinedBatches(t *testing.T) {
	_, p, ctx := setup(t, standin.Config{}, Config{MaxConns: 1})
	rapid.Check(t, func(rt *rapid.T) {
		c := mustGet(t, p, ctx)
		defer p.Put(c)
		var chunks [][]byte
		var want strings.Builder
		batches := rapid.IntRange(1, 6).Draw(rt, "batches")
		for b := range batches {
			failed := false
			for op := range rapid.IntRange(0, 5).Draw(rt, "ops") {
				label := fmt.Sprintf("op %d.%d", b, op)
				messages, responses := drawOperation(rt, label)
				chunks = append(chunks, mustEncode(t, messages...))
				if !failed {
					want.WriteString(responses)
				}
				failed = failed || responses == "E"
			}
			chunks = append(chunks, mustEncode(t, &pgproto3.Sync{}))
			want.WriteByte('Z')
		}
		sent := make(chan error, 1)
		go func() { sent <- sendChunks(c, chunks) }()
		var got strings.Builder
		for range batches {
			got.WriteString(readUntil(t, c, pgwire.ReadyForQuery))
		}
		if err := <-sent; err != nil {
			rt.Fatal(err)
		}
		if got.String() != want.String() {
			rt.Fatalf("response types: got %s, want %s", got.String(), want.String())
		}
		if c.Pending() {
			rt.Fatal("requests are still pending after the last ReadyForQuery")
		}
	})
	if n := p.Stats().Connects; n != 1 {
		t.Fatalf("%d connects, want 1: a reusable connection was closed", n)
	}
}

// drawOperation returns some requests of a batch and the types of the responses to them.
func drawOperation(rt *rapid.T, label string) ([]pgproto3.FrontendMessage, string) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, label+" name")
	switch rapid.IntRange(0, 5).Draw(rt, label) {
	case 0:
		return []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SELEC"}}, "E"
	case 1:
		return []pgproto3.FrontendMessage{&pgproto3.Close{ObjectType: 'S', Name: name}}, "3"
	case 2:
		return []pgproto3.FrontendMessage{&pgproto3.Parse{Name: name, Query: "SELECT '" + name + "'"}, &pgproto3.Flush{}}, "1"
	default:
		use := prepareAndExecute(name, "SELECT '"+name+"'")
		return use[:len(use)-1], "12DC"
	}
}

func mustEncode(t *testing.T, messages ...pgproto3.FrontendMessage) (b []byte) {
	t.Helper()
	for _, m := range messages {
		var err error
		if b, err = m.Encode(b); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

func sendChunks(c *Conn, chunks [][]byte) error {
	for _, b := range chunks {
		if err := c.Send(b); err != nil {
			return err
		}
	}
	return nil
}

// Guards against callers that are refused because the target still counts a connection closed just before.
func TestReplaceConnectionAtTargetLimit(t *testing.T) {
	is := is.New(t)
	_, p, ctx := setup(t, standin.Config{MaxConns: 1}, Config{MaxConns: 1})
	for range 50 {
		c := mustGet(t, p, ctx)
		c.Discard()
		p.Put(c)
	}
	is.Equal(p.Stats().Failures, uint64(0))
	c := mustGet(t, p, ctx)
	is.NoErr(c.SetDeadline(time.Time{}))
	p.Put(c)
}
