package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

var startTime = time.Unix(1_000_000, 0)

const warmUp = 10 * time.Second

// newTestTable returns a table with one service of three leafs. Two VMs share a
// cold capacity of 20 sub-requests a second.
func newTestTable() (*Table, []*Target) {
	limits := configuration.NewLimits(2, 8, 20, 0, warmUp)
	var leafs []configuration.Leaf
	for i := range 3 {
		leafs = append(leafs, configuration.NewLeaf(fmt.Sprintf("l-%d", i), "dc-1", fmt.Sprintf("127.0.0.1:%d", 1+i)))
	}
	cfg := configuration.New("test", 2, []configuration.DataCentre{configuration.NewDataCentre("dc-1", "r", true)},
		[]configuration.Service{configuration.NewService("s", limits, true, leafs)}, nil, nil)
	t := NewTable("dc-1")
	return t, t.Apply(cfg, startTime)["s"]
}

// newReport returns a report of a leaf that holds the snapshot s1 and has no
// load.
func newReport(startID string, state leaf.ReportedState) leaf.Report {
	return leaf.NewReport(startID, state, []string{"s1"}, 0, true)
}

func answeredOutcome(startID string, state leaf.ReportedState) leaf.Outcome {
	return leaf.NewAnswered(newReport(startID, state), "s1", []byte("[]"))
}

// sendAtRate tries to acquire a target rate times a second for the duration d.
// For each sub-request that the target accepts, it records the result of
// outcome with a response time of 5 ms. It returns the largest number of
// accepted sub-requests within any second.
func sendAtRate(t *Target, start time.Time, d time.Duration, rate int, outcome func() leaf.Outcome) (maxPerSecond int) {
	var sent []time.Time
	step := time.Second / time.Duration(rate)
	for now := start; now.Before(start.Add(d)); now = now.Add(step) {
		if ok, _ := t.acquire(now); !ok {
			continue
		}
		t.RecordOutcome(outcome(), 5*time.Millisecond, now)
		sent = append(sent, now)
		for len(sent) > 0 && now.Sub(sent[0]) >= time.Second {
			sent = sent[1:]
		}
		maxPerSecond = max(maxPerSecond, len(sent))
	}
	return maxPerSecond
}

func assertState(t *testing.T, target *Target, want string) {
	t.Helper()
	assert.Equal(t, target.State(), want)
}

func TestColdTargetIsLimitedToItsShare(t *testing.T) {
	_, targets := newTestTable()
	target := targets[0]
	target.RecordProbe(newReport("life-1", leaf.ReportedCold), nil, startTime)
	assertState(t, target, Cold)
	maxPerSecond := sendAtRate(target, startTime, 9*time.Second, 200, func() leaf.Outcome { return answeredOutcome("life-1", leaf.ReportedCold) })
	assert.Assert(t, maxPerSecond <= 10, "%d sub-requests in one second", maxPerSecond)
	assertState(t, target, Cold)
}

func TestTargetThatReportsNoStateTurnsWarmAfterWarmUp(t *testing.T) {
	_, targets := newTestTable()
	target := targets[0]
	target.RecordProbe(newReport("life-1", leaf.ReportedNone), nil, startTime)
	maxPerSecond := sendAtRate(target, startTime, warmUp-time.Second, 200, func() leaf.Outcome { return answeredOutcome("life-1", leaf.ReportedNone) })
	assert.Assert(t, maxPerSecond <= 10, "%d sub-requests in one second", maxPerSecond)
	sendAtRate(target, startTime.Add(warmUp), 20*time.Second, 400, func() leaf.Outcome { return answeredOutcome("life-1", leaf.ReportedNone) })
	assertState(t, target, Warm)
}

func TestRampDoesNotDoubleInIntervalWithSheds(t *testing.T) {
	r := newRamp(10, startTime)
	for i := range 10 {
		now := startTime.Add(time.Duration(i) * 200 * time.Millisecond)
		r.recordShed()
		r.recordSuccess(now)
	}
	assert.Equal(t, r.rate, 10.0)
}

func TestShedUndoesOneDoubling(t *testing.T) {
	r := newRamp(10, startTime)
	for i := range 200 {
		r.recordSuccess(startTime.Add(time.Duration(i) * 25 * time.Millisecond))
	}
	before := r.rate
	assert.Assert(t, before > 10)
	r.recordShed()
	assert.Equal(t, r.rate, before/2)
	for range 20 {
		r.recordShed()
	}
	assert.Equal(t, r.rate, 10.0)
}

func TestWarmTargetTurnsCold(t *testing.T) {
	tests := []struct {
		name     string
		turnCold func(target *Target, now time.Time)
	}{
		{"a new start id", func(target *Target, now time.Time) { target.RecordReport(newReport("life-2", leaf.ReportedWarm), now) }},
		{"a report of being cold", func(target *Target, now time.Time) { target.RecordReport(newReport("life-1", leaf.ReportedCold), now) }},
		{"consecutive sheds", func(target *Target, now time.Time) {
			for range shedsUntilCold {
				target.inFlight++
				target.RecordOutcome(leaf.NewRefused(newReport("life-1", leaf.ReportedWarm), leaf.RefusedShed), time.Millisecond, now)
			}
		}},
		{"a latency jump", func(target *Target, now time.Time) {
			for range latencyJumpsUntilCold {
				target.inFlight++
				target.RecordOutcome(answeredOutcome("life-1", leaf.ReportedWarm), 90*time.Millisecond, now)
			}
		}},
		{"a peer's report", func(target *Target, now time.Time) { target.PeerReportedCold("life-1", now) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, targets := newTestTable()
			target := targets[0]
			target.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
			target.PeerReportedWarm("life-1", startTime)
			assertState(t, target, Warm)
			sendAtRate(target, startTime, time.Second, 100, func() leaf.Outcome { return answeredOutcome("life-1", leaf.ReportedWarm) })
			tt.turnCold(target, startTime.Add(time.Second))
			assertState(t, target, Cold)
			if target.StartID() == "life-1" {
				ok, _ := target.acquire(startTime.Add(1900 * time.Millisecond))
				assert.Assert(t, !ok, "the first allowance must be used up by what was sent while the target counted as warm")
			}
		})
	}
}

func TestUniformlySlowTargetsStayWarm(t *testing.T) {
	_, targets := newTestTable()
	now := startTime
	for _, target := range targets {
		target.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
		target.PeerReportedWarm("life-1", startTime)
		sendAtRate(target, startTime, time.Second, 100, func() leaf.Outcome { return answeredOutcome("life-1", leaf.ReportedWarm) })
	}
	for range 20 {
		for _, target := range targets {
			target.inFlight++
			target.RecordOutcome(answeredOutcome("life-1", leaf.ReportedWarm), 90*time.Millisecond, now)
		}
	}
	for _, target := range targets {
		assertState(t, target, Warm)
	}
}

func TestSlowResponsesTurnWarmingTargetCold(t *testing.T) {
	_, targets := newTestTable()
	target := targets[0]
	target.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
	sendAtRate(target, startTime, time.Second, 100, func() leaf.Outcome { return answeredOutcome("life-1", leaf.ReportedWarm) })
	assertState(t, target, Warming)
	for range latencyJumpsUntilCold {
		target.inFlight++
		target.RecordOutcome(answeredOutcome("life-1", leaf.ReportedWarm), 90*time.Millisecond, startTime.Add(time.Second))
	}
	assertState(t, target, Cold)
}

func TestInferredColdIsLimitedToAThirdOfTargets(t *testing.T) {
	_, targets := newTestTable()
	for _, target := range targets {
		target.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
		target.PeerReportedWarm("life-1", startTime)
	}
	for _, target := range targets {
		target.PeerReportedCold("life-1", startTime)
	}
	assertState(t, targets[0], Cold)
	assertState(t, targets[1], Warm)
	assertState(t, targets[2], Warm)
	// The limit does not apply to what a leaf reports about itself.
	targets[1].RecordReport(newReport("life-1", leaf.ReportedCold), startTime)
	assertState(t, targets[1], Cold)
}

func TestInferredColdOverridesWarmReports(t *testing.T) {
	_, targets := newTestTable()
	target := targets[0]
	target.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
	target.PeerReportedWarm("life-1", startTime)
	target.PeerReportedCold("life-1", startTime)
	now := startTime.Add(time.Second)
	target.RecordReport(newReport("life-1", leaf.ReportedWarm), now)
	target.PeerReportedWarm("life-1", now)
	assertState(t, target, Cold)
	maxPerSecond := sendAtRate(target, now, 8*time.Second, 200, func() leaf.Outcome { return answeredOutcome("life-1", leaf.ReportedWarm) })
	assert.Assert(t, maxPerSecond <= 10, "%d sub-requests in one second", maxPerSecond)
}

func TestLeavingEndsOnlyWithNewStartID(t *testing.T) {
	_, targets := newTestTable()
	target := targets[0]
	target.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
	target.inFlight++
	target.RecordOutcome(leaf.NewRefused(newReport("life-1", leaf.ReportedLeaving), leaf.RefusedLeaving), time.Millisecond, startTime)
	assertState(t, target, Leaving)
	// The health page of the leaf may lag behind by ten seconds and still
	// report that the leaf is warm.
	target.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime.Add(time.Second))
	target.PeerReportedWarm("life-1", startTime.Add(time.Second))
	assertState(t, target, Leaving)
	ok, _ := target.acquire(startTime.Add(time.Second))
	assert.Assert(t, !ok)
	target.RecordProbe(newReport("life-2", leaf.ReportedCold), nil, startTime.Add(2*time.Second))
	assertState(t, target, Cold)
	// A late report about the old start id must not affect the new one.
	target.MarkLeaving("life-1", startTime.Add(3*time.Second))
	assertState(t, target, Cold)
}

func TestUnresponsiveTargetIsSuspectUntilProbeSucceeds(t *testing.T) {
	_, targets := newTestTable()
	target := targets[0]
	target.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
	for range timeoutsUntilSuspect {
		target.inFlight++
		target.RecordOutcome(leaf.NewFailed(true, true), time.Second, startTime)
	}
	assert.Assert(t, target.Suspect())
	assert.Equal(t, len(target.UsableSnapshots()), 0)
	target.RecordProbe(leaf.Report{}, errors.New("no answer"), startTime)
	assert.Assert(t, target.Suspect())
	target.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
	assert.Assert(t, !target.Suspect())
}

func TestChooseSkipsBusyAndExcludedTargets(t *testing.T) {
	_, targets := newTestTable()
	for _, target := range targets {
		target.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
		target.PeerReportedWarm("life-1", startTime)
	}
	targets[0].reportedLoad = 10
	targets[0].loadReportedAt = startTime
	counts := make(map[string]int)
	n := 0
	nextIntN := func(bound int) int { n++; return n % bound }
	for range 30 {
		c, ok := Choose(targets, "s1", []string{"l-2"}, nextIntN, startTime).(Chosen)
		assert.Assert(t, ok)
		counts[c.Target().Name()]++
		c.Target().RecordOutcome(answeredOutcome("life-1", leaf.ReportedWarm), time.Millisecond, startTime)
		// RecordOutcome has set the reported load of the chosen target to 0.
		targets[0].reportedLoad = 10
	}
	assert.Equal(t, counts["l-2"], 0)
	assert.Equal(t, counts["l-0"], 0)
	none, ok := Choose(targets, "s9", nil, nextIntN, startTime).(None)
	assert.Assert(t, ok)
	assert.Equal(t, none.Reason(), NoSnapshot)
}

func TestLimitChangeKeepsWarmState(t *testing.T) {
	table, targets := newTestTable()
	for _, target := range targets {
		target.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
		target.PeerReportedWarm("life-1", startTime)
	}
	limits := configuration.NewLimits(2, 80, 20, 0, warmUp)
	cfg := configuration.New("test", 2, []configuration.DataCentre{configuration.NewDataCentre("dc-1", "r", true)},
		[]configuration.Service{configuration.NewService("s", limits, true, []configuration.Leaf{targets[0].leaf})}, nil, nil)
	after := table.Apply(cfg, startTime)["s"][0]
	assert.Equal(t, after.Pool().MaxConnections(), 40)
	assertState(t, after, Warm)
	assert.Equal(t, after.StartID(), "life-1")
}

func TestPeerReportedRateRaisesAllowance(t *testing.T) {
	_, targets := newTestTable()
	target := targets[0]
	target.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
	target.PeerReportedRate("life-0", 80, startTime)
	assertState(t, target, Cold)
	target.PeerReportedRate("life-1", 80, startTime)
	assertState(t, target, Warming)
	_, _, _, rate := target.Status(startTime)
	assert.Equal(t, rate, 80.0)

	early := targets[1]
	early.PeerReportedRate("life-0", 80, startTime)
	assertState(t, early, Warming)
	early.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
	assertState(t, early, Cold)
}

func TestApplyKeepsUnchangedTargets(t *testing.T) {
	table, targets := newTestTable()
	targets[0].RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
	limits := configuration.NewLimits(2, 8, 20, 0, warmUp)
	leafs := []configuration.Leaf{configuration.NewLeaf("l-0", "dc-1", "127.0.0.1:1"), configuration.NewLeaf("l-1", "dc-1", "127.0.0.1:99")}
	cfg := configuration.New("test", 2, []configuration.DataCentre{configuration.NewDataCentre("dc-1", "r", false)},
		[]configuration.Service{configuration.NewService("s", limits, true, leafs)}, nil, nil)
	after := table.Apply(cfg, startTime)["s"]
	assert.Assert(t, after[0] == targets[0])
	assert.Assert(t, after[1] != targets[1], "a leaf with a new address must be a new target")
	assert.Equal(t, targets[2].State(), Gone)
	ok, _ := after[0].acquire(startTime)
	assert.Assert(t, !ok, "a target in a data centre out of service must not be acquired")
}
