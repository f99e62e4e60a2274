package pgwire

// Action is what a relay does with the response to a request.
type Action uint8

const (
	// Relay forwards the response to the caller.
	Relay Action = iota
	// Discard drops the response: the relay has added the request.
	Discard
	// RespondLocally generates the response in the relay, a local response: the request was not sent to the
	// target.
	RespondLocally
)

// Tracker matches the responses of a target with the pending requests of the extended query protocol, so
// that a relay can add requests of its own and respond to some of the caller's requests itself. The zero value
// is ready for use. It is not safe for concurrent use.
//
// The tracked requests are those with exactly one terminating response: Parse, Bind, Describe, Close,
// Execute, Sync and simple Query.
type Tracker struct {
	queue []pendingRequest
	head  int // index of the oldest pending request
}

// compactThreshold is the least number of completed requests at the start of the queue that Push removes. The
// queue of a caller that always has requests in flight would otherwise grow without bound.
const compactThreshold = 64

type pendingRequest struct {
	request byte
	action  Action
	name    string
}

// Push appends a request. Requests must be pushed in the order in which they are sent or omitted. The name, of
// a prepared statement for example, is returned with the response to the request.
func (t *Tracker) Push(request byte, action Action, name string) {
	if t.head > 0 && t.head == len(t.queue) {
		t.queue, t.head = t.queue[:0], 0
	}
	if t.head >= compactThreshold && 2*t.head >= len(t.queue) {
		n := copy(t.queue, t.queue[t.head:])
		t.queue, t.head = t.queue[:n], 0
	}
	t.queue = append(t.queue, pendingRequest{request, action, name})
}

// Len returns the number of pending requests.
func (t *Tracker) Len() int { return len(t.queue) - t.head }

// PopLocal removes the oldest pending request if its action is RespondLocally. The relay then generates the
// response (ParseComplete for Parse, CloseComplete for Close) and calls PopLocal again.
func (t *Tracker) PopLocal() (request byte, name string, ok bool) {
	if t.Len() == 0 || t.queue[t.head].action != RespondLocally {
		return 0, "", false
	}
	head := t.queue[t.head]
	t.head++
	return head.request, head.name, true
}

// OnResponse records a response of the target, given its frame type. It returns what to do with the frame, the
// type and name of the request that it responds to, and whether it completes that request: a DataRow, for
// example, does not. The request is 0 if none is pending. After an ErrorResponse the requests before the next
// Sync or simple Query are removed: the failed one, and those that the target skips. That Sync or Query, which
// may itself be the failed request, stays until its ReadyForQuery. The result done is false for an ErrorResponse.
func (t *Tracker) OnResponse(response byte) (action Action, request byte, name string, done bool) {
	if t.Len() == 0 {
		return Relay, 0, "", false
	}
	head := t.queue[t.head]
	switch {
	case response == ErrorResponse:
		t.dropToSync()
		return Relay, head.request, head.name, false
	case !completes(head.request, response):
		return head.action, head.request, head.name, false
	}
	t.head++
	return head.action, head.request, head.name, true
}

// DropFollowingSync removes a Sync that directly follows the oldest pending request, and reports whether there
// was one. It is for a relay that sends nothing after a Sync until its ReadyForQuery has arrived. When an
// Execute of COPY FROM STDIN makes the target enter copy-in mode, the target ignores the Sync that was sent
// with it; the caller sends another one after the rows.
func (t *Tracker) DropFollowingSync() bool {
	next := t.head + 1
	if next >= len(t.queue) || t.queue[next].request != Sync {
		return false
	}
	t.queue = append(t.queue[:next], t.queue[next+1:]...)
	return true
}

// Reset removes all requests.
func (t *Tracker) Reset() { t.queue, t.head = nil, 0 }

// dropToSync removes the requests before the next Sync or simple Query, whose ReadyForQuery is still to come.
func (t *Tracker) dropToSync() {
	for t.Len() > 0 {
		request := t.queue[t.head].request
		if request == Sync || request == Query {
			return
		}
		t.head++
	}
}

// completes reports whether a response of the given type is the terminating one of a request.
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

// DropAllSyncs removes all pending Sync requests and returns their number. It is DropFollowingSync for a relay
// that sends further requests before the ReadyForQuery of a Sync has arrived: the target ignores each Sync
// that it receives in copy-in mode.
func (t *Tracker) DropAllSyncs() int {
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
