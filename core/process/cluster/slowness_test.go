package cluster_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// fakeSlowness is a SlownessSource of which a test sets the reports.
type fakeSlowness struct {
	mu       sync.Mutex
	reports  []discovery.Slowness
	received map[string]time.Time
}

func (f *fakeSlowness) SlownessReports(time.Time) []discovery.Slowness {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.reports
	f.reports = nil
	return out
}

func (f *fakeSlowness) TakeSlowness(list []discovery.Slowness, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.received == nil {
		f.received = make(map[string]time.Time)
	}
	for _, s := range list {
		f.received[s.ID()] = now
	}
}

func (f *fakeSlowness) report(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, discovery.NewSlowness(id, 2.5, 0))
}

func (f *fakeSlowness) receivedAt(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received[id]
}

// waitForSlowness reports a slowness through one process until another one receives it, and
// returns how long that took since the latest report.
func waitForSlowness(t *testing.T, from, to *process, id string) time.Duration {
	t.Helper()
	reportedAt := time.Time{}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !to.slowness.receivedAt(id).IsZero() {
			return poll.Success()
		}
		if time.Since(reportedAt) > 500*time.Millisecond {
			reportedAt = time.Now()
			from.slowness.report(id)
		}
		return poll.Continue("%s has no slowness of %s", to.name, id)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	return to.slowness.receivedAt(id).Sub(reportedAt)
}

// Guards against a slowness that arrives too late to help, that crosses to another data
// centre, where its bytes cost more than it gains, and that no longer arrives after the
// control VM that passes it on was lost.
func TestSlownessStaysInItsDataCentre(t *testing.T) {
	in := newInstallationIn(t, map[string]string{"control-2": "dc-2", "entry-2": "dc-2"}, 3, 3)
	in.publish("control-0", 1)
	in.waitForVersion(1)
	near, far, from := in.processes["entry-1"], in.processes["entry-2"], in.processes["entry-0"]
	// A VM receives what others report once it has reported something itself.
	near.slowness.report("i-0")
	far.slowness.report("i-0")
	waitForSlowness(t, from, near, "i-1")
	total := time.Duration(0)
	for _, id := range []string{"i-2", "i-3", "i-4", "i-5", "i-6", "i-7"} {
		time.Sleep(30 * time.Millisecond)
		total += waitForSlowness(t, from, near, id)
	}
	assert.Assert(t, total/6 < 150*time.Millisecond, "%v in the mean", total/6)
	assert.Assert(t, far.slowness.receivedAt("i-2").IsZero())
	relay := "control-0"
	if in.processes["control-1"].address < in.processes["control-0"].address {
		relay = "control-1"
	}
	in.processes[relay].stop()
	delete(in.processes, relay)
	near.slowness.report("i-0")
	time.Sleep(2 * time.Second)
	near.slowness.report("i-0")
	waitForSlowness(t, from, near, "i-8")
	assert.Assert(t, far.slowness.receivedAt("i-8").IsZero())
}
