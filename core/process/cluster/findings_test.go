package cluster_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// fakeFindings is a FindingSource of which a test sets the late responses.
type fakeFindings struct {
	mu   sync.Mutex
	late []discovery.LateResponse
	// unhealthyAt is when each target was first received as unhealthy.
	unhealthyAt map[string]time.Time
}

func (f *fakeFindings) Findings(time.Time) []discovery.HealthFinding { return nil }

func (f *fakeFindings) LateResponses(time.Time) []discovery.LateResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := f.late
	f.late = nil
	return late
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
	f.late = append(f.late, discovery.NewLateResponse(id, 0, 25*time.Millisecond))
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
	const rounds = 8
	total := time.Duration(0)
	for round := range rounds {
		id := string(rune('a' + round))
		// The responses of the VMs by turns are late, 60 ms apart.
		for n := range 8 {
			in.processes[[]string{"entry-0", "entry-1", "entry-2"}[n%3]].findings.addLate(id)
			time.Sleep(60 * time.Millisecond)
		}
		sentAt := time.Now()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if in.processes["entry-3"].findings.receivedAt(id).IsZero() {
				return poll.Continue("no finding about %s", id)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
		total += max(0, in.processes["entry-3"].findings.receivedAt(id).Sub(sentAt))
	}
	// Most of the eight are enough, and two intervals of 100 ms follow at most; with
	// presences alone it would be 200 to 300 ms in the mean.
	assert.Assert(t, total/rounds < 100*time.Millisecond, "%v in the mean", total/rounds)
}
