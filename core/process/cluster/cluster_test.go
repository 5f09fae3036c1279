package cluster_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/result"
)

func TestPublishReachesAllVMs(t *testing.T) {
	in := newInstallation(t, 4, 2)
	in.publish("control-3", 7)
	in.waitForVersion(7)
	// Publishing an older version, or the same one again, is acknowledged but
	// changes nothing.
	changes := make(map[string]int)
	for name, p := range in.processes {
		changes[name] = p.observer.changeCount()
	}
	in.publish("control-0", 5)
	in.publish("control-1", 7)
	for name, p := range in.processes {
		assert.Equal(t, p.observer.changeCount(), changes[name], "%s was told of a change", name)
	}
	for name := range in.processes {
		if routes, err := in.read(name); in.processes[name].folder != "" {
			assert.NilError(t, err)
			assert.Equal(t, routes.Version(), uint64(7))
			assert.Equal(t, string(routes.Document()), "version 7")
		}
	}
	in.publish("control-2", 9)
	in.waitForVersion(9)
}

func TestTargetListReachesAllVMs(t *testing.T) {
	in := newInstallation(t, 3, 3)
	in.list.set("i-1", "i-2")
	waitForTargets := func(n int) {
		t.Helper()
		for _, p := range in.processes {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if p.observer.targets() != n {
					return poll.Continue("%s has %d targets", p.name, p.observer.targets())
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
		}
	}
	waitForTargets(2)
	in.list.set("i-2", "i-3", "i-4")
	waitForTargets(3)
	// Two control VMs stop, which may include the one that reads the list. The
	// third must continue to read it.
	in.list.set("i-5")
	for _, name := range []string{"control-0", "control-1"} {
		in.processes[name].stop()
		delete(in.processes, name)
	}
	waitForTargets(1)
}

// Each control VM in turn loses its disk and must become a voter again before the
// next one does.
func TestControlVMRejoinsWithEmptyDisk(t *testing.T) {
	in := newInstallation(t, 3, 1)
	in.publish("control-0", 1)
	in.waitForVersion(1)
	for n, name := range []string{"control-0", "control-1", "control-2"} {
		in.restart(name, t.TempDir())
		in.publish(name, uint64(n+2))
		in.waitForVersion(uint64(n + 2))
		// The VM is fully restored once it is a voter again; only then may the
		// next one lose its disk.
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !in.processes[name].cluster.IsVoter() {
				return poll.Continue("%s is not a voter yet", name)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
}

func TestRoutesSurviveFullRestart(t *testing.T) {
	in := newInstallation(t, 3, 1)
	in.publish("control-1", 12)
	in.waitForVersion(12)
	in.restartAll()
	in.waitForVersion(12)
}

// After a restart of all processes, no VM may adopt a version that was replaced before
// it, such as that of the last snapshot: a withdrawn route would be in use again. The
// documents are long enough that the journals are compacted, and version 99 comes after
// the last snapshot.
func TestReplacedVersionIsNotAdoptedAfterFullRestart(t *testing.T) {
	in := newInstallation(t, 3, 2)
	long := bytes.Repeat([]byte("x"), 300<<10)
	for version := range uint64(4) {
		in.publishDocument("control-0", version+1, long)
	}
	in.publish("control-0", 99)
	in.waitForVersion(99)
	in.restartAll()
	in.waitForVersion(99)
	for _, p := range in.processes {
		assert.Equal(t, p.observer.lowestVersion(), uint64(99), p.name)
	}
}

// After all control VMs have restarted, none of them has a target list. If they
// numbered the lists from 1 again, entry VMs, which have a list with a higher number,
// would ignore the new lists.
func TestEntryVMAdoptsListAfterControlVMRestart(t *testing.T) {
	// There are more reads before the restart than are allowed after it: numbers
	// from 1 could otherwise exceed that of the entry VM's list during the test.
	const readsBeforeRestart, maxReads = 8, 5
	in := newInstallation(t, 3, 0)
	in.onlyControlVMsRead = true
	entry := in.start("entry-0", "", true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := in.list.count(); n < readsBeforeRestart || entry.observer.targets() != 1 {
			return poll.Continue("%d reads", n)
		}
		return poll.Success()
	}, poll.WithTimeout(40*time.Second), poll.WithDelay(20*time.Millisecond))
	controlVMs := []string{"control-0", "control-1", "control-2"}
	for _, name := range controlVMs {
		in.processes[name].stop()
	}
	in.list.set("i-2", "i-3")
	for _, name := range controlVMs {
		p := in.processes[name]
		in.listen(name, p.address)
		in.start(name, p.folder, false)
	}
	readsAtRestart := in.list.count()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if entry.observer.targets() != 2 {
			return poll.Continue("the entry VM still has its old list")
		}
		return poll.Success()
	}, poll.WithTimeout(40*time.Second), poll.WithDelay(20*time.Millisecond))
	// Each of the three control VMs may read the list once before it receives
	// the presences of the others. The bound allows two more reads.
	reads := in.list.count() - readsAtRestart
	assert.Assert(t, reads <= maxReads, "%d reads after the restart", reads)
}

// A control VM that restarts with an empty disk must not bootstrap a second log,
// even if it can't reach any VM that has the first one.
func TestEmptyVMDoesNotBootstrap(t *testing.T) {
	in := newInstallation(t, 3, 0)
	in.publish("control-0", 3)
	in.waitForVersion(3)
	for _, name := range []string{"control-1", "control-2"} {
		in.processes[name].stop()
	}
	in.restart("control-0", t.TempDir())
	_, err := in.read("control-0")
	assert.Equal(t, result.CodeOf(err), result.NoQuorum, "%v", err)
	delete(in.processes, "control-1")
	delete(in.processes, "control-2")
}

func TestNewVMReplacesLostVoter(t *testing.T) {
	in := newInstallation(t, 3, 1)
	in.publish("control-0", 1)
	in.processes["control-2"].stop()
	delete(in.processes, "control-2")
	in.listen("control-9", "127.0.0.1:0")
	in.start("control-9", t.TempDir(), false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !in.processes["control-9"].cluster.IsVoter() {
			return poll.Continue("control-9 is not a voter yet")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	// With the new voter, the log tolerates the loss of another control VM.
	in.processes["control-1"].stop()
	delete(in.processes, "control-1")
	in.publish("control-9", 2)
	in.waitForVersion(2)
}

// Without a quorum, a read must fail when its context ends, not return old routes.
func TestReadFailsInTimeWithoutQuorum(t *testing.T) {
	in := newInstallation(t, 3, 0)
	in.publish("control-0", 1)
	in.processes["control-1"].stop()
	in.processes["control-2"].stop()
	delete(in.processes, "control-1")
	delete(in.processes, "control-2")
	start := time.Now()
	_, err := in.read("control-0")
	assert.Equal(t, result.CodeOf(err), result.NoQuorum, "%v", err)
	assert.Assert(t, time.Since(start) < 1500*time.Millisecond)
}
