package cluster_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// fakeFindings is a FindingSource of which a test sets the late responses.
type fakeFindings struct {
	mu sync.Mutex
	// late has when each late response of a target arrived.
	late map[string][]time.Time
	// unhealthyAt is when each target was first received as unhealthy.
	unhealthyAt map[string]time.Time
}

func newFakeFindings() *fakeFindings {
	return &fakeFindings{late: make(map[string][]time.Time), unhealthyAt: make(map[string]time.Time)}
}

func (f *fakeFindings) Findings(time.Time) []discovery.HealthFinding { return nil }

func (f *fakeFindings) LateResponses(now time.Time) []discovery.LateResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []discovery.LateResponse
	for id, times := range f.late {
		for _, at := range times {
			out = append(out, discovery.NewLateResponse(id, now.Sub(at), 25*time.Millisecond))
		}
	}
	clear(f.late)
	return out
}

func (f *fakeFindings) TakeFindings(findings []discovery.HealthFinding, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, finding := range findings {
		if _, known := f.unhealthyAt[finding.ID()]; !known && finding.Unhealthy() {
			f.unhealthyAt[finding.ID()] = now
		}
	}
}

// addLate adds a late response that has just arrived.
func (f *fakeFindings) addLate(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late[id] = append(f.late[id], time.Now())
}

// receivedAt returns when a target was received as unhealthy, zero if it was not.
func (f *fakeFindings) receivedAt(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unhealthyAt[id]
}

// Late responses of several VMs, none of which shows anything by itself, must reach a VM
// that has seen none as a finding, sooner than with the presences of the two sides.
func TestLateResponsesOfManyVMsBecomeAFindingOfAll(t *testing.T) {
	in := newInstallation(t, 3, 4)
	in.publish("control-0", 1)
	in.waitForVersion(1)
	const rounds = 12
	total := time.Duration(0)
	for round := range rounds {
		id := string(rune('a' + round))
		// A random part of the interval of presences, as they are not in step with the
		// responses.
		time.Sleep(time.Duration(rand.Int64N(int64(400 * time.Millisecond))))
		// The responses of the VMs by turns are late, 40 ms apart. Five of them, each in
		// another slot, are enough.
		var sentAt time.Time
		for n := range 10 {
			if n == 5 {
				sentAt = time.Now()
			}
			in.processes[[]string{"entry-0", "entry-1", "entry-2"}[n%3]].findings.addLate(id)
			time.Sleep(40 * time.Millisecond)
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if in.processes["entry-3"].findings.receivedAt(id).IsZero() {
				return poll.Continue("no finding about %s", id)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
		total += max(0, in.processes["entry-3"].findings.receivedAt(id).Sub(sentAt))
	}
	// Half of the two intervals of 100 ms in the mean, or of 0.1 and 0.4 s with presences
	// alone, after up to two more responses.
	assert.Assert(t, total/rounds < 200*time.Millisecond, "%v in the mean", total/rounds)
}

// Findings reach the VMs of every data centre: from its own control VM, or from the leader
// where it has none.
func TestFindingsReachEveryDataCentre(t *testing.T) {
	in := newInstallationIn(t, map[string]string{
		"control-1": "dc-2", "control-2": "dc-3",
		"entry-1": "dc-2", "entry-2": "dc-3", "entry-3": "dc-4",
	}, 3, 4)
	in.publish("control-0", 1)
	in.waitForVersion(1)
	for range 8 {
		in.processes["entry-0"].findings.addLate("i-1")
		time.Sleep(60 * time.Millisecond)
	}
	for _, name := range []string{"entry-0", "entry-1", "entry-2", "entry-3"} {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if in.processes[name].findings.receivedAt("i-1").IsZero() {
				return poll.Continue("%s has no finding", name)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	}
}
