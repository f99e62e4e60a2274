package consensus

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fault applies one random event to the cluster.
func (c *cluster) fault(op, arg int) {
	m := c.members[arg%len(c.members)]
	other := c.members[(arg/7)%len(c.members)]
	switch op {
	case 0, 1, 2:
		c.run(arg % 30)
	case 3:
		c.loss = float64(arg%4) / 10
	case 4:
		c.blocked[[2]uint64{m.id, other.id}] = true
	case 5:
		c.isolate(m)
	case 6:
		c.blocked = map[[2]uint64]bool{}
	case 7:
		c.propose(m)
		c.work(m, true)
	case 8:
		c.restart(m)
	case 9:
		c.compact(m, uint64(arg%5))
	case 10:
		c.changeMembers(m, arg)
	case 11:
		if m.node != nil {
			_ = m.node.TransferLeadership()
		}
	case 12:
		c.loseDisk(m)
	}
	for _, m := range c.members {
		c.propose(m)
		c.read(m)
		c.work(m, false)
	}
}

func (c *cluster) isolate(m *simMember) {
	for _, o := range c.members {
		c.blocked[[2]uint64{m.id, o.id}] = true
		c.blocked[[2]uint64{o.id, m.id}] = true
	}
}

func (c *cluster) changeMembers(m *simMember, arg int) {
	if m.node == nil || m.node.Status().Role != Leader {
		return
	}
	members := m.node.Status().Members
	var err error
	lost := slices.IndexFunc(members, func(o Member) bool { return c.members[o.ID-1].gone })
	if lost >= 0 {
		arg = lost*2 + 1 // an operator removes no working member while one is lost
	}
	if arg%2 == 0 && len(c.members) < 9 && len(members) < 6 {
		joiner := c.addHost(disk{})
		_, _, err = m.node.AddLearner(Member{ID: joiner.id, Addr: fmt.Sprint("addr-", joiner.id)})
	} else {
		_, _, err = m.node.RemoveMember(members[arg/2%len(members)].ID)
	}
	if err == nil {
		c.stats["changes"]++
	}
}

// loseDisk destroys a member for good, as long as the other voters remain a quorum in every
// membership that a member has in force. Lost learners count as voters, because the leader may
// promote them before it notices the loss.
func (c *cluster) loseDisk(m *simMember) {
	for _, o := range c.members {
		if o.gone || o.node == nil || !c.survivors(o, m.id) {
			return
		}
	}
	m.gone = true
	m.node = nil
	c.stats["lost disks"]++
}

func (c *cluster) survivors(o *simMember, without uint64) bool {
	voters, alive := 0, 0
	for _, member := range o.node.Status().Members {
		lost := member.ID == without || c.members[member.ID-1].gone
		if lost || !member.Learner {
			voters++
		}
		if !lost && !member.Learner {
			alive++
		}
	}
	return voters == 0 || alive > voters/2
}

// TestRandomSchedules guards safety under loss, duplication, reordering, partitions, crashes that
// lose unsynced state, lost disks and membership changes, and progress once the faults end.
func TestRandomSchedules(t *testing.T) {
	schedules := 0
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "size"))
		c.run(20)
		ops := rapid.SliceOfN(rapid.IntRange(0, 12), 10, 60).Draw(t, "ops")
		args := rapid.SliceOfN(rapid.IntRange(0, 1<<16), len(ops), len(ops)).Draw(t, "args")
		for i, op := range ops {
			c.fault(op, args[i])
			c.checkLogs()
			if c.failure != nil {
				t.Fatalf("after event %d (%d): %v", i, op, c.failure)
			}
		}
		checkRecovery(t, c)
		schedules++
		for k, v := range c.stats {
			total[k] += v
		}
	})
	t.Logf("schedules: %d, events: %v", schedules, total)
}

func checkRecovery(t *rapid.T, c *cluster) {
	c.heal()
	c.run(150)
	leader := c.leader()
	if leader == nil {
		t.Fatalf("no leader after the faults ended")
	}
	before := c.commit
	c.propose(leader)
	c.work(leader, false)
	c.run(60)
	if c.failure != nil {
		t.Fatalf("during recovery: %v", c.failure)
	}
	if c.commit <= before {
		t.Fatalf("nothing committed past %d after the faults ended", before)
	}
	for _, member := range c.leader().node.Status().Members {
		m := c.members[member.ID-1]
		if !m.gone && m.sm.index != c.commit {
			t.Fatalf("member %d applied %d of %d", m.id, m.sm.index, c.commit)
		}
	}
}

// TestSecondMemberLostAfterRepair guards against a replacement that counts as a voter before it
// holds the committed entries.
func TestSecondMemberLostAfterRepair(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		c := newCluster(seed, 3)
		c.run(40)
		leader := c.leader()
		for range 30 {
			c.propose(leader)
			c.work(leader, false)
		}
		lost := c.members[leader.id%3]
		lost.gone, lost.node = true, nil
		c.run(10)
		_, _, err := leader.node.RemoveMember(lost.id)
		is.NoErr(err)
		c.run(10)
		c.compact(leader, 0)
		joiner := c.addHost(disk{})
		_, _, err = leader.node.AddLearner(Member{ID: joiner.id, Addr: "replacement"})
		is.NoErr(err)
		for range 100 {
			if leader.node.isVoter(joiner.id) && leader.node.checkChange() == nil {
				break
			}
			c.run(1)
		}
		committed := c.commit
		leader.gone, leader.node = true, nil // the second loss
		c.run(60)
		successor := c.leader()
		is.True(successor != nil) // two of three members remain
		c.propose(successor)
		c.run(20)
		is.NoErr(c.failure)
		is.True(successor.sm.index > committed)
		is.Equal(joiner.sm, successor.sm)
	}
}

// TestIsolatedLeaderStepsDown guards against reads and leadership of a leader without a quorum.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	c := newCluster(7, 3)
	c.run(40)
	leader := c.leader()
	c.isolate(leader)
	c.read(leader)
	c.work(leader, false)
	c.run(ElectionMinTicks + 1)
	is.Equal(leader.node.Status().Role == Leader, false)
	is.Equal(c.stats["reads"], 0)
	is.NoErr(c.failure)
}

// TestReturningMemberKeepsLeader guards against elections caused by a member that was cut off.
func TestReturningMemberKeepsLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(11, 3)
	c.run(40)
	leader := c.leader()
	term := leader.node.Status().Term
	c.isolate(c.members[leader.id%3])
	c.run(200)
	c.heal()
	c.run(60)
	is.Equal(c.leader(), leader)
	is.Equal(leader.node.Status().Term, term)
}

// TestTransfer guards the hand-over at a graceful shutdown: the successor leads within 4 ticks.
func TestTransfer(t *testing.T) {
	is := is.New(t)
	c := newCluster(3, 3)
	c.run(40)
	leader := c.leader()
	is.NoErr(leader.node.TransferLeadership())
	c.work(leader, false)
	c.run(4)
	is.True(c.leader() != nil)
	is.True(c.leader() != leader)
	is.NoErr(c.failure)
}
