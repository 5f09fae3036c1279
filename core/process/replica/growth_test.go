package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// growth is a drawn run of faults on control VMs of which some are learners
// and take the place of voters that are silent or lost their disk.
type growth struct {
	c         *cluster
	published uint64
}

// bearable reports whether a machine may lose its disk now: no set of voters
// that is in force anywhere may lose so many lives that a majority of it holds
// nothing of what was committed.
func (g *growth) bearable(vm string) bool {
	alive := make(map[ID]bool)
	for _, m := range g.c.machines {
		if m.vm != vm {
			alive[m.id] = true
		}
	}
	for _, m := range g.c.machines {
		if m.vm == vm {
			continue
		}
		// What is on a disk counts also while its machine is down.
		log := tail{snapshot: m.disk.snapshot, entries: m.disk.entries}
		voters, _ := log.voters()
		dead := 0
		for _, v := range voters.members {
			if !alive[v.id] {
				dead++
			}
		}
		if len(voters.members) > 0 && dead > (len(voters.members)-1)/2 {
			return false
		}
	}
	return true
}

func (g *growth) step(action, choice int) {
	c := g.c
	vm := c.names[choice%len(c.names)]
	m := c.machines[vm]
	switch action {
	case 0, 1, 2:
		c.advance(time.Duration(50+choice%600) * time.Millisecond)
	case 3, 4, 5:
		g.published++
		version := g.published
		if choice%4 == 0 && version > 2 {
			version -= 2
		}
		for _, name := range c.names {
			c.propose(name, NewPublishRoutes(version, fmt.Appendf(nil, "version %d", version)))
		}
	case 6:
		for _, other := range c.names {
			c.cut[vm+">"+other] = true
			if choice%2 == 0 {
				c.cut[other+">"+vm] = true
			}
		}
	case 7, 8:
		clear(c.cut)
	case 9:
		if m.up {
			c.crash(vm, false)
		}
	case 10:
		if !m.up {
			c.start(vm)
		}
	case 11:
		if g.bearable(vm) {
			c.crash(vm, true)
			c.start(vm)
		}
	case 12:
		m.frozenUntil = c.now.Add(time.Duration(choice%6000) * time.Millisecond)
	case 13:
		c.compact(vm)
	case 14:
		half := len(c.names) / 2
		for i, a := range c.names {
			for j, b := range c.names {
				if (i < half) != (j < half) {
					c.cut[a+">"+b] = true
				}
			}
		}
	case 15:
		// All lose power and come back at once.
		for _, name := range c.names {
			if c.machines[name].up {
				c.crash(name, false)
			}
		}
		for _, name := range c.names {
			c.start(name)
		}
	}
	c.join()
	g.checkRoutes()
}

// checkRoutes checks that no two machines hold other routes under a revision.
func (g *growth) checkRoutes() {
	seen := make(map[uint64]string)
	for _, m := range g.c.machines {
		r := m.state.Routes()
		content := fmt.Sprint(r.version, string(r.document), r.out)
		if other, known := seen[r.revision]; known && other != content {
			g.c.fail("revision %d holds %s and %s", r.revision, other, content)
		}
		seen[r.revision] = content
	}
}

// committedVersion returns the highest version that any machine has applied.
func (g *growth) committedVersion() uint64 {
	highest := uint64(0)
	for _, m := range g.c.machines {
		highest = max(highest, m.state.Routes().Version())
	}
	return highest
}

// heal ends all faults, and reports whether the wanted voters are there and
// know every version that was ever applied.
func (g *growth) heal(ever uint64) string {
	c := g.c
	clear(c.cut)
	for _, name := range c.names {
		c.machines[name].frozenUntil = time.Time{}
		if !c.machines[name].up {
			c.start(name)
		}
	}
	for range 80 {
		c.join()
		c.advance(250 * time.Millisecond)
	}
	leader := c.leader()
	if leader == nil {
		return "no leader after all faults ended"
	}
	if got := leader.state.Routes().Version(); got < ever {
		return fmt.Sprintf("the leader knows version %d, %d was applied before", got, ever)
	}
	if got := len(leader.node.Voters().members); got != c.wanted {
		return fmt.Sprintf("%d voters instead of %d", got, c.wanted)
	}
	for _, v := range leader.node.Voters().members {
		if c.machines[v.vm].id != v.id {
			return fmt.Sprintf("%s votes with a life that is gone", v.vm)
		}
	}
	return c.violation
}

const growthActions = 16

// failedSeeds once failed. 44 with five voters: the only replica whose log was
// up to date had an older term than those that must vote for it, and never
// learned of theirs, because a pre-vote was refused without it.
var failedSeeds = []uint64{44}

func runGrowth(names []string, wanted int, seed uint64, steps int) string {
	g := &growth{c: newClusterOf(names, wanted, seed, fault{})}
	for range 20 {
		g.c.join()
		g.c.advance(250 * time.Millisecond)
	}
	ever := uint64(0)
	for range steps {
		g.step(g.c.pick(growthActions), g.c.pick(10_000))
		ever = max(ever, g.committedVersion())
		if g.c.violation != "" {
			return g.c.violation
		}
	}
	return g.heal(ever)
}

func TestVotersGrowAndAreReplacedUnderDrawnFaults(t *testing.T) {
	tests := []struct {
		name   string
		names  []string
		wanted int
	}{
		{"three of three", []string{"vm-1", "vm-2", "vm-3"}, 3},
		{"three of four", []string{"vm-1", "vm-2", "vm-3", "vm-4"}, 3},
		{"five of five", []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}, 5},
		{"five of six", []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"}, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				assert.Equal(t, runGrowth(tt.names, tt.wanted, seed, 80), "", "seed %d", seed)
			}
			for _, seed := range failedSeeds {
				assert.Equal(t, runGrowth(tt.names, tt.wanted, seed, 80), "", "seed %d", seed)
			}
		})
	}
}
