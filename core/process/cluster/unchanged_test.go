package cluster_test

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/cluster"
)

// A control VM repeats its presence in short to an entry VM that does so itself, and only
// to such a one: an earlier version closes the session at a message that it does not know.
func TestUnchangedPresencesAreShort(t *testing.T) {
	for _, understands := range []bool{false, true} {
		in := newInstallation(t, 3, 1)
		in.publish("control-0", 1)
		in.waitForVersion(1)
		presence := peer.NewPresence("entry-9", "", "dc-1", "s", 1)
		var repeated peer.Message = presence
		if understands {
			repeated = peer.NewUnchanged(0, 0)
		}
		s := dialRaw(t, in.processes["control-0"].address, presence, 4*time.Second)
		presences, unchanged := 0, 0
		for presences+unchanged < 6 {
			m, size := s.receive()
			s.send(repeated)
			switch m.(type) {
			case peer.Presence:
				presences++
			case peer.Unchanged:
				unchanged++
				assert.Assert(t, size < 32, "%d bytes", size)
			}
		}
		assert.Equal(t, unchanged >= 3, understands, "%d presences, %d unchanged", presences, unchanged)
		if !understands {
			assert.Equal(t, unchanged, 0)
		}
		assert.Assert(t, s.conn.Close() == nil)
	}
}

// What a presence says stays in force while its sender repeats it in short, and a change
// is sent in full: the VM count, the list and the liveness of the peers.
func TestUnchangedPresencesKeepPeersAlive(t *testing.T) {
	in := newInstallation(t, 3, 3)
	in.publish("control-0", 1)
	in.waitForVersion(1)
	time.Sleep(3 * time.Second)
	now := time.Now()
	for _, name := range []string{"entry-0", "entry-1", "entry-2"} {
		c := in.processes[name].cluster
		count, known := c.EntryVMs(now)
		assert.Assert(t, known && count == 3, "%s: %d %t", name, count, known)
		assert.Assert(t, c.ReachableDataCentres(now)["dc-1"], name)
	}
	in.processes["entry-2"].stop()
	delete(in.processes, "entry-2")
	waitForEntryVMs(t, in.processes["entry-0"].cluster, 2)
	in.start("entry-3", "", true)
	in.start("entry-4", "", true)
	waitForEntryVMs(t, in.processes["entry-0"].cluster, 4)
}

// waitForEntryVMs waits until a process knows a number of entry VMs.
func waitForEntryVMs(t *testing.T, c *cluster.Cluster, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if count, known := c.EntryVMs(time.Now()); !known || count != n {
			return poll.Continue("%d entry VMs, not %d", count, n)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
}

// Guards against VMs that are killed together and return one after the other, of which the
// first would divide the limits for all VMs among too few.
func TestEntryVMsCountForSomeTimeAfterTheyEnded(t *testing.T) {
	in := newInstallation(t, 3, 3)
	in.publish("control-0", 1)
	in.waitForVersion(1)
	waitForEntryVMs(t, in.processes["entry-0"].cluster, 3)
	for _, name := range []string{"entry-1", "entry-2"} {
		in.processes[name].stop()
		delete(in.processes, name)
	}
	time.Sleep(1500 * time.Millisecond)
	in.start("entry-3", "", true)
	var count int
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var known bool
		if count, known = in.processes["entry-3"].cluster.EntryVMs(time.Now()); !known {
			return poll.Continue("not known")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	assert.Assert(t, count >= 3, "%d", count)
}

// An entry VM that reaches no control VM does not know how many there are. It must not
// take itself for the only one.
func TestEntryVMsAreNotKnownWithoutAControlVM(t *testing.T) {
	c := cluster.New(cluster.NewIdentity("entry-0", "", "dc-1", "s", false), []string{"127.0.0.1:1"}, nil, nil, zap.NewNop())
	_, known := c.EntryVMs(time.Now())
	assert.Assert(t, !known)
}
