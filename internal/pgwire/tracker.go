package pgwire

// Action says what a relay does with a response or with the head of the queue.
type Action uint8

const (
	// Relay passes the response on.
	Relay Action = iota
	// Discard drops the response: the request was added by the relay.
	Discard
	// Synthesize means that the relay answers the request itself: it was not sent on.
	Synthesize
)

// Tracker pairs the requests of the extended query protocol with their responses, so that a relay
// can add requests of its own or answer some of the caller's. The zero value is ready for use. It
// isn't safe for concurrent use.
//
// Each request that gets exactly one terminating response is pushed: Parse, Bind, Describe, Close,
// Execute, Sync and simple Query.
type Tracker struct {
	queue []pending
	head  int
}

// compactAfter is the number of answered requests at which the queue is moved to the start of its
// memory. A caller that always has requests in flight would otherwise let it grow without bound.
const compactAfter = 64

type pending struct {
	request byte
	action  Action
	name    string
}

// Push records a request in the order in which it was sent or answered locally. Name is returned by
// Done when the request succeeded; it is used for prepared statements.
func (t *Tracker) Push(request byte, action Action, name string) {
	if t.head > 0 && t.head == len(t.queue) {
		t.queue, t.head = t.queue[:0], 0
	}
	if t.head >= compactAfter && 2*t.head >= len(t.queue) {
		n := copy(t.queue, t.queue[t.head:])
		t.queue, t.head = t.queue[:n], 0
	}
	t.queue = append(t.queue, pending{request, action, name})
}

// Len returns the number of requests without a response.
func (t *Tracker) Len() int { return len(t.queue) - t.head }

// PopLocal pops the head of the queue if it is to be answered locally. The caller writes the response
// (ParseComplete for Parse, CloseComplete for Close) and calls Local again.
func (t *Tracker) PopLocal() (request byte, name string, ok bool) {
	if t.Len() == 0 || t.queue[t.head].action != Synthesize {
		return 0, "", false
	}
	p := t.queue[t.head]
	t.head++
	return p.request, p.name, true
}

// OnResponse is told of each response frame type and returns what to do with the frame. Name is that of
// the request which the response completes, with done set; a response that doesn't complete its
// request (rows, notices) has done unset. After ErrorResponse to an extended request, all requests
// up to the next Sync are dropped, as targets do.
func (t *Tracker) OnResponse(response byte) (a Action, request byte, name string, done bool) {
	if t.Len() == 0 {
		return Relay, 0, "", false
	}
	p := t.queue[t.head]
	switch {
	case response == ErrorResponse:
		t.fail()
		return Relay, p.request, p.name, false
	case !completes(p.request, response):
		return p.action, p.request, p.name, false
	}
	t.head++
	return p.action, p.request, p.name, true
}

// DropFollowingSync removes a Sync directly behind the request at the head. A target that enters copy-in mode
// ignores a Sync which was sent together with the Execute; the caller sends another one.
func (t *Tracker) DropFollowingSync() bool {
	next := t.head + 1
	if next >= len(t.queue) || t.queue[next].request != Sync {
		return false
	}
	t.queue = append(t.queue[:next], t.queue[next+1:]...)
	return true
}

// Reset forgets all requests.
func (t *Tracker) Reset() { t.queue, t.head = nil, 0 }

// fail drops requests up to the next Sync or simple Query, whose ReadyForQuery is still to come.
func (t *Tracker) fail() {
	for t.Len() > 0 {
		r := t.queue[t.head].request
		if r == Sync || r == Query {
			return
		}
		t.head++
	}
}

func completes(request, response byte) bool {
	switch request {
	case Parse:
		return response == ParseComplete
	case Bind:
		return response == BindComplete
	case Close:
		return response == CloseComplete
	case Describe:
		return response == RowDescription || response == NoData
	case Execute:
		return response == CommandComplete || response == EmptyQueryResponse || response == PortalSuspended
	case Sync, Query:
		return response == ReadyForQuery
	default:
		return false
	}
}

// DropSyncs removes the Sync requests from the queue and returns their number. Targets ignore a Sync
// that arrives while they read the rows of an extended COPY FROM STDIN.
func (t *Tracker) DropSyncs() int {
	kept := t.queue[:t.head]
	for _, p := range t.queue[t.head:] {
		if p.request != Sync {
			kept = append(kept, p)
		}
	}
	dropped := len(t.queue) - len(kept)
	t.queue = kept
	return dropped
}
