package cluster_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/cluster"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// setVersions replaces the targets by one of service s for each version.
func (l *fakeTargetList) setVersions(versions ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = nil
	for _, v := range versions {
		l.instances = append(l.instances, discovery.NewInstance("i-"+v, "s", "10.0.0.1:1", "dc-1", 1).WithVersion(v))
	}
}

// startLeader starts the only control VM of an installation and returns its address.
func startLeader(t *testing.T, list *fakeTargetList, bounds rollout.Bounds) (*cluster.Cluster, string) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := socket.Addr().String()
	observer := &recordingObserver{}
	c := cluster.New(cluster.NewIdentity("control-0", address, "dc-1", "s", true), []string{address}, list, observer, zap.NewNop())
	observer.holder = c.Confirmation()
	c.SetRollouts(bounds, nil)
	assert.NilError(t, c.EnableControl(t.TempDir(), 1, bootclock.Now()))
	p := &process{cluster: c, done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go (&processLoop{process: p, socket: socket}).run(ctx)
	t.Cleanup(func() {
		cancel()
		<-p.done
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := c.Read(ctx); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	return c, address
}

// Guards against versions in use that are recorded although the settings have no bounds, or
// that follow the list once they are recorded.
func TestVersionsInUseAreRecordedOnce(t *testing.T) {
	ctx := context.Background()
	list := &fakeTargetList{}
	list.setVersions("v1")
	enforced, _ := startLeader(t, list, rollout.NewBounds(0.1, 50, 5*time.Second, true))
	plain, _ := startLeader(t, list, rollout.DefaultBounds())
	inUse := func() []string {
		routes, err := enforced.Read(ctx)
		assert.NilError(t, err)
		r, _ := rollout.Find(routes.Rollouts(), "s")
		return r.InUse()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(inUse()) == 0 {
			return poll.Continue("no versions in use")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
	list.setVersions("v1", "v2")
	time.Sleep(2500 * time.Millisecond)
	assert.Assert(t, enforced.HasTargets("s"))
	assert.DeepEqual(t, inUse(), []string{"v1"})
	routes, err := plain.Read(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(routes.Rollouts()), 0)

	// Without recorded versions, those listed at the order are in use.
	outcome, err := plain.StartRollout(ctx, replica.NewStartRollout("s", "v2", time.Minute), alwaysWaiting)
	assert.NilError(t, err)
	assert.Equal(t, outcome.Code(), result.ChangeAccepted)
	routes, err = plain.Read(ctx)
	assert.NilError(t, err)
	r, _ := rollout.Find(routes.Rollouts(), "s")
	assert.DeepEqual(t, r.InUse(), []string{"v1"})
}

// A VM with an earlier version of the program must get neither versions of targets nor
// rollouts, at which it would close the session again and again.
func TestEarlierProgramsGetNoVersions(t *testing.T) {
	list := &fakeTargetList{}
	list.setVersions("v1")
	c, address := startLeader(t, list, rollout.DefaultBounds())
	_, err := c.StartRollout(context.Background(), replica.NewStartRollout("s", "v2", time.Minute), alwaysWaiting)
	assert.NilError(t, err)
	for _, startID := range []string{"s", peer.MarkStartID("s")} {
		s := dialRaw(t, address, peer.NewPresence("entry-9", "", "dc-1", startID, 0), 5*time.Second)
		routes, targets := false, false
		for !routes || !targets {
			m, _ := s.receive()
			switch m := m.(type) {
			case peer.PublishedRoutes:
				routes = true
				assert.Equal(t, len(m.Routes().Rollouts()) > 0, startID != "s")
			case peer.TargetList:
				targets = true
				assert.Equal(t, m.Difference().Changed()[0].Version() != "", startID != "s")
			}
		}
	}
}

// An entry VM that has a link to any control VM must get its grants, also if only the link to
// the leader is lost: it would go on with old targets that stop.
func TestGrantsReachVMsThroughAnyControlVM(t *testing.T) {
	in := newInstallation(t, 3, 0)
	in.publish("control-0", 1)
	in.waitForVersion(1)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := in.processes["control-0"].cluster.StartRollout(ctx, replica.NewStartRollout("s", "v2", time.Minute), alwaysWaiting)
	assert.NilError(t, err)
	for n := range 3 {
		vm := fmt.Sprintf("entry-%d", n)
		startID := peer.MarkStartID(vm)
		s := dialRaw(t, in.processes[fmt.Sprintf("control-%d", n)].address, peer.NewPresence(vm, "", "dc-1", startID, 0), 5*time.Second)
		var gate *rollout.Gate
		for number, granted := uint64(0), false; !granted; {
			m, _ := s.receive()
			switch m := m.(type) {
			case peer.PublishedRoutes:
				if r, ok := rollout.Find(m.Routes().Rollouts(), "s"); ok {
					gate = rollout.NewGate(r, 0, func(string) time.Duration { return 0 })
				}
			case peer.RolloutGrants:
				granted = true
				assert.Equal(t, m.StartID(), startID)
				assert.Assert(t, m.Answers() > 0 && m.Answers() <= number)
			}
			if gate != nil && !granted {
				number++
				reports := []rollout.Report{gate.Report(rollout.InFlight{}, true, 0)}
				s.send(peer.NewRolloutReports(startID, number, rollout.Confirmation{}, reports).WithNeedsRelay(true))
			}
		}
	}
}
