package control

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/journal"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// network joins control VMs that a test steps one by one. A VM that is paused is not
// stepped; the messages to it wait.
type network struct {
	clock  loopClock
	names  []string
	vms    map[string]*Control
	queues map[string][]delivery
	paused string
}

// networkPort is the Sender and Peers of one VM of a network.
type networkPort struct {
	network *network
	name    string
}

func (p *networkPort) SendEnvelope(vm string, payload []byte) {
	if e, err := replica.DecodeEnvelope(payload); err == nil {
		p.network.queues[vm] = append(p.network.queues[vm], delivery{envelope: e})
	}
}

func (p *networkPort) PeerStatuses() map[string]PeerStatus {
	out := make(map[string]PeerStatus)
	for name, c := range p.network.vms {
		if name != p.name {
			out[name] = NewPeerStatus(c.self.ID(), c.Status().Bootstrapped())
		}
	}
	return out
}

func (p *networkPort) MayBootstrap() bool { return len(p.network.vms) == len(p.network.names) }

// newNetwork opens three control VMs.
func newNetwork(t *testing.T) *network {
	return newNetworkOf(t, newClock(bootclock.Now), 3, 3, func(string) journal.Disk { return journal.SystemDisk() })
}

// heldClock is a clock that stands still between the steps of a test. What the test's own
// calls take, such as a sync of a slow disk, then changes nothing in simulated time.
type heldClock struct{ at bootclock.Time }

func (c *heldClock) now() bootclock.Time { return c.at }

func (c *heldClock) advance(d time.Duration) { c.at = c.at.Add(d) }

// newNetworkOf opens a number of control VMs, of which some become voters. diskOf returns the
// disk of a VM.
func newNetworkOf(t *testing.T, clock loopClock, vms, voters int, diskOf func(name string) journal.Disk) *network {
	n := &network{clock: clock, vms: make(map[string]*Control), queues: make(map[string][]delivery)}
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i+1)
		n.names = append(n.names, name)
		port := &networkPort{network: n, name: name}
		j, records, err := journal.OpenOn(diskOf(name), t.TempDir())
		assert.NilError(t, err)
		c, err := open(j, records, name, nil, voters, port, port, zap.NewNop(), n.clock.now())
		assert.NilError(t, err)
		n.vms[name] = c
	}
	return n
}

// step delivers the waiting messages and steps each VM that is not paused.
func (n *network) step(t *testing.T) {
	t.Helper()
	for _, name := range n.names {
		if name == n.paused {
			continue
		}
		waiting := n.queues[name]
		n.queues[name] = nil
		for _, d := range waiting {
			n.vms[name].handle(d, n.clock.now())
		}
		assert.NilError(t, n.vms[name].step(n.clock))
	}
}

// stepUntil steps until a condition holds.
func (n *network) stepUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n.step(t)
		if !condition() {
			return poll.Continue("waiting until %s", description)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// leader returns the name of the leader among the VMs that are not paused.
func (n *network) leader() (string, bool) {
	for name, c := range n.vms {
		if name != n.paused && c.Status().Leads() {
			return name, true
		}
	}
	return "", false
}

// publish commits a version through the leader.
func (n *network) publish(t *testing.T, version uint64) {
	t.Helper()
	n.stepUntil(t, "a version is acknowledged", func() bool {
		name, ok := n.leader()
		if !ok {
			return false
		}
		reply := make(chan proposalResult, 1)
		n.vms[name].handle(proposal{command: replica.NewPublishRoutes(version, []byte("text")), reply: reply}, n.clock.now())
		for range 20 {
			n.step(t)
			select {
			case res := <-reply:
				return res.err == nil
			default:
			}
		}
		return false
	})
}

// A leader that was paused while another one was elected must not answer from what it
// knew, even if a read and a change wait for it before any message of the others.
func TestPausedLeaderDoesNotUseItsExpiredLeadership(t *testing.T) {
	n := newNetwork(t)
	n.publish(t, 1)
	old, ok := n.leader()
	assert.Assert(t, ok)
	n.paused = old
	n.publish(t, 2)
	n.paused = ""

	c := n.vms[old]
	assert.Assert(t, c.Status().Leads(), "the paused VM must still believe that it leads")
	read := make(chan readResult, 1)
	change := make(chan proposalResult, 1)
	c.handle(readRequest{reply: read}, n.clock.now())
	c.handle(proposal{command: replica.NewPublishRoutes(3, []byte("text")), reply: change}, n.clock.now())
	assert.NilError(t, c.step(n.clock))
	// On a slow machine the pause lasts long enough for the leader to step down in this
	// step. It then answers with errors.
	if len(read) == 1 {
		res := <-read
		assert.Assert(t, res.err != nil, "the read was answered without a quorum")
		read <- res
	}
	if len(change) == 1 {
		res := <-change
		assert.Assert(t, res.err != nil, "the change was answered without a quorum")
		change <- res
	}
	n.stepUntil(t, "the read and the change are answered", func() bool { return len(read) == 1 && len(change) == 1 })
	if res := <-read; res.err == nil {
		assert.Assert(t, res.routes.Version() >= 2, "version %d", res.routes.Version())
	}
	assert.Assert(t, (<-change).err != nil, "a change of the old leader was acknowledged")
}
