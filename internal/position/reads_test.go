package position

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against session tokens that lose a read when they are formatted and parsed, and against malformed
// tokens that are accepted.
func TestTokenWithReads(t *testing.T) {
	is := is.New(t)
	p := Position{Term: 2, Offset: 7}
	var reads []ObservedRead
	reads = AddObservedRead(reads, ObservedRead{Target: "a/b", Epoch: 3, At: 5 * time.Microsecond})
	reads = AddObservedRead(reads, ObservedRead{Target: "c", Epoch: 3, At: time.Second})
	reads = AddObservedRead(reads, ObservedRead{Target: "c", Epoch: 3, At: time.Millisecond}) // earlier: no effect
	text := TokenWithReads("s", p, reads)
	is.Equal(text, "s:2/7@a/b/3/5@c/3/1000000")
	parsedPosition, parsedReads, err := ParseTokenWithReads("s", text)
	is.NoErr(err)
	is.Equal(parsedPosition, p)
	is.Equal(parsedReads, reads)
	for _, malformed := range []string{"s:2/7@", "s:2/7@c", "s:2/7@c/1", "s:2/7@/1/1", "s:2/7@c/1/-1", "s:2/7@c/1/99999999999999999", "x:2/7"} {
		if _, _, err := ParseTokenWithReads("s", malformed); err == nil {
			t.Errorf("token %q was accepted", malformed)
		}
	}
}
