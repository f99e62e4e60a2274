package consensus

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
)

// disk is what survives a crash of a simulated member.
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

// machine is a state machine whose state is a hash over all applied entries.
type machine struct {
	index uint64
	state [sha256.Size]byte
}

type simMember struct {
	id   uint64
	disk disk
	node *Node // nil while crashed
	sm   machine
	gone bool // the disk was lost
}

// cluster runs members over a network that loses, duplicates, delays and reorders messages.
type cluster struct {
	rng      *rand.Rand
	members  []*simMember
	network  []Message
	blocked  map[[2]uint64]bool
	loss     float64
	leaders  map[uint64]uint64            // by term
	states   map[uint64][sha256.Size]byte // by index
	commit   uint64                       // highest index that any member knew to be committed
	reads    map[uint64]uint64            // request id to the commit index at the request
	nextRead uint64
	values   int
	stats    map[string]int
	failure  error
}

func newCluster(seed uint64, size int) *cluster {
	c := &cluster{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		blocked: map[[2]uint64]bool{},
		leaders: map[uint64]uint64{},
		states:  map[uint64][sha256.Size]byte{},
		reads:   map[uint64]uint64{},
		stats:   map[string]int{},
	}
	var members []Member
	for id := 1; id <= size; id++ {
		members = append(members, Member{ID: uint64(id), Addr: fmt.Sprint("addr-", id)})
	}
	founding := Snapshot{Index: 1, Term: 1, Members: members, Data: make([]byte, sha256.Size)}
	for id := 1; id <= size; id++ {
		c.addHost(disk{hard: HardState{Term: 1}, snapshot: founding})
	}
	return c
}

func (c *cluster) addHost(d disk) *simMember {
	m := &simMember{id: uint64(len(c.members) + 1), disk: d}
	c.members = append(c.members, m)
	c.restart(m)
	return m
}

func (c *cluster) fail(format string, args ...any) {
	if c.failure == nil {
		c.failure = fmt.Errorf(format, args...)
	}
}

func (c *cluster) restart(m *simMember) {
	if m.node != nil || m.gone {
		return
	}
	node, err := New(Config{
		ID: m.id, Seed: c.rng.Uint64(), Hard: m.disk.hard, Snapshot: m.disk.snapshot, Entries: m.disk.entries,
	})
	if err != nil {
		c.fail("restart of %d: %v", m.id, err)
		return
	}
	m.node = node
	m.sm.restore(m.disk.snapshot)
}

func (s *machine) restore(snapshot Snapshot) {
	s.index = snapshot.Index
	copy(s.state[:], snapshot.Data)
}

// work carries out the Ready work of a member. With crash set the member fails at a random step.
func (c *cluster) work(m *simMember, crash bool) {
	for m.node != nil {
		r := m.node.Ready()
		step := -1
		if crash {
			step = c.rng.IntN(4)
		}
		if step != 0 {
			m.disk.save(r)
		}
		if step != 0 && step != 1 {
			c.network = append(c.network, r.Messages[:c.sentCount(step, len(r.Messages))]...)
		}
		if step >= 0 {
			m.node = nil
			return
		}
		c.apply(m, r)
		m.node.Advance()
		c.observe(m)
		if r.Empty() {
			return
		}
	}
}

func (c *cluster) sentCount(step, n int) int {
	if step == 2 {
		return n / 2
	}
	return n
}

func (c *cluster) apply(m *simMember, r Ready) {
	if r.Snapshot != nil {
		m.sm.restore(*r.Snapshot)
		c.checkState(m)
		c.stats["installs"]++
	}
	for _, e := range r.Committed {
		if e.Index != m.sm.index+1 {
			c.fail("member %d applies %d after %d", m.id, e.Index, m.sm.index)
		}
		m.sm.index = e.Index
		m.sm.state = sha256.Sum256(fmt.Append(m.sm.state[:], e.Index, e.Term, e.Kind, e.Data, e.Members))
		c.checkState(m)
	}
	for _, read := range r.Reads {
		if read.Index < c.reads[read.ID] {
			c.fail("read confirmed at %d, but %d was committed before the request", read.Index, c.reads[read.ID])
		}
		c.stats["reads"]++
	}
}

// checkState guards against members that apply different entries at the same index.
func (c *cluster) checkState(m *simMember) {
	known, ok := c.states[m.sm.index]
	if ok && known != m.sm.state {
		c.fail("member %d has another state at %d", m.id, m.sm.index)
	}
	c.states[m.sm.index] = m.sm.state
}

func (c *cluster) observe(m *simMember) {
	s := m.node.Status()
	c.commit = max(c.commit, s.Commit)
	if s.Role != Leader {
		return
	}
	if other, ok := c.leaders[s.Term]; ok && other != m.id {
		c.fail("members %d and %d both lead term %d", other, m.id, s.Term)
	}
	c.leaders[s.Term] = m.id
}

// deliver hands over or loses one random message.
func (c *cluster) deliver() {
	i := c.rng.IntN(len(c.network))
	msg := c.network[i]
	if c.rng.Float64() >= c.loss/2 { // else it is delivered again later
		c.network[i] = c.network[len(c.network)-1]
		c.network = c.network[:len(c.network)-1]
	}
	to := c.members[msg.To-1]
	if c.blocked[[2]uint64{msg.From, msg.To}] || c.rng.Float64() < c.loss || to.node == nil {
		return
	}
	if err := to.node.Step(msg); err != nil {
		c.fail("member %d refuses a message of kind %d: %v", to.id, msg.Kind, err)
	}
	c.work(to, false)
}

// run lets ticks pass; some messages stay in flight between ticks.
func (c *cluster) run(ticks int) {
	for range ticks {
		for _, m := range c.members {
			if m.node != nil {
				m.node.Tick()
				c.work(m, false)
			}
		}
		for steps := 60; len(c.network) > 0 && steps > 0; steps-- {
			c.deliver()
		}
		if excess := len(c.network) - 300; excess > 0 {
			c.network = c.network[excess:]
		}
	}
}

func (c *cluster) heal() {
	c.blocked = map[[2]uint64]bool{}
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
	c.values++
	if _, _, err := m.node.Propose([]byte(fmt.Sprint("v", c.values))); err == nil {
		c.stats["proposals"]++
	}
}

func (c *cluster) read(m *simMember) {
	if m.node == nil {
		return
	}
	c.nextRead++
	c.reads[c.nextRead] = c.commit
	_ = m.node.ReadIndex(c.nextRead)
}

func (c *cluster) compact(m *simMember, tail uint64) {
	if m.node == nil {
		return
	}
	s, err := m.node.NewSnapshot(m.sm.index, slices.Clone(m.sm.state[:]))
	if err != nil || s.Index <= m.disk.snapshot.Index {
		return
	}
	m.disk.entries = slices.DeleteFunc(slices.Clone(m.disk.entries), func(e Entry) bool { return e.Index <= s.Index })
	m.disk.snapshot = s
	m.node.Compact(s, tail)
}

// checkLogs guards the log matching property: equal terms at an index mean equal logs up to it.
func (c *cluster) checkLogs() {
	for i, a := range c.members {
		for _, b := range c.members[i+1:] {
			if a.node == nil || b.node == nil {
				continue
			}
			c.checkPair(a, b)
		}
	}
}

func (c *cluster) checkPair(a, b *simMember) {
	low := max(a.node.log.baseIndex, b.node.log.baseIndex)
	equal := false
	for i := min(a.node.log.last(), b.node.log.last()); i > low; i-- {
		x := a.node.log.entries[i-a.node.log.baseIndex-1]
		y := b.node.log.entries[i-b.node.log.baseIndex-1]
		equal = equal || x.Term == y.Term
		if equal && (x.Term != y.Term || string(x.Data) != string(y.Data)) {
			c.fail("logs of %d and %d agree past index %d but differ there", a.id, b.id, i)
		}
	}
}
