// Package admission schedules the statements of many teams on the slots of a service's targets. A slot is the
// right to run one statement at a time; each target has a number of slots and of connections.
//
// Queue implements start-time fair queueing per target. Each team has a virtual time that grows by the
// slot time that it has used, divided by its share, and the waiting team with the lowest virtual time
// is served next. Queue does no I/O and reads no clock. Gate adds a mutex and blocking calls.
package admission

import (
	"errors"
	"time"

	"github.com/citronrun/citronrun/internal/verdict"
)

// Policy is the order in which waiting requests are served.
type Policy uint8

const (
	// Fair serves the team that used the least slot time in proportion to its share.
	Fair Policy = iota
	// FIFO serves requests in order of arrival. It is the baseline for comparisons.
	FIFO
)

const (
	// DefaultMaxPerTeam bounds the waiting requests of one team for one target.
	DefaultMaxPerTeam = 512
	// DefaultMaxTotal bounds the waiting requests for all targets together.
	DefaultMaxTotal = 8192
	// slotTimeWeight is the weight of a new duration in the moving averages of slot time.
	slotTimeWeight = 0.1
	// teamConnDivisor limits a team to 1/teamConnDivisor of a target's connections. Otherwise the open
	// transaction blocks of one team could occupy all of them.
	teamConnDivisor = 2
)

// ErrUnknownTarget means that SetTarget was never called for the target that a request names.
var ErrUnknownTarget = errors.New("unknown target")

// Config holds the policy and limits of a Queue. Limits of 0 mean the defaults.
type Config struct {
	Policy     Policy
	MaxPerTeam int
	MaxTotal   int
}

// Request asks for a slot of a target. A request with InBlock set belongs to an open transaction block,
// which has its connection already; it is served before new work of its team.
type Request struct {
	ID       uint64 // unique among waiting and running requests
	Target   string
	Team     string
	Share    float64   // weight of the team from this request on; values of 0 or less count as 1
	Deadline time.Time // for the start; zero: none
	InBlock  bool
	// Class separates the kinds of requests of a team: those that wait share its slot time by their Share.
	Class int
}

// Queue holds waiting and running requests. It isn't safe for concurrent use.
type Queue struct {
	cfg         Config
	targets     map[string]*targetQueue
	waiting     map[uint64]*queuedRequest // by request id
	running     map[uint64]*queuedRequest // by request id
	lastArrival uint64                    // arrival number of the last request
}

// targetQueue is the state of one target and the teams that use it.
type targetQueue struct {
	slots, conns         int
	usedSlots, usedConns int
	virtualTime          float64   // highest virtual time of a team at a grant, s
	progressAt           time.Time // last grant or end of a request
	meanSlotTime         float64   // of a statement, s
	teams                map[string]*team
}

// team is the state of a team at one target.
type team struct {
	virtualTime   float64 // s of slot time divided by share
	share         float64
	meanSlotTime  float64          // of a statement, s
	blockRequests []*queuedRequest // waiting requests inside transaction blocks
	newRequests   classQueues      // other waiting requests
	running       int
	conns         int
}

// queuedRequest is a waiting or running request.
type queuedRequest struct {
	req         Request
	queue       *targetQueue
	team        *team
	arrival     uint64    // arrival number
	started     time.Time // time of the grant
	chargedTime float64   // virtual time charged at the grant from the team's mean slot time, s
	classCharge float64   // slot time charged to the class at the grant, s
}

// NewQueue returns an empty Queue.
func NewQueue(cfg Config) *Queue {
	if cfg.MaxPerTeam <= 0 {
		cfg.MaxPerTeam = DefaultMaxPerTeam
	}
	if cfg.MaxTotal <= 0 {
		cfg.MaxTotal = DefaultMaxTotal
	}
	return &Queue{
		cfg:     cfg,
		targets: map[string]*targetQueue{},
		waiting: map[uint64]*queuedRequest{},
		running: map[uint64]*queuedRequest{},
	}
}

// SetTarget adds a target or changes its numbers of slots and connections. Requests that already run are
// not affected, even if more are running than the new numbers allow.
func (q *Queue) SetTarget(name string, slots, conns int) {
	tq := q.targets[name]
	if tq == nil {
		tq = &targetQueue{teams: map[string]*team{}}
		q.targets[name] = tq
	}
	tq.slots, tq.conns = max(slots, 1), max(conns, 1)
}

// Enqueue adds a request to the queue of its target. The error is a *verdict.Error with verdict NotRun; its
// code is 53300 if the queue is full or the expected wait exceeds the deadline, and 57P03 if the target is
// unknown.
func (q *Queue) Enqueue(now time.Time, r Request) error {
	tq := q.targets[r.Target]
	if tq == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "target %q: %w", r.Target, ErrUnknownTarget)
	}
	t := tq.team(r.Team)
	if r.Share <= 0 {
		r.Share = 1
	}
	t.share = r.Share
	if !r.InBlock {
		if err := q.checkLimits(now, tq, t, r); err != nil {
			tq.removeIdle(r.Team)
			return err
		}
	}
	if t.waiting() == 0 {
		t.virtualTime = max(t.virtualTime, tq.virtualTime) // a team gets no credit for time in which it was idle
	}
	q.lastArrival++
	qr := &queuedRequest{req: r, queue: tq, team: t, arrival: q.lastArrival}
	q.waiting[r.ID] = qr
	if r.InBlock {
		t.blockRequests = append(t.blockRequests, qr)
	} else {
		t.newRequests.add(qr)
	}
	return nil
}

// checkLimits returns an error if a new request exceeds a limit or would miss its deadline. Statements inside a
// transaction block are exempt: refusing one would waste the block's earlier work while it still holds its
// connection.
func (q *Queue) checkLimits(now time.Time, tq *targetQueue, t *team, r Request) error {
	if n := len(q.waiting); n >= q.cfg.MaxTotal {
		return verdict.New(verdict.NotRun, verdict.CodeTooBusy, "queue of all teams is full: %d requests waiting, limit %d", n, q.cfg.MaxTotal)
	}
	if n := t.waiting(); n >= q.cfg.MaxPerTeam {
		return verdict.New(verdict.NotRun, verdict.CodeTooBusy,
			"queue of team %q is full: %d requests waiting, limit %d", r.Team, n, q.cfg.MaxPerTeam)
	}
	if r.Deadline.IsZero() {
		return nil
	}
	wait := q.expectedWait(now, tq, t, r)
	if now.Add(wait).After(r.Deadline) {
		return verdict.New(verdict.NotRun, verdict.CodeTooBusy, "expected wait of %v exceeds the %v left until the deadline",
			wait.Round(time.Millisecond), r.Deadline.Sub(now).Round(time.Millisecond)).WithRetryAfter(now.Add(wait).Sub(r.Deadline))
	}
	return nil
}

// ExpectedWait returns the expected wait of a new request like r.
func (q *Queue) ExpectedWait(now time.Time, r Request) time.Duration {
	tq := q.targets[r.Target]
	if tq == nil {
		return 0
	}
	if r.Share <= 0 {
		r.Share = 1
	}
	defer tq.removeIdle(r.Team)
	return q.expectedWait(now, tq, tq.team(r.Team), r)
}

// expectedWait estimates the wait of a new request: the time until one of the running statements ends, plus
// that for the waiting requests ahead of it. With Fair, these are the team's own, which are served at the rate
// of the team's share among the waiting teams, and those of each team that has used less of its share, until it has caught
// up.
func (q *Queue) expectedWait(now time.Time, tq *targetQueue, t *team, r Request) time.Duration {
	if tq.usedSlots < tq.slots && tq.waiting() == 0 {
		return 0
	}
	virtualTime := t.virtualTime
	if t.waiting() == 0 {
		virtualTime = max(virtualTime, tq.virtualTime)
	}
	shares, ahead := t.share, 0.0
	for _, other := range tq.teams {
		if other == t || other.waiting() == 0 {
			continue
		}
		shares += other.share
		backlog := float64(other.waiting()) * other.meanSlotTime
		if q.cfg.Policy == Fair {
			backlog = min(backlog, max(0, virtualTime-other.virtualTime)*other.share)
		}
		ahead += backlog
	}
	own := (float64(len(t.blockRequests)) + t.newRequests.ahead(r.Class, r.Share)) * t.meanSlotTime
	if q.cfg.Policy == Fair {
		own *= shares / t.share
	}
	wait := seconds((tq.meanSlotTime + own + ahead) / float64(tq.slots))
	if tq.usedSlots >= tq.slots {
		wait = max(wait, now.Sub(tq.progressAt)) // a target that has stalled for some time is expected to do so for as long again
	}
	return wait
}

// Grant marks the waiting requests that may run now as running and returns their ids, in order for each
// target.
func (q *Queue) Grant(now time.Time) []uint64 {
	var ids []uint64
	for _, tq := range q.targets {
		for tq.usedSlots < tq.slots {
			qr := q.nextRequest(tq)
			if qr == nil {
				break
			}
			q.start(now, qr)
			ids = append(ids, qr.req.ID)
		}
	}
	return ids
}

// nextRequest returns the request of tq to serve next, or nil.
func (q *Queue) nextRequest(tq *targetQueue) *queuedRequest {
	var best *queuedRequest
	for _, t := range tq.teams {
		qr := t.head(tq, q.cfg.Policy)
		if qr == nil {
			continue
		}
		if best == nil || q.servedBefore(qr, best) {
			best = qr
		}
	}
	return best
}

// servedBefore reports whether a is served before b.
func (q *Queue) servedBefore(a, b *queuedRequest) bool {
	if q.cfg.Policy == Fair && a.team.virtualTime != b.team.virtualTime {
		return a.team.virtualTime < b.team.virtualTime
	}
	return a.arrival < b.arrival
}

// start marks a waiting request as running and charges its team for the expected slot time, which Finish
// replaces with the actual one.
func (q *Queue) start(now time.Time, qr *queuedRequest) {
	tq, t := qr.queue, qr.team
	delete(q.waiting, qr.req.ID)
	t.remove(qr)
	q.running[qr.req.ID] = qr
	qr.started, tq.progressAt = now, now
	qr.chargedTime = t.meanSlotTime / t.share
	tq.virtualTime = max(tq.virtualTime, t.virtualTime)
	t.virtualTime += qr.chargedTime
	if !qr.req.InBlock {
		t.newRequests.charge(qr, t.meanSlotTime)
		qr.classCharge = t.meanSlotTime
	}
	t.running++
	tq.usedSlots++
	if !qr.req.InBlock {
		tq.usedConns++
		t.conns++
	}
}

// Finish ends a running request and charges its team for the time since the grant. The connection
// stays in use until ReleaseConn.
func (q *Queue) Finish(now time.Time, id uint64) {
	qr := q.running[id]
	if qr == nil {
		return
	}
	delete(q.running, id)
	tq, t := qr.queue, qr.team
	tq.progressAt = now
	used := max(now.Sub(qr.started).Seconds(), 0)
	t.virtualTime += used/t.share - qr.chargedTime
	if !qr.req.InBlock {
		t.newRequests.charge(qr, used-qr.classCharge)
	}
	t.meanSlotTime = movingAverage(t.meanSlotTime, used)
	tq.meanSlotTime = movingAverage(tq.meanSlotTime, used)
	t.running--
	tq.usedSlots--
	tq.removeIdle(qr.req.Team)
}

// ReleaseConn frees the connection of a request that was granted without InBlock.
func (q *Queue) ReleaseConn(targetName, teamName string) {
	tq := q.targets[targetName]
	if tq == nil || tq.teams[teamName] == nil || tq.teams[teamName].conns == 0 {
		return
	}
	tq.teams[teamName].conns--
	tq.usedConns--
	tq.removeIdle(teamName)
}

// Cancel removes a waiting request from its queue. It returns false if the request is not waiting.
func (q *Queue) Cancel(id uint64) bool {
	qr := q.waiting[id]
	if qr == nil {
		return false
	}
	delete(q.waiting, id)
	qr.team.remove(qr)
	qr.queue.removeIdle(qr.req.Team)
	return true
}

// Expire removes the waiting requests whose deadline has passed and returns their ids.
func (q *Queue) Expire(now time.Time) []uint64 {
	var ids []uint64
	for id, qr := range q.waiting {
		if !qr.req.Deadline.IsZero() && now.After(qr.req.Deadline) {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		q.Cancel(id)
	}
	return ids
}

// MeanSlotTime returns the mean time for which a statement holds a slot of a target, or 0 if none has
// finished.
func (q *Queue) MeanSlotTime(name string) time.Duration {
	tq := q.targets[name]
	if tq == nil {
		return 0
	}
	return time.Duration(tq.meanSlotTime * float64(time.Second))
}

// Load returns the number of running and waiting requests of a target, and its number of slots. An unknown
// target has no requests and counts as having 1 slot.
func (q *Queue) Load(name string) (requests, slots int) {
	tq := q.targets[name]
	if tq == nil {
		return 0, 1
	}
	return tq.usedSlots + tq.waiting(), tq.slots
}

func (tq *targetQueue) team(name string) *team {
	t := tq.teams[name]
	if t == nil {
		t = &team{share: 1, virtualTime: tq.virtualTime, meanSlotTime: tq.meanSlotTime}
		tq.teams[name] = t
	}
	return t
}

// removeIdle removes an idle team, so that memory is bounded by the teams that used the target recently. A
// team whose virtual time is ahead of the queue's is kept: if it were removed, it would return with the queue's
// virtual time, and the slot time that it has used beyond its share would be forgotten.
func (tq *targetQueue) removeIdle(name string) {
	t := tq.teams[name]
	if t.waiting() == 0 && t.running == 0 && t.conns == 0 && t.virtualTime <= tq.virtualTime {
		delete(tq.teams, name)
	}
}

// waiting returns the number of waiting requests of all teams.
func (tq *targetQueue) waiting() int {
	n := 0
	for _, t := range tq.teams {
		n += t.waiting()
	}
	return n
}

func (t *team) waiting() int { return len(t.blockRequests) + t.newRequests.waiting }

// head returns the team's next request, or nil if there is none or it needs a connection and the target
// or the team has none left.
func (t *team) head(tq *targetQueue, policy Policy) *queuedRequest {
	if len(t.blockRequests) > 0 {
		return t.blockRequests[0]
	}
	teamConnLimit := max(tq.conns/teamConnDivisor, 1)
	if t.newRequests.waiting == 0 || tq.usedConns >= tq.conns || t.conns >= teamConnLimit {
		return nil
	}
	return t.newRequests.head(policy)
}

func (t *team) remove(qr *queuedRequest) {
	if !qr.req.InBlock {
		t.newRequests.remove(qr)
		return
	}
	for i, other := range t.blockRequests {
		if other == qr {
			t.blockRequests = append(t.blockRequests[:i], t.blockRequests[i+1:]...)
			return
		}
	}
}

func movingAverage(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + slotTimeWeight*(value-mean)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
