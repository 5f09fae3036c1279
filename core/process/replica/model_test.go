package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// documentOf returns a small valid document that differs with n.
func documentOf(n int) []byte {
	leaf := configuration.NewLeaf("leaf-1", "dc-1", "127.0.0.1:1")
	limits := configuration.NewLimits(1, 1, 1, 0, 0)
	return configuration.Encode(configuration.New("test", n+1,
		[]configuration.DataCentre{configuration.NewDataCentre("dc-1", "r", true)},
		[]configuration.Service{configuration.NewService("s-1", limits, true, []configuration.Leaf{leaf})},
		[]configuration.Query{configuration.NewQuery("q-1", time.Second, []string{"s-1"})}, nil), configuration.Notes{})
}

// sequence is a drawn run of faults and changes.
type sequence struct {
	c       *cluster
	changes int
	sent    []Command
}

// step does one drawn action. At most one machine is without its memory at
// a time; a second loss during a repair is beyond what three voters bear.
func (s *sequence) step(action, choice int) {
	c := s.c
	vm := c.names[choice%len(c.names)]
	switch action {
	case 0, 1, 2:
		c.advance(time.Duration(50+choice%400) * time.Millisecond)
	case 3, 4:
		s.changes++
		base := c.machines[vm].state.Version()
		command := NewReplaceConfiguration(NewChangeMetadata(fmt.Sprintf("change-%d", s.changes), base, "a", "r", time.Time{}), documentOf(s.changes))
		s.sent = append(s.sent, command)
		s.everywhere(command)
	case 5:
		if len(s.sent) > 0 {
			s.everywhere(s.sent[choice%len(s.sent)])
		}
	case 6:
		other := c.names[(choice/3)%len(c.names)]
		c.cut[vm+">"+other] = true
	case 7:
		clear(c.cut)
	case 8:
		for _, other := range c.names {
			c.cut[vm+">"+other] = true
			c.cut[other+">"+vm] = true
		}
	case 9:
		if c.machines[vm].up {
			c.crash(vm, false)
		}
	case 10:
		if !c.machines[vm].up {
			c.start(vm)
		}
	case 11:
		if c.lostDisks() == 0 && c.committedSomething() {
			c.crash(vm, true)
			c.start(vm)
		}
	case 12:
		c.machines[vm].frozenUntil = c.now.Add(time.Duration(choice%5000) * time.Millisecond)
	case 13:
		c.compact(vm)
	}
	c.join()
}

func (s *sequence) everywhere(command Command) {
	for _, name := range s.c.names {
		s.c.propose(name, command)
	}
}

func (c *cluster) committedSomething() bool { return len(c.committed) > 0 }

const actions = 14

// heal ends all faults and returns whether a change is accepted again.
func (s *sequence) heal() bool {
	c := s.c
	clear(c.cut)
	for _, name := range c.names {
		c.machines[name].frozenUntil = time.Time{}
		if !c.machines[name].up {
			c.start(name)
		}
	}
	before := len(c.acknowledged)
	for range 60 {
		c.join()
		c.advance(250 * time.Millisecond)
		if leader := c.leader(); leader != nil {
			s.changes++
			s.c.propose(leader.vm, NewReplaceConfiguration(NewChangeMetadata(fmt.Sprintf("heal-%d", s.changes), leader.state.Version(), "a", "r", time.Time{}), documentOf(s.changes)))
		}
		if len(c.acknowledged) > before+2 && c.lostDisks() == 0 {
			return true
		}
	}
	return false
}

func TestLogUnderDrawnFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &sequence{c: newCluster(rapid.Uint64().Draw(rt, "seed"), fault{})}
		s.c.advance(3 * time.Second)
		steps := rapid.SliceOfN(rapid.IntRange(0, actions*1000-1), 10, 60).Draw(rt, "steps")
		for _, n := range steps {
			s.step(n%actions, n/actions)
			if s.c.violation != "" {
				rt.Fatal(s.c.violation)
			}
		}
		if !s.heal() {
			rt.Fatalf("no change is accepted after all faults ended; leader %v", s.c.leader())
		}
		if s.c.violation != "" {
			rt.Fatal(s.c.violation)
		}
	})
}

// runSeeds runs drawn sequences with a planted fault and returns the first
// violation found.
func runSeeds(f fault, seeds, steps int) string {
	for seed := range seeds {
		s := &sequence{c: newCluster(uint64(seed), f)}
		s.c.advance(3 * time.Second)
		for range steps {
			s.step(s.c.pick(actions), s.c.pick(1000))
			if s.c.violation != "" {
				return s.c.violation
			}
		}
	}
	return ""
}

func TestCheckFindsPlantedFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
	}{
		{"writes are acknowledged before they are synced", fault{noSync: true}},
		{"a lost disk returns under its old id and votes", fault{emptyVoterVotes: true}},
		{"change ids are forgotten", fault{forgetChangeIDs: true}},
		{"the leader commits what no majority has", fault{staleCommit: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			violation := runSeeds(tt.fault, 300, 80)
			t.Log(violation)
			assert.Assert(t, violation != "", "the planted fault was not found")
		})
	}
}

func TestSeededSequencesWithoutFaultHold(t *testing.T) {
	assert.Equal(t, runSeeds(fault{}, 150, 80), "")
}

// disturbances counts the elections that a replica which can't be heard causes
// in a working cluster.
func disturbances(f fault) int {
	c := newCluster(7, f)
	c.advance(3 * time.Second)
	before := c.depositions
	var deaf string
	for _, name := range c.names {
		if c.machines[name].node.role != Leader {
			deaf = name
		}
	}
	// The replica can speak and hears nothing, then everything.
	for range 5 {
		for _, name := range c.names {
			c.cut[name+">"+deaf] = true
		}
		c.advance(4 * time.Second)
		clear(c.cut)
		c.advance(2 * time.Second)
	}
	return c.depositions - before
}

func TestPreVoteKeepsADeafReplicaFromDeposingTheLeader(t *testing.T) {
	assert.Equal(t, disturbances(fault{}), 0)
	assert.Assert(t, disturbances(fault{noPreVote: true}) > 0, "the planted fault was not found")
}
