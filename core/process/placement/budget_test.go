package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var budgetStart = time.Unix(1_000_000, 0)

// drainBudget takes extra attempts until the budget is used up and returns how
// many it allowed.
func drainBudget(b *retryBudget, vms int, now time.Time) int {
	n := 0
	for b.tryTake(vms, true, now) {
		n++
	}
	return n
}

// Guards against a restarted VM using the slack again that it used just before
// the restart, which happens when VMs are restarted one after another while a
// service needs every retry and hedge it can get.
func TestSlackGrowsOverTheFirstWindow(t *testing.T) {
	limits := NewLimits(0, 100, 10*time.Second, 1, 0)
	tests := []struct {
		name      string
		elapsed   time.Duration
		maxExtras int
	}{
		{"at the start", 0, 40},
		{"after a tenth of the window", time.Second, 46},
		{"after half of the window", 5 * time.Second, 70},
		{"after the window", 10 * time.Second, 100},
		{"much later", time.Hour, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBudget(limits, budgetStart)
			n := drainBudget(&b, 1, budgetStart.Add(tt.elapsed))
			assert.Assert(t, n <= tt.maxExtras, "%d extra attempts", n)
			assert.Assert(t, n >= tt.maxExtras*8/10-1, "%d extra attempts", n)
		})
	}
}

// Guards against losing slack to rounding: 63 VMs share a slack of 166, 2.2
// each after the margin. If each VM rounded its share down, a ninth of the
// slack would never be used.
func TestManyVMsSpendMostOfTheSlack(t *testing.T) {
	const vms, slack = 63, 166
	limits := NewLimits(0, slack, 10*time.Second, 1, 0)
	total := 0
	for range vms {
		b := newBudget(limits, budgetStart)
		total += drainBudget(&b, vms, budgetStart.Add(time.Minute))
	}
	assert.Assert(t, total <= slack, "%d extra attempts", total)
	assert.Assert(t, total >= slack*3/4, "%d extra attempts", total)
}

// Guards against VMs that use the extra attempts for a whole window, are killed, and begin
// anew: 5 of 9 VMs are killed twice within a window in which every request is rejected.
func TestRestartsDoNotRenewTheBudget(t *testing.T) {
	const (
		vms    = 9
		killed = 5
		slack  = 58
		step   = 40 * time.Millisecond
		down   = 2 * time.Second
		length = 40 * time.Second
	)
	window := 10 * time.Second
	limits := NewLimits(0.2, slack, window, 1, 0)
	faultAt, kills := 20*time.Second, []time.Duration{23500 * time.Millisecond, 26 * time.Second}
	var firsts, extras []time.Duration
	for vm := range vms {
		b := newBudget(limits, budgetStart)
		running := true
		for at := time.Duration(0); at < length; at += step {
			now := budgetStart.Add(at)
			for _, kill := range kills {
				if vm >= killed {
					continue
				}
				switch at {
				case kill:
					running = false
				case kill + down:
					running = true
					b = newBudget(limits, now)
				}
			}
			firsts = append(firsts, at)
			if !running {
				continue
			}
			b.countFirst(now)
			if at >= faultAt && b.tryTake(vms, true, now) {
				extras = append(extras, at)
			}
		}
	}
	within := func(times []time.Duration, from time.Duration) int {
		n := 0
		for _, at := range times {
			if at >= from && at < from+window {
				n++
			}
		}
		return n
	}
	for from := time.Duration(0); from < length-window; from += 100 * time.Millisecond {
		allowed := 0.2*float64(within(firsts, from)) + slack
		got := within(extras, from)
		assert.Assert(t, float64(got) <= allowed, "%d extra attempts of %.0f within the window from %v", got, allowed, from)
	}
}

// Guards against VMs that are killed together and start again, of which each takes the
// slack of all until it learns how many they are.
func TestNoSlackIsUsedBeforeTheNumberOfVMsIsKnown(t *testing.T) {
	b := newBudget(NewLimits(0.2, 1000, 10*time.Second, 1, 0), budgetStart)
	now := budgetStart.Add(20 * time.Second)
	assert.Assert(t, !b.tryTake(1, false, now))
	for range 100 {
		b.countFirst(now)
	}
	n := 0
	for b.tryTake(1, false, now) {
		n++
	}
	assert.Equal(t, n, 18, "the ratio of its own first attempts is for each VM alone")
	assert.Assert(t, b.tryTake(9, true, now))
}

// Checks that no span of the window's length contains more extra attempts than
// the slack, wherever the span begins.
func TestNoWindowExceedsTheSlack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const slack = 20
		window := 10 * time.Second
		b := newBudget(NewLimits(0, slack, window, 1, 0), budgetStart.Add(-time.Minute))
		var taken []time.Time
		now := budgetStart
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rt, "gap")) * time.Millisecond)
			if b.tryTake(1, true, now) {
				taken = append(taken, now)
			}
		}
		for i, from := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			assert.Assert(rt, n <= slack, "%d extra attempts within one window", n)
		}
	})
}
