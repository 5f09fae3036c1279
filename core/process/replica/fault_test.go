package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// testDocument returns a small valid configuration that differs for each n.
func testDocument(n int) []byte {
	leaf := configuration.NewLeaf("leaf-1", "dc-1", "127.0.0.1:1")
	limits := configuration.NewLimits(1, 1, 1, 0, 0)
	return configuration.Encode(configuration.New("test", n+1,
		[]configuration.DataCentre{configuration.NewDataCentre("dc-1", "r", true)},
		[]configuration.Service{configuration.NewService("s-1", limits, true, []configuration.Leaf{leaf})},
		[]configuration.Query{configuration.NewQuery("q-1", time.Second, []string{"s-1"})}, nil), configuration.Notes{})
}

// faultRun runs random faults and configuration changes on a cluster.
type faultRun struct {
	cluster     *cluster
	changeCount int
	proposed    []Command
}

// step carries out one random action. At most one VM is without its stored state
// at a time: three voters do not tolerate a second disk loss before the first is
// repaired.
func (run *faultRun) step(action, choice int) {
	c := run.cluster
	vm := c.vmNames[choice%len(c.vmNames)]
	switch action {
	case 0, 1, 2:
		c.advance(time.Duration(50+choice%400) * time.Millisecond)
	case 3, 4:
		run.changeCount++
		base := c.vms[vm].state.Version()
		command := NewReplaceConfiguration(NewChangeMetadata(fmt.Sprintf("change-%d", run.changeCount), base, "a", "r", time.Time{}), testDocument(run.changeCount))
		run.proposed = append(run.proposed, command)
		run.proposeToAll(command)
	case 5:
		// Resend an earlier change under its id.
		if len(run.proposed) > 0 {
			run.proposeToAll(run.proposed[choice%len(run.proposed)])
		}
	case 6:
		// Block one link in one direction.
		other := c.vmNames[(choice/3)%len(c.vmNames)]
		c.blockedLinks[vm+">"+other] = true
	case 7:
		clear(c.blockedLinks)
	case 8:
		// Isolate a VM in both directions.
		for _, other := range c.vmNames {
			c.blockedLinks[vm+">"+other] = true
			c.blockedLinks[other+">"+vm] = true
		}
	case 9:
		if c.vms[vm].running {
			c.crash(vm, false)
		}
	case 10:
		if !c.vms[vm].running {
			c.start(vm)
		}
	case 11:
		if c.nonVoters() == 0 && c.hasCommitted() {
			c.crash(vm, true)
			c.start(vm)
		}
	case 12:
		c.vms[vm].frozenUntil = c.now.Add(time.Duration(choice%5000) * time.Millisecond)
	case 13:
		c.compactLog(vm)
	}
	c.join()
}

func (run *faultRun) proposeToAll(command Command) {
	for _, name := range run.cluster.vmNames {
		run.cluster.propose(name, command)
	}
}

func (c *cluster) hasCommitted() bool { return len(c.committedEntries) > 0 }

const faultActionCount = 14

// heal ends all faults and reports whether changes are accepted again and every
// VM is a voter.
func (run *faultRun) heal() bool {
	c := run.cluster
	clear(c.blockedLinks)
	for _, name := range c.vmNames {
		c.vms[name].frozenUntil = 0
		if !c.vms[name].running {
			c.start(name)
		}
	}
	before := len(c.changeByVersion)
	for range 60 {
		c.join()
		c.advance(250 * time.Millisecond)
		if leader := c.leader(); leader != nil {
			run.changeCount++
			run.cluster.propose(leader.name, NewReplaceConfiguration(NewChangeMetadata(fmt.Sprintf("heal-%d", run.changeCount), leader.state.Version(), "a", "r", time.Time{}), testDocument(run.changeCount)))
		}
		if len(c.changeByVersion) > before+2 && c.nonVoters() == 0 {
			return true
		}
	}
	return false
}

func TestLogUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		run := &faultRun{cluster: newCluster(rapid.Uint64().Draw(rt, "seed"), injectedBugs{})}
		run.cluster.advance(3 * time.Second)
		steps := rapid.SliceOfN(rapid.IntRange(0, faultActionCount*1000-1), 10, 60).Draw(rt, "steps")
		for _, n := range steps {
			// Each number holds the action and the choice of its details.
			run.step(n%faultActionCount, n/faultActionCount)
			if run.cluster.violation != "" {
				rt.Fatal(run.cluster.violation)
			}
		}
		if !run.heal() {
			rt.Fatalf("after all faults ended, changes were not accepted or a VM did not become a voter; leader %v", run.cluster.leader())
		}
		if run.cluster.violation != "" {
			rt.Fatal(run.cluster.violation)
		}
	})
}

// runSeeds runs one seeded fault run per seed and returns the first violation, or
// "".
func runSeeds(bugs injectedBugs, seeds, steps int) string {
	for seed := range seeds {
		run := &faultRun{cluster: newCluster(uint64(seed), bugs)}
		run.cluster.advance(3 * time.Second)
		for range steps {
			run.step(run.cluster.randIntN(faultActionCount), run.cluster.randIntN(1000))
			if run.cluster.violation != "" {
				return run.cluster.violation
			}
		}
	}
	return ""
}

func TestInvariantChecksDetectInjectedBugs(t *testing.T) {
	tests := []struct {
		name string
		bugs injectedBugs
	}{
		{"writes are acknowledged before they are synced", injectedBugs{skipSync: true}},
		{"a lost disk returns under its old id and votes", injectedBugs{reuseReplicaID: true}},
		{"change ids are forgotten", injectedBugs{forgetOutcomes: true}},
		{"the leader commits what no majority has", injectedBugs{commitWithoutQuorum: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			violation := runSeeds(tt.bugs, 300, 80)
			t.Log(violation)
			assert.Assert(t, violation != "", "the injected bug was not detected")
		})
	}
}

func TestSeededFaultRunsKeepInvariants(t *testing.T) {
	assert.Equal(t, runSeeds(injectedBugs{}, 150, 80), "")
}

// electionsDuringOneWayPartition counts the leader changes in a working cluster
// while one follower can send but not receive.
func electionsDuringOneWayPartition(bugs injectedBugs) int {
	c := newCluster(7, bugs)
	c.advance(3 * time.Second)
	before := c.leaderChanges
	var partitionedVM string
	for _, name := range c.vmNames {
		if c.vms[name].node.role != Leader {
			partitionedVM = name
		}
	}
	// The follower repeatedly receives nothing for 4 s and everything for 2 s.
	for range 5 {
		for _, name := range c.vmNames {
			c.blockedLinks[name+">"+partitionedVM] = true
		}
		c.advance(4 * time.Second)
		clear(c.blockedLinks)
		c.advance(2 * time.Second)
	}
	return c.leaderChanges - before
}

func TestPreVoteKeepsLeaderDuringOneWayPartition(t *testing.T) {
	assert.Equal(t, electionsDuringOneWayPartition(injectedBugs{}), 0)
	assert.Assert(t, electionsDuringOneWayPartition(injectedBugs{skipPreVote: true}) > 0, "the injected bug was not detected")
}
