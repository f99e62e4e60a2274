// Package admission decides in which order the statements of many teams use the slots of a
// service's databases.
//
// Queue is the pure part: requests, grants and finishes go in with a time, grants come out. It is a
// start-time fair queue per lane (database): each team has a virtual time that grows by the slot
// time it used, divided by its share, and the waiting team with the lowest virtual time is served
// next. Gate puts a mutex and channels around a Queue.
package admission

import (
	"errors"
	"time"

	"github.com/citronrun/citronrun/internal/verdict"
)

// Policy names the order in which waiting requests are served.
type Policy uint8

const (
	// Fair serves the team that used the least slot time in relation to its share.
	Fair Policy = iota
	// FIFO serves requests in order of arrival. It is the baseline for comparisons.
	FIFO
)

const (
	// DefaultMaxPerTeam bounds the waiting requests of one team in one lane.
	DefaultMaxPerTeam = 512
	// DefaultMaxTotal bounds the waiting requests of all lanes together.
	DefaultMaxTotal = 8192
	// costWeight is the weight of a new duration in the moving averages.
	costWeight = 0.1
	// teamConnDivisor limits a team to this part of a lane's connections, so that open blocks of
	// one team can't take all of them.
	teamConnDivisor = 2
)

// ErrUnknownTarget means that a request names a lane that was not set.
var ErrUnknownTarget = errors.New("unknown lane")

// Config bounds a Queue. Zero fields get the defaults.
type Config struct {
	Policy     Policy
	MaxPerTeam int
	MaxTotal   int
}

// Request asks for a slot of a lane. A request with InBlock set belongs to an open transaction block
// and needs no further connection; it goes before new work of its team.
type Request struct {
	ID       uint64 // unique among waiting and running requests
	Target   string
	Team     string
	Share    float64   // weight; values of 0 or less count as 1
	Deadline time.Time // latest start; zero: none
	InBlock  bool
}

// Queue holds waiting and running requests. It isn't safe for concurrent use.
type Queue struct {
	cfg     Config
	lanes   map[string]*lane
	waiting map[uint64]*item
	running map[uint64]*item
	order   uint64
}

type lane struct {
	slots, conns       int
	slotsUsed, connUse int
	virtual            float64 // start tag of the last grant, s
	cost               float64 // mean slot time of a statement, s
	teams              map[string]*team
}

type team struct {
	virtual       float64 // s of slot time divided by share
	share         float64
	cost          float64 // mean slot time of a statement, s
	blocks, fresh []*item // waiting: inside blocks, new work
	running       int
	conns         int
}

type item struct {
	req     Request
	lane    *lane
	team    *team
	order   uint64
	started time.Time
	charged float64 // s, estimate charged at the grant
}

// New returns an empty Queue.
func New(cfg Config) *Queue {
	if cfg.MaxPerTeam <= 0 {
		cfg.MaxPerTeam = DefaultMaxPerTeam
	}
	if cfg.MaxTotal <= 0 {
		cfg.MaxTotal = DefaultMaxTotal
	}
	return &Queue{
		cfg:     cfg,
		lanes:   map[string]*lane{},
		waiting: map[uint64]*item{},
		running: map[uint64]*item{},
	}
}

// SetTarget creates a lane or changes its number of slots and connections. Running requests are kept
// when a number falls below what is in use.
func (q *Queue) SetTarget(name string, slots, conns int) {
	l := q.lanes[name]
	if l == nil {
		l = &lane{teams: map[string]*team{}}
		q.lanes[name] = l
	}
	l.slots, l.conns = max(slots, 1), max(conns, 1)
}

// Enqueue adds a request. The error is a *verdict.Error with verdict NotRun and code 53300 when a bound
// is reached or the expected wait passes the deadline.
func (q *Queue) Enqueue(now time.Time, r Request) error {
	l := q.lanes[r.Target]
	if l == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "lane %q: %w", r.Target, ErrUnknownTarget)
	}
	t := l.team(r.Team)
	if r.Share <= 0 {
		r.Share = 1
	}
	t.share = r.Share
	if !r.InBlock {
		if err := q.refuse(now, l, t, r); err != nil {
			return err
		}
	}
	if t.waiting() == 0 {
		t.virtual = max(t.virtual, l.virtual) // idle time earns no credit
	}
	q.order++
	it := &item{req: r, lane: l, team: t, order: q.order}
	q.waiting[r.ID] = it
	if r.InBlock {
		t.blocks = append(t.blocks, it)
	} else {
		t.fresh = append(t.fresh, it)
	}
	return nil
}

// refuse applies the bounds to new work. A statement inside a block is exempt: refusing it would
// waste the block's earlier work while it still holds its connection.
func (q *Queue) refuse(now time.Time, l *lane, t *team, r Request) error {
	if len(q.waiting) >= q.cfg.MaxTotal || t.waiting() >= q.cfg.MaxPerTeam {
		return verdict.New(verdict.NotRun, verdict.CodeTooBusy, "queue of team %q is full", r.Team)
	}
	if r.Deadline.IsZero() {
		return nil
	}
	wait := q.expected(l, t)
	if now.Add(wait).After(r.Deadline) {
		return verdict.New(verdict.NotRun, verdict.CodeTooBusy, "expected wait of %v passes the deadline", wait.Round(time.Millisecond))
	}
	return nil
}

// expected estimates the wait of a new request: one running statement per slot, and the team's own
// queue at the pace of its share among the waiting teams.
func (q *Queue) expected(l *lane, t *team) time.Duration {
	if l.slotsUsed < l.slots && t.waiting() == 0 {
		return 0
	}
	shares := t.share
	ahead := 0
	for _, other := range l.teams {
		if other != t && other.waiting() > 0 {
			shares += other.share
		}
		ahead += other.waiting()
	}
	slots := float64(l.slots)
	s := l.cost / slots
	if q.cfg.Policy == FIFO {
		s += float64(ahead) * l.cost / slots
	} else {
		s += float64(t.waiting()) * t.cost * shares / (t.share * slots)
	}
	return seconds(s)
}

// Grants returns the ids of the waiting requests that may run now, in order, and marks them running.
func (q *Queue) Grants(now time.Time) []uint64 {
	var ids []uint64
	for _, l := range q.lanes {
		for l.slotsUsed < l.slots {
			it := q.pick(l)
			if it == nil {
				break
			}
			q.start(now, it)
			ids = append(ids, it.req.ID)
		}
	}
	return ids
}

func (q *Queue) pick(l *lane) *item {
	var best *item
	for _, t := range l.teams {
		it := t.head(l)
		if it == nil {
			continue
		}
		if best == nil || q.before(it, best) {
			best = it
		}
	}
	return best
}

func (q *Queue) before(a, b *item) bool {
	if q.cfg.Policy == Fair && a.team.virtual != b.team.virtual {
		return a.team.virtual < b.team.virtual
	}
	return a.order < b.order
}

func (q *Queue) start(now time.Time, it *item) {
	l, t := it.lane, it.team
	delete(q.waiting, it.req.ID)
	t.drop(it)
	q.running[it.req.ID] = it
	it.started = now
	it.charged = t.cost / t.share
	l.virtual = max(l.virtual, t.virtual)
	t.virtual += it.charged
	t.running++
	l.slotsUsed++
	if !it.req.InBlock {
		l.connUse++
		t.conns++
	}
}

// Finish ends a running request and charges its team the time since the grant. The connection stays
// in use until ReleaseConn.
func (q *Queue) Finish(now time.Time, id uint64) {
	it := q.running[id]
	if it == nil {
		return
	}
	delete(q.running, id)
	l, t := it.lane, it.team
	used := max(now.Sub(it.started).Seconds(), 0)
	t.virtual += used/t.share - it.charged
	t.cost = average(t.cost, used)
	l.cost = average(l.cost, used)
	t.running--
	l.slotsUsed--
	l.forget(it.req.Team)
}

// ReleaseConn gives back the connection of a request that was granted without InBlock.
func (q *Queue) ReleaseConn(laneName, teamName string) {
	l := q.lanes[laneName]
	if l == nil || l.teams[teamName] == nil || l.teams[teamName].conns == 0 {
		return
	}
	l.teams[teamName].conns--
	l.connUse--
	l.forget(teamName)
}

// Cancel removes a waiting request. It returns false when the request is not waiting.
func (q *Queue) Cancel(id uint64) bool {
	it := q.waiting[id]
	if it == nil {
		return false
	}
	delete(q.waiting, id)
	it.team.drop(it)
	return true
}

// Expire removes the waiting requests whose deadline has passed and returns their ids.
func (q *Queue) Expire(now time.Time) []uint64 {
	var ids []uint64
	for id, it := range q.waiting {
		if !it.req.Deadline.IsZero() && now.After(it.req.Deadline) {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		q.Cancel(id)
	}
	return ids
}

// Cost returns the mean time for which a statement holds a slot of a lane, 0 if none has ended yet.
func (q *Queue) Cost(name string) time.Duration {
	l := q.lanes[name]
	if l == nil {
		return 0
	}
	return time.Duration(l.cost * float64(time.Second))
}

// Load returns the number of running and waiting requests of a lane and its slots.
func (q *Queue) Load(name string) (requests, slots int) {
	l := q.lanes[name]
	if l == nil {
		return 0, 1
	}
	requests = l.slotsUsed
	for _, t := range l.teams {
		requests += t.waiting()
	}
	return requests, l.slots
}

func (l *lane) team(name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{share: 1, virtual: l.virtual, cost: l.cost}
		l.teams[name] = t
	}
	return t
}

// forget drops the state of an idle team whose virtual time holds no debt, so that the number of
// teams in memory is bounded by those that used the lane recently.
func (l *lane) forget(name string) {
	t := l.teams[name]
	if t.waiting() == 0 && t.running == 0 && t.conns == 0 && t.virtual <= l.virtual {
		delete(l.teams, name)
	}
}

func (t *team) waiting() int { return len(t.blocks) + len(t.fresh) }

// head returns the team's next request that can start, given the lane's connections.
func (t *team) head(l *lane) *item {
	if len(t.blocks) > 0 {
		return t.blocks[0]
	}
	limit := max(l.conns/teamConnDivisor, 1)
	if len(t.fresh) == 0 || l.connUse >= l.conns || t.conns >= limit {
		return nil
	}
	return t.fresh[0]
}

func (t *team) drop(it *item) {
	list := &t.fresh
	if it.req.InBlock {
		list = &t.blocks
	}
	for i, x := range *list {
		if x == it {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return
		}
	}
}

func average(old, v float64) float64 {
	if old == 0 {
		return v
	}
	return old + costWeight*(v-old)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
