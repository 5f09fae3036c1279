package fanout_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
	"github.com/mulberrydale/mulberrydale/core/request/fanout"
)

var startTime = time.Unix(1_000_000, 0)

// fakeDirectory is a Directory with a fixed list of targets for each service.
type fakeDirectory struct {
	leafs map[int][]string
	// hedgeBudget and retryBudget are the remaining numbers of hedges and
	// retries.
	hedgeBudget int
	retryBudget int
	// firstWait is the delay that the first call of Choose returns, or 0 if it
	// returns a target.
	firstWait  time.Duration
	hedgeDelay time.Duration
}

func (d *fakeDirectory) Choose(part int, purpose fanout.Purpose, excluded []string, now time.Time) fanout.Choice {
	if d.firstWait > 0 {
		wait := d.firstWait
		d.firstWait = 0
		return fanout.NewLater(now.Add(wait))
	}
	budget := &d.hedgeBudget
	if purpose == fanout.Retry {
		budget = &d.retryBudget
	}
	if purpose != fanout.First {
		if *budget == 0 {
			return fanout.NewLater(now.Add(10 * time.Millisecond))
		}
		*budget--
	}
	for _, name := range d.leafs[part] {
		isExcluded := false
		for _, e := range excluded {
			isExcluded = isExcluded || e == name
		}
		if !isExcluded {
			return fanout.NewAcquired(name, name)
		}
	}
	return fanout.NewUnavailable(false)
}

func (d *fakeDirectory) HedgeDelay(int) time.Duration { return d.hedgeDelay }

func newFakeDirectory(services int) *fakeDirectory {
	d := &fakeDirectory{leafs: make(map[int][]string), hedgeBudget: 10, retryBudget: 10, hedgeDelay: 20 * time.Millisecond}
	for i := range services {
		for _, replica := range []string{"a", "b", "c"} {
			d.leafs[i] = append(d.leafs[i], fmt.Sprintf("%s-%d", replica, i))
		}
	}
	return d
}

func newState(services int) *fanout.State {
	var names []string
	for i := range services {
		names = append(names, fmt.Sprintf("service-%d", i))
	}
	return fanout.New(fanout.NewPlan(names, "s1", startTime, startTime.Add(200*time.Millisecond)))
}

func answeredFrom(snapshot string) leaf.Outcome {
	return leaf.NewAnswered(leaf.Report{}, snapshot, []byte(`[]`))
}

// expectCoverage checks the number of services that answered and the reasons of
// the missing ones.
func expectCoverage(t *testing.T, s *fanout.State, answered int, reasons ...string) {
	t.Helper()
	c := s.Coverage()
	assert.Equal(t, c.Answered(), answered)
	var got []string
	for _, m := range c.Missing() {
		got = append(got, m.Reason().String())
	}
	assert.DeepEqual(t, got, reasons)
}

func TestHandleResult(t *testing.T) {
	tests := []struct {
		name      string
		outcome   leaf.Outcome
		wantSends int
		answered  int
		reasons   []string
	}{
		{"complete result", answeredFrom("s1"), 0, 1, nil},
		{"result from another snapshot is not merged", answeredFrom("s2"), 1, 0, []string{"no-snapshot"}},
		{"shed sub-request is retried on another target", leaf.NewRefused(leaf.Report{}, leaf.RefusedShed), 1, 0, []string{"shed"}},
		{"response to another request is ignored", leaf.NewUnusable("crossed"), 1, 0, []string{"unusable"}},
		{"sub-request on a lost connection is retried on another target", leaf.NewFailed(true, false), 1, 0, []string{"lost"}},
		{"withheld sub-request is not retried at once", leaf.Withheld{}, 0, 0, []string{"late"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newState(1)
			dir := newFakeDirectory(1)
			sends := s.Begin(startTime, dir)
			assert.Equal(t, len(sends), 1)
			more := s.HandleResult(fanout.NewResult(sends[0].Attempt(), tt.outcome), startTime.Add(time.Millisecond), dir)
			assert.Equal(t, len(more), tt.wantSends)
			expectCoverage(t, s, tt.answered, tt.reasons...)
			for _, m := range more {
				assert.Assert(t, m.Target() != sends[0].Target())
			}
		})
	}
}

func TestLateAndDuplicateResultsAreIgnored(t *testing.T) {
	s := newState(1)
	dir := newFakeDirectory(1)
	first := s.Begin(startTime, dir)[0]
	hedge := s.Tick(startTime.Add(25*time.Millisecond), dir)
	assert.Equal(t, len(hedge), 1)
	now := startTime.Add(30 * time.Millisecond)
	s.HandleResult(fanout.NewResult(hedge[0].Attempt(), leaf.NewAnswered(leaf.Report{}, "s1", []byte(`"hedge"`))), now, dir)
	assert.Assert(t, s.Done(now))
	s.HandleResult(fanout.NewResult(first.Attempt(), leaf.NewAnswered(leaf.Report{}, "s1", []byte(`"late"`))), now, dir)
	s.HandleResult(fanout.NewResult(first.Attempt(), answeredFrom("s1")), now, dir)
	s.HandleResult(fanout.NewResult(99, answeredFrom("s1")), now, dir)
	assert.Equal(t, string(s.Body(0)), `"hedge"`)
}

func TestNoHedgeWithoutBudget(t *testing.T) {
	s := newState(1)
	dir := newFakeDirectory(1)
	dir.hedgeBudget = 0
	s.Begin(startTime, dir)
	for ms := 20; ms < 200; ms += 20 {
		assert.Equal(t, len(s.Tick(startTime.Add(time.Duration(ms)*time.Millisecond), dir)), 0)
	}
}

func TestAnswerIsReturnedBeforeDeadline(t *testing.T) {
	s := newState(2)
	dir := newFakeDirectory(2)
	sends := s.Begin(startTime, dir)
	s.HandleResult(fanout.NewResult(sends[0].Attempt(), answeredFrom("s1")), startTime, dir)
	assert.Assert(t, !s.Done(startTime.Add(179*time.Millisecond)))
	assert.Assert(t, s.Done(startTime.Add(180*time.Millisecond)))
	expectCoverage(t, s, 1, "late")
}

func TestFirstSendWaitsForCapacity(t *testing.T) {
	s := newState(1)
	dir := newFakeDirectory(1)
	dir.firstWait = 30 * time.Millisecond
	assert.Equal(t, len(s.Begin(startTime, dir)), 0)
	assert.Equal(t, s.NextTime(), startTime.Add(30*time.Millisecond))
	assert.Equal(t, len(s.Tick(startTime.Add(30*time.Millisecond), dir)), 1)
}

func TestBlockedOnSnapshot(t *testing.T) {
	s := newState(2)
	dir := newFakeDirectory(2)
	dir.retryBudget = 0
	sends := s.Begin(startTime, dir)
	s.HandleResult(fanout.NewResult(sends[0].Attempt(), answeredFrom("s1")), startTime, dir)
	assert.Assert(t, !s.BlockedOnSnapshot())
	s.HandleResult(fanout.NewResult(sends[1].Attempt(), leaf.NewRefused(leaf.Report{}, leaf.RefusedSnapshot)), startTime, dir)
	assert.Assert(t, s.BlockedOnSnapshot())
}

// TestRandomOutcomes runs a query with random outcomes in random order. The
// coverage must count the results that the answer holds, and no service may be
// sent more than four sub-requests.
func TestRandomOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		services := rapid.IntRange(1, 6).Draw(rt, "services")
		s := newState(services)
		dir := newFakeDirectory(services)
		now := startTime
		inFlight := s.Begin(now, dir)
		sent := make(map[int]int)
		for _, send := range inFlight {
			sent[send.Part()]++
		}
		for !s.Done(now) {
			now = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(rt, "ms")) * time.Millisecond)
			var more []fanout.Send
			if len(inFlight) > 0 && rapid.Bool().Draw(rt, "answer") {
				i := rapid.IntRange(0, len(inFlight)-1).Draw(rt, "which")
				outcome := rapid.SampledFrom([]leaf.Outcome{
					answeredFrom("s1"), answeredFrom("s2"), leaf.NewUnusable("crossed"), leaf.NewFailed(true, true),
					leaf.NewRefused(leaf.Report{}, leaf.RefusedShed), leaf.Withheld{},
				}).Draw(rt, "outcome")
				more = s.HandleResult(fanout.NewResult(inFlight[i].Attempt(), outcome), now, dir)
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
			}
			more = append(more, s.Tick(now, dir)...)
			for _, send := range more {
				sent[send.Part()]++
			}
			inFlight = append(inFlight, more...)
		}
		bodies := 0
		for i := range services {
			if s.Body(i) != nil {
				bodies++
			}
			if sent[i] > 4 {
				rt.Fatalf("service %d was sent %d sub-requests, want at most 4", i, sent[i])
			}
		}
		if s.Coverage().Answered() != bodies {
			rt.Fatalf("the answer holds results of %d services, but its coverage counts %d", bodies, s.Coverage().Answered())
		}
	})
}

func ExampleState() {
	dir := newFakeDirectory(1)
	s := newState(1)
	sends := s.Begin(startTime, dir)
	s.HandleResult(fanout.NewResult(sends[0].Attempt(), answeredFrom("s1")), startTime.Add(5*time.Millisecond), dir)
	fmt.Println(s.Done(startTime.Add(5*time.Millisecond)), s.Coverage().Complete())
	// Output: true true
}
