package consensus

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
)

// disk is the persisted state of a simulated member, which survives a crash.
type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (d *disk) save(r Ready) {
	if r.Snapshot != nil {
		d.snapshot = *r.Snapshot
		d.entries = nil
	}
	if r.Hard != nil {
		d.hard = *r.Hard
	}
	for _, e := range r.Entries {
		keep := e.Index - d.snapshot.Index - 1
		d.entries = append(d.entries[:keep:keep], e)
	}
}

// hashMachine is a state machine whose state is a hash over all applied entries.
type hashMachine struct {
	index uint64
	state [sha256.Size]byte
}

type simMember struct {
	id           uint64
	disk         disk
	node         *Node // nil while crashed
	stateMachine hashMachine
	diskLost     bool // lost its disk and does not restart
}

// cluster simulates members on a network that loses, duplicates, delays and reorders messages.
type cluster struct {
	rng          *rand.Rand
	members      []*simMember
	inFlight     []Message
	blockedLinks map[[2]uint64]bool
	loss         float64
	leaderByTerm map[uint64]uint64            // member ID of the leader, by term
	stateByIndex map[uint64][sha256.Size]byte // state of the state machine, by applied index
	maxCommit    uint64                       // highest commit index of any member
	readFloors   map[uint64]uint64            // maxCommit when the read was requested, by read ID
	lastReadID   uint64
	lastValue    int
	stats        map[string]int
	violation    error // the first violated invariant
}

func newCluster(seed uint64, size int) *cluster {
	c := &cluster{
		rng:          rand.New(rand.NewPCG(seed, 1)),
		blockedLinks: map[[2]uint64]bool{},
		leaderByTerm: map[uint64]uint64{},
		stateByIndex: map[uint64][sha256.Size]byte{},
		readFloors:   map[uint64]uint64{},
		stats:        map[string]int{},
	}
	var members []Member
	for id := 1; id <= size; id++ {
		members = append(members, Member{ID: uint64(id), Addr: fmt.Sprint("addr-", id)})
	}
	bootstrap := Snapshot{Index: 1, Term: 1, Members: members, Data: make([]byte, sha256.Size)}
	for id := 1; id <= size; id++ {
		c.addMember(disk{hard: HardState{Term: 1}, snapshot: bootstrap})
	}
	return c
}

func (c *cluster) addMember(d disk) *simMember {
	m := &simMember{id: uint64(len(c.members) + 1), disk: d}
	c.members = append(c.members, m)
	c.restart(m)
	return m
}

func (c *cluster) fail(format string, args ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, args...)
	}
}

func (c *cluster) restart(m *simMember) {
	if m.node != nil || m.diskLost {
		return
	}
	node, err := New(Config{
		ID: m.id, Seed: c.rng.Uint64(), Hard: m.disk.hard, Snapshot: m.disk.snapshot, Entries: m.disk.entries,
	})
	if err != nil {
		c.fail("restart of member %d: %v", m.id, err)
		return
	}
	m.node = node
	m.stateMachine.restore(m.disk.snapshot)
}

func (s *hashMachine) restore(snapshot Snapshot) {
	s.index = snapshot.Index
	copy(s.state[:], snapshot.Data)
}

// processReady carries out the pending work of a member. With crash set, the member crashes before or
// after it saves its state, or after it has sent half or all of its messages.
func (c *cluster) processReady(m *simMember, crash bool) {
	for m.node != nil {
		r := m.node.Ready()
		crashPoint := -1
		if crash {
			crashPoint = c.rng.IntN(4)
		}
		if crashPoint != 0 {
			m.disk.save(r)
		}
		if crashPoint != 0 && crashPoint != 1 {
			c.inFlight = append(c.inFlight, r.Messages[:c.sentCount(crashPoint, len(r.Messages))]...)
		}
		if crashPoint >= 0 {
			m.node = nil
			return
		}
		c.apply(m, r)
		m.node.Advance()
		c.checkLeader(m)
		if r.Empty() {
			return
		}
	}
}

func (c *cluster) sentCount(crashPoint, messages int) int {
	if crashPoint == 2 {
		return messages / 2
	}
	return messages
}

func (c *cluster) apply(m *simMember, r Ready) {
	if r.Snapshot != nil {
		m.stateMachine.restore(*r.Snapshot)
		c.checkState(m)
		c.stats["installs"]++
	}
	for _, e := range r.Committed {
		if e.Index != m.stateMachine.index+1 {
			c.fail("member %d applies entry %d after entry %d", m.id, e.Index, m.stateMachine.index)
		}
		m.stateMachine.index = e.Index
		m.stateMachine.state = sha256.Sum256(fmt.Append(m.stateMachine.state[:], e.Index, e.Term, e.Kind, e.Data, e.Members))
		c.checkState(m)
	}
	for _, read := range r.Reads {
		if read.Index < c.readFloors[read.ID] {
			c.fail("read confirmed at index %d, but index %d was committed before the request", read.Index, c.readFloors[read.ID])
		}
		c.stats["reads"]++
	}
}

// checkState fails if two members have different states after the same index.
func (c *cluster) checkState(m *simMember) {
	known, ok := c.stateByIndex[m.stateMachine.index]
	if ok && known != m.stateMachine.state {
		c.fail("state of member %d at index %d differs from that of another member", m.id, m.stateMachine.index)
	}
	c.stateByIndex[m.stateMachine.index] = m.stateMachine.state
}

// checkLeader fails if two members lead the same term. It also updates maxCommit.
func (c *cluster) checkLeader(m *simMember) {
	s := m.node.Status()
	c.maxCommit = max(c.maxCommit, s.Commit)
	if s.Role != Leader {
		return
	}
	if other, ok := c.leaderByTerm[s.Term]; ok && other != m.id {
		c.fail("two leaders in term %d: members %d and %d", s.Term, other, m.id)
	}
	c.leaderByTerm[s.Term] = m.id
}

// deliver delivers or drops one random message.
func (c *cluster) deliver() {
	i := c.rng.IntN(len(c.inFlight))
	msg := c.inFlight[i]
	if c.rng.Float64() >= c.loss/2 { // otherwise it is duplicated: delivered again later
		c.inFlight[i] = c.inFlight[len(c.inFlight)-1]
		c.inFlight = c.inFlight[:len(c.inFlight)-1]
	}
	to := c.members[msg.To-1]
	if c.blockedLinks[[2]uint64{msg.From, msg.To}] || c.rng.Float64() < c.loss || to.node == nil {
		return
	}
	if err := to.node.Step(msg); err != nil {
		c.fail("member %d rejects a message of kind %d: %v", to.id, msg.Kind, err)
	}
	c.processReady(to, false)
}

// run advances the time by ticks. Some messages stay in flight from one tick to the next.
func (c *cluster) run(ticks int) {
	for range ticks {
		for _, m := range c.members {
			if m.node != nil {
				m.node.Tick()
				c.processReady(m, false)
			}
		}
		for steps := 60; len(c.inFlight) > 0 && steps > 0; steps-- {
			c.deliver()
		}
		if excess := len(c.inFlight) - 300; excess > 0 {
			c.inFlight = c.inFlight[excess:]
		}
	}
}

func (c *cluster) heal() {
	c.blockedLinks = map[[2]uint64]bool{}
	c.loss = 0
	for _, m := range c.members {
		c.restart(m)
	}
}

func (c *cluster) leader() *simMember {
	var found *simMember
	for _, m := range c.members {
		if m.node == nil || m.node.Status().Role != Leader {
			continue
		}
		if found == nil || m.node.Status().Term > found.node.Status().Term {
			found = m
		}
	}
	return found
}

func (c *cluster) propose(m *simMember) {
	if m.node == nil {
		return
	}
	c.lastValue++
	if _, _, err := m.node.Propose([]byte(fmt.Sprint("v", c.lastValue))); err == nil {
		c.stats["proposals"]++
	}
}

func (c *cluster) read(m *simMember) {
	if m.node == nil {
		return
	}
	c.lastReadID++
	c.readFloors[c.lastReadID] = c.maxCommit
	_ = m.node.ReadIndex(c.lastReadID)
}

func (c *cluster) compact(m *simMember, keep uint64) {
	if m.node == nil {
		return
	}
	s, err := m.node.NewSnapshot(m.stateMachine.index, slices.Clone(m.stateMachine.state[:]))
	if err != nil || s.Index <= m.disk.snapshot.Index {
		return
	}
	m.disk.entries = slices.DeleteFunc(slices.Clone(m.disk.entries), func(e Entry) bool { return e.Index <= s.Index })
	m.disk.snapshot = s
	m.node.Compact(s, keep)
}

// checkLogs checks the log matching property: if two logs have the same term at an index, they are
// equal up to that index.
func (c *cluster) checkLogs() {
	for i, a := range c.members {
		for _, b := range c.members[i+1:] {
			if a.node == nil || b.node == nil {
				continue
			}
			c.checkLogPair(a, b)
		}
	}
}

func (c *cluster) checkLogPair(a, b *simMember) {
	base := max(a.node.log.baseIndex, b.node.log.baseIndex)
	sameTermAbove := false
	for i := min(a.node.log.last(), b.node.log.last()); i > base; i-- {
		entryA := a.node.log.entries[i-a.node.log.baseIndex-1]
		entryB := b.node.log.entries[i-b.node.log.baseIndex-1]
		sameTermAbove = sameTermAbove || entryA.Term == entryB.Term
		if sameTermAbove && (entryA.Term != entryB.Term || string(entryA.Data) != string(entryB.Data)) {
			c.fail("logs of members %d and %d differ at index %d but have the same term at a later index", a.id, b.id, i)
		}
	}
}
