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

var began = time.Unix(1_000_000, 0)

const warmUp = 10 * time.Second

// newTestTable returns a table with one service of three leafs and two VMs
// that share a cold capacity of 20 a second.
func newTestTable() (*Table, []*Target) {
	limits := configuration.NewLimits(2, 8, 20, 0, warmUp)
	var leafs []configuration.Leaf
	for i := range 3 {
		leafs = append(leafs, configuration.NewLeaf(fmt.Sprintf("l-%d", i), "dc-1", fmt.Sprintf("127.0.0.1:%d", 1+i)))
	}
	cfg := configuration.New("test", 2, []configuration.DataCentre{configuration.NewDataCentre("dc-1", "r", true)},
		[]configuration.Service{configuration.NewService("s", limits, true, leafs)}, nil, nil)
	t := NewTable("dc-1")
	return t, t.Apply(cfg, began)["s"]
}

func report(startID string, state leaf.ReportedState) leaf.Report {
	return leaf.NewReport(startID, state, []string{"s1"}, 0, true)
}

func answered(startID string, state leaf.ReportedState) leaf.Outcome {
	return leaf.NewAnswered(report(startID, state), "s1", []byte("[]"))
}

// drive offers a target a rate of sub-requests for a time, lets each succeed,
// and returns the most that were sent within any second.
func drive(t *Target, from time.Time, d time.Duration, rate int, outcome func() leaf.Outcome) (most int) {
	var sent []time.Time
	step := time.Second / time.Duration(rate)
	for now := from; now.Before(from.Add(d)); now = now.Add(step) {
		if ok, _ := t.acquire(now); !ok {
			continue
		}
		t.Settle(outcome(), 5*time.Millisecond, now)
		sent = append(sent, now)
		for len(sent) > 0 && now.Sub(sent[0]) >= time.Second {
			sent = sent[1:]
		}
		most = max(most, len(sent))
	}
	return most
}

func expectState(t *testing.T, target *Target, want string) {
	t.Helper()
	assert.Equal(t, target.State(), want)
}

func TestColdTargetGetsItsShareOnly(t *testing.T) {
	_, targets := newTestTable()
	x := targets[0]
	x.Probed(report("life-1", leaf.ReportedCold), nil, began)
	expectState(t, x, Cold)
	most := drive(x, began, 9*time.Second, 200, func() leaf.Outcome { return answered("life-1", leaf.ReportedCold) })
	assert.Assert(t, most <= 10, "%d in one second", most)
	expectState(t, x, Cold)
}

func TestTargetThatSaysNothingWarmsAfterItsTime(t *testing.T) {
	_, targets := newTestTable()
	x := targets[0]
	x.Probed(report("life-1", leaf.ReportedNone), nil, began)
	most := drive(x, began, warmUp-time.Second, 200, func() leaf.Outcome { return answered("life-1", leaf.ReportedNone) })
	assert.Assert(t, most <= 10, "%d in one second", most)
	drive(x, began.Add(warmUp), 20*time.Second, 400, func() leaf.Outcome { return answered("life-1", leaf.ReportedNone) })
	expectState(t, x, Warm)
}

func TestRampDoublesOnlyOnSuccess(t *testing.T) {
	r := newRamp(10, began)
	for i := range 10 {
		now := began.Add(time.Duration(i) * 200 * time.Millisecond)
		r.shed()
		r.succeed(now)
	}
	assert.Equal(t, r.rate, 10.0)
}

func TestOneShedTakesOneDoublingBack(t *testing.T) {
	r := newRamp(10, began)
	for i := range 200 {
		r.succeed(began.Add(time.Duration(i) * 25 * time.Millisecond))
	}
	before := r.rate
	assert.Assert(t, before > 10)
	r.shed()
	assert.Equal(t, r.rate, before/2)
	for range 20 {
		r.shed()
	}
	assert.Equal(t, r.rate, 10.0)
}

func TestFallsBackToCold(t *testing.T) {
	tests := []struct {
		name string
		fall func(x *Target, now time.Time)
	}{
		{"a new start id", func(x *Target, now time.Time) { x.Observe(report("life-2", leaf.ReportedWarm), now) }},
		{"a cold mark", func(x *Target, now time.Time) { x.Observe(report("life-1", leaf.ReportedCold), now) }},
		{"a burst of sheds", func(x *Target, now time.Time) {
			for range shedsInRow {
				x.inFlight++
				x.Settle(leaf.NewRefused(report("life-1", leaf.ReportedWarm), leaf.RefusedShed), time.Millisecond, now)
			}
		}},
		{"a jump in latency", func(x *Target, now time.Time) {
			for range jumpsInRow {
				x.inFlight++
				x.Settle(answered("life-1", leaf.ReportedWarm), 90*time.Millisecond, now)
			}
		}},
		{"a peer's word", func(x *Target, now time.Time) { x.Cooled("life-1", now) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, targets := newTestTable()
			x := targets[0]
			x.Probed(report("life-1", leaf.ReportedWarm), nil, began)
			x.Warmed("life-1", began)
			expectState(t, x, Warm)
			drive(x, began, time.Second, 100, func() leaf.Outcome { return answered("life-1", leaf.ReportedWarm) })
			tt.fall(x, began.Add(time.Second))
			expectState(t, x, Cold)
			if x.StartID() == "life-1" {
				ok, _ := x.acquire(began.Add(1900 * time.Millisecond))
				assert.Assert(t, !ok, "what was sent while it passed for warm does not count")
			}
		})
	}
}

func TestSlowSiblingsAreOverloadedAndNotCold(t *testing.T) {
	_, targets := newTestTable()
	now := began
	for _, x := range targets {
		x.Probed(report("life-1", leaf.ReportedWarm), nil, began)
		x.Warmed("life-1", began)
		drive(x, began, time.Second, 100, func() leaf.Outcome { return answered("life-1", leaf.ReportedWarm) })
	}
	for range 20 {
		for _, x := range targets {
			x.inFlight++
			x.Settle(answered("life-1", leaf.ReportedWarm), 90*time.Millisecond, now)
		}
	}
	for _, x := range targets {
		expectState(t, x, Warm)
	}
}

func TestSlowResponsesOfAWarmingTargetCount(t *testing.T) {
	_, targets := newTestTable()
	x := targets[0]
	x.Probed(report("life-1", leaf.ReportedWarm), nil, began)
	drive(x, began, time.Second, 100, func() leaf.Outcome { return answered("life-1", leaf.ReportedWarm) })
	expectState(t, x, Warming)
	for range jumpsInRow {
		x.inFlight++
		x.Settle(answered("life-1", leaf.ReportedWarm), 90*time.Millisecond, began.Add(time.Second))
	}
	expectState(t, x, Cold)
}

func TestNoMoreThanAThirdIsTakenForCold(t *testing.T) {
	_, targets := newTestTable()
	for _, x := range targets {
		x.Probed(report("life-1", leaf.ReportedWarm), nil, began)
		x.Warmed("life-1", began)
	}
	for _, x := range targets {
		x.Cooled("life-1", began)
	}
	expectState(t, targets[0], Cold)
	expectState(t, targets[1], Warm)
	expectState(t, targets[2], Warm)
	// What a leaf says of itself is no inference.
	targets[1].Observe(report("life-1", leaf.ReportedCold), began)
	expectState(t, targets[1], Cold)
}

func TestWordOfWarmthLosesAgainstWhatRequestsShow(t *testing.T) {
	_, targets := newTestTable()
	x := targets[0]
	x.Probed(report("life-1", leaf.ReportedWarm), nil, began)
	x.Warmed("life-1", began)
	x.Cooled("life-1", began)
	now := began.Add(time.Second)
	x.Observe(report("life-1", leaf.ReportedWarm), now)
	x.Warmed("life-1", now)
	expectState(t, x, Cold)
	most := drive(x, now, 8*time.Second, 200, func() leaf.Outcome { return answered("life-1", leaf.ReportedWarm) })
	assert.Assert(t, most <= 10, "%d in one second", most)
}

func TestLeavingEndsOnlyWithANewLife(t *testing.T) {
	_, targets := newTestTable()
	x := targets[0]
	x.Probed(report("life-1", leaf.ReportedWarm), nil, began)
	x.inFlight++
	x.Settle(leaf.NewRefused(report("life-1", leaf.ReportedLeaving), leaf.RefusedLeaving), time.Millisecond, began)
	expectState(t, x, Leaving)
	// A health page that lags says warm for ten more seconds.
	x.Probed(report("life-1", leaf.ReportedWarm), nil, began.Add(time.Second))
	x.Warmed("life-1", began.Add(time.Second))
	expectState(t, x, Leaving)
	ok, _ := x.acquire(began.Add(time.Second))
	assert.Assert(t, !ok)
	x.Probed(report("life-2", leaf.ReportedCold), nil, began.Add(2*time.Second))
	expectState(t, x, Cold)
	// A late report of the old life must not take the new one away.
	x.Leave("life-1", began.Add(3*time.Second))
	expectState(t, x, Cold)
}

func TestSilentTargetIsSuspectUntilAProbe(t *testing.T) {
	_, targets := newTestTable()
	x := targets[0]
	x.Probed(report("life-1", leaf.ReportedWarm), nil, began)
	for range suspectAfter {
		x.inFlight++
		x.Settle(leaf.NewFailed(true, true), time.Second, began)
	}
	assert.Assert(t, x.Suspect())
	assert.Equal(t, len(x.Holdings()), 0)
	x.Probed(leaf.Report{}, errors.New("no answer"), began)
	assert.Assert(t, x.Suspect())
	x.Probed(report("life-1", leaf.ReportedWarm), nil, began)
	assert.Assert(t, !x.Suspect())
}

func TestChoiceAvoidsBusyAndExcluded(t *testing.T) {
	_, targets := newTestTable()
	for _, x := range targets {
		x.Probed(report("life-1", leaf.ReportedWarm), nil, began)
		x.Warmed("life-1", began)
	}
	targets[0].load = 10
	targets[0].loadAt = began
	counts := make(map[string]int)
	n := 0
	pick := func(bound int) int { n++; return n % bound }
	for range 30 {
		c, ok := Choose(targets, "s1", []string{"l-2"}, pick, began).(Chosen)
		assert.Assert(t, ok)
		counts[c.Target().Name()]++
		c.Target().Settle(answered("life-1", leaf.ReportedWarm), time.Millisecond, began)
		targets[0].load = 10
	}
	assert.Equal(t, counts["l-2"], 0)
	assert.Equal(t, counts["l-0"], 0)
	none, ok := Choose(targets, "s9", nil, pick, began).(None)
	assert.Assert(t, ok)
	assert.Equal(t, none.Reason(), NoSnapshot)
}

func TestChangeOfLimitsKeepsWarmth(t *testing.T) {
	table, targets := newTestTable()
	for _, x := range targets {
		x.Probed(report("life-1", leaf.ReportedWarm), nil, began)
		x.Warmed("life-1", began)
	}
	limits := configuration.NewLimits(2, 80, 20, 0, warmUp)
	cfg := configuration.New("test", 2, []configuration.DataCentre{configuration.NewDataCentre("dc-1", "r", true)},
		[]configuration.Service{configuration.NewService("s", limits, true, []configuration.Leaf{targets[0].leaf})}, nil, nil)
	after := table.Apply(cfg, began)["s"][0]
	assert.Equal(t, after.Pool().MaxConnections(), 40)
	expectState(t, after, Warm)
	assert.Equal(t, after.StartID(), "life-1")
}

func TestPeersWordOfARateRaisesTheAllowance(t *testing.T) {
	_, targets := newTestTable()
	x := targets[0]
	x.Probed(report("life-1", leaf.ReportedWarm), nil, began)
	x.WarmedTo("life-0", 80, began)
	expectState(t, x, Cold)
	x.WarmedTo("life-1", 80, began)
	expectState(t, x, Warming)
	_, _, _, rate := x.News(began)
	assert.Equal(t, rate, 80.0)

	early := targets[1]
	early.WarmedTo("life-0", 80, began)
	expectState(t, early, Warming)
	early.Probed(report("life-1", leaf.ReportedWarm), nil, began)
	expectState(t, early, Cold)
}

func TestTableKeepsWhatStays(t *testing.T) {
	table, targets := newTestTable()
	targets[0].Probed(report("life-1", leaf.ReportedWarm), nil, began)
	limits := configuration.NewLimits(2, 8, 20, 0, warmUp)
	leafs := []configuration.Leaf{configuration.NewLeaf("l-0", "dc-1", "127.0.0.1:1"), configuration.NewLeaf("l-1", "dc-1", "127.0.0.1:99")}
	cfg := configuration.New("test", 2, []configuration.DataCentre{configuration.NewDataCentre("dc-1", "r", false)},
		[]configuration.Service{configuration.NewService("s", limits, true, leafs)}, nil, nil)
	after := table.Apply(cfg, began)["s"]
	assert.Assert(t, after[0] == targets[0])
	assert.Assert(t, after[1] != targets[1], "a leaf that moved is another target")
	assert.Equal(t, targets[2].State(), Gone)
	ok, _ := after[0].acquire(began)
	assert.Assert(t, !ok, "its data centre is out of service")
}
