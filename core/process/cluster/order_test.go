package cluster_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// alwaysWaiting is an operator that waits for the outcome of its order.
func alwaysWaiting() bool { return true }

// setOutOfService executes an order through a VM.
func (in *installation) setOutOfService(via string, out bool) {
	in.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := in.processes[via].cluster.SetOutOfService(ctx, "dc-2", out, alwaysWaiting)
	assert.NilError(in.t, err)
}

// Guards against a delayed order that undoes a later one. The VM is paused after it has
// seen that its operator waits, on each VM of the installation, leader or not; meanwhile the
// operator gives up, and other VMs execute the same order and the opposite one.
func TestDelayedOrderDoesNotUndoALaterOne(t *testing.T) {
	in := newInstallation(t, 3, 0)
	in.publish("control-0", 1)
	for _, delayed := range []string{"control-0", "control-1", "control-2"} {
		in.setOutOfService(delayed, true)
		other := "control-0"
		if delayed == other {
			other = "control-1"
		}
		gaveUp := false
		waiting := func() bool {
			if gaveUp {
				return false
			}
			gaveUp = true
			in.setOutOfService(other, false)
			in.setOutOfService(other, true)
			return true
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := in.processes[delayed].cluster.SetOutOfService(ctx, "dc-2", false, waiting)
		cancel()
		assert.Equal(t, result.CodeOf(err), result.OrderAbandoned, "%v", err)
		routes, err := in.read("control-0")
		assert.NilError(t, err)
		assert.DeepEqual(t, routes.OutOfService(), []string{"dc-2"})
	}
}

// Guards against a delayed order that undoes an acknowledged one which found nothing to
// change: the operator has never learned the outcome of the first.
func TestDelayedOrderDoesNotUndoARepeatedOne(t *testing.T) {
	in := newInstallation(t, 3, 0)
	in.publish("control-0", 1)
	in.setOutOfService("control-1", true)
	asked := 0
	waiting := func() bool {
		asked++
		if asked == 1 {
			in.setOutOfService("control-2", true)
		}
		return asked == 1
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := in.processes["control-1"].cluster.SetOutOfService(ctx, "dc-2", false, waiting)
	assert.Equal(t, result.CodeOf(err), result.OrderAbandoned, "%v", err)
	routes, err := in.read("control-0")
	assert.NilError(t, err)
	assert.DeepEqual(t, routes.OutOfService(), []string{"dc-2"})
}

// Guards against an order that is refused because others were executed meanwhile, although
// its operator waits.
func TestOrdersAtOnceAreAllExecuted(t *testing.T) {
	in := newInstallation(t, 3, 0)
	in.publish("control-0", 1)
	errs := make(chan error)
	names := []string{"dc-1", "dc-2", "dc-3", "dc-4", "dc-5", "dc-6", "dc-7", "dc-8"}
	for n, name := range names {
		c := in.processes[[]string{"control-0", "control-1", "control-2"}[n%3]].cluster
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := c.SetOutOfService(ctx, name, true, alwaysWaiting)
			errs <- err
		}()
	}
	for range names {
		assert.NilError(t, <-errs)
	}
	routes, err := in.read("control-0")
	assert.NilError(t, err)
	assert.DeepEqual(t, routes.OutOfService(), names)
}

// Guards against a delayed order of a rollout that starts it again after a later rollout.
func TestDelayedRolloutIsNotStarted(t *testing.T) {
	list := &fakeTargetList{}
	list.setVersions("v1", "v2")
	c, _ := startLeader(t, list, rollout.DefaultBounds())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	asked := 0
	waiting := func() bool {
		asked++
		if asked == 1 {
			_, err := c.SetOutOfService(ctx, "dc-2", true, alwaysWaiting)
			assert.NilError(t, err)
		}
		return asked == 1
	}
	_, err := c.StartRollout(ctx, replica.NewStartRollout("s", "v2", time.Minute), waiting)
	assert.Equal(t, result.CodeOf(err), result.OrderAbandoned, "%v", err)
	routes, err := c.Read(ctx)
	assert.NilError(t, err)
	record, _ := rollout.Find(routes.Rollouts(), "s")
	assert.Equal(t, record.State(), rollout.None)
}
