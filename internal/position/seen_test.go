package position

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tokens that lose a read on their way through a caller, and malformed ones that are
// taken for valid.
func TestSeenToken(t *testing.T) {
	is := is.New(t)
	p := Position{Term: 2, Offset: 7}
	var list []ObservedRead
	list = AddObservedRead(list, ObservedRead{Target: "a/b", Epoch: 3, At: 5 * time.Microsecond})
	list = AddObservedRead(list, ObservedRead{Target: "c", Epoch: 3, At: time.Second})
	list = AddObservedRead(list, ObservedRead{Target: "c", Epoch: 3, At: time.Millisecond}) // earlier: no effect
	text := TokenWithReads("s", p, list)
	is.Equal(text, "s:2/7@a/b/3/5@c/3/1000000")
	q, got, err := ParseTokenWithReads("s", text)
	is.NoErr(err)
	is.Equal(q, p)
	is.Equal(got, list)
	for _, bad := range []string{"s:2/7@", "s:2/7@c", "s:2/7@c/1", "s:2/7@/1/1", "s:2/7@c/1/-1", "s:2/7@c/1/99999999999999999", "x:2/7"} {
		if _, _, err := ParseTokenWithReads("s", bad); err == nil {
			t.Errorf("token %q was accepted", bad)
		}
	}
}
