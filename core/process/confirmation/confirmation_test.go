package confirmation_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/confirmation"
)

const start = bootclock.Time(1000 * time.Second)

// lifetime is 0.85 of the default bound of 5 s.
const lifetime = 4250 * time.Millisecond

// A proof must count from the time of asking less the age in the reply, whenever the reply
// arrives, and must confirm only routes of at least its revision.
func TestAnswers(t *testing.T) {
	tests := []struct {
		name     string
		inForce  uint64
		revision uint64
		age      time.Duration
		// repliedAfter is when the reply arrives, validFor how long the routes are
		// confirmed; both count from the time of asking. Negative means never.
		repliedAfter time.Duration
		validFor     time.Duration
	}{
		{"at once", 3, 3, 0, 2 * time.Millisecond, lifetime},
		{"with an age", 3, 3, time.Second, 2 * time.Millisecond, lifetime - time.Second},
		{"of older routes", 3, 2, 0, 2 * time.Millisecond, lifetime},
		{"of newer routes than those in force", 3, 4, 0, 2 * time.Millisecond, -1},
		{"a slow reply", 3, 3, 0, 3 * time.Second, lifetime},
		{"a reply after its end", 3, 3, 0, 5 * time.Second, lifetime},
		{"an age beyond the lifetime", 3, 3, 5 * time.Second, 2 * time.Millisecond, -1},
		{"a negative age", 3, 3, -time.Second, 2 * time.Millisecond, -1},
		{"an age that overflows", 3, 3, 1<<63 - 1, 2 * time.Millisecond, -1},
		{"without a revision", 3, 0, 0, 2 * time.Millisecond, -1},
		{"no routes in force", 0, 3, 0, 2 * time.Millisecond, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := confirmation.NewHolder(7)
			if tt.inForce > 0 {
				h.PutInForce(tt.inForce, true)
			}
			number := h.Ask(start)
			h.Answer(number, tt.revision, tt.age, start.Add(tt.repliedAfter))
			confirmed := h.Confirmed(start.Add(tt.repliedAfter))
			assert.Equal(t, confirmed, tt.validFor > tt.repliedAfter)
			assert.Assert(t, !h.Confirmed(start.Add(max(0, tt.validFor))), "valid for too long")
			if tt.validFor > 0 {
				assert.Assert(t, h.Confirmed(start.Add(tt.validFor-1)), "valid for too short a time")
			}
		})
	}
}

// A reply of an earlier process, or to a question that was never put, proves nothing.
func TestReplyToAnUnknownQuestionIsIgnored(t *testing.T) {
	h := confirmation.NewHolder(100)
	h.PutInForce(1, true)
	number := h.Ask(start)
	for _, n := range []uint64{0, number - 1, number + 1, 1 << 63} {
		assert.Assert(t, !h.Answer(n, 1, 0, start), "%d", n)
	}
	assert.Assert(t, !h.Confirmed(start))
	assert.Assert(t, h.Answer(number, 1, 0, start))
	assert.Assert(t, h.Confirmed(start))
}

// A proof for routes that arrive after it must confirm them as soon as they are in force,
// and a proof of before must go on until it ends.
func TestProofWaitsForItsRoutes(t *testing.T) {
	h := confirmation.NewHolder(0)
	h.PutInForce(1, true)
	h.AddProof(confirmation.NewProof(1, start))
	h.AddProof(confirmation.NewProof(2, start.Add(2*time.Second)))
	assert.Assert(t, h.Confirmed(start.Add(lifetime-1)))
	assert.Assert(t, !h.Confirmed(start.Add(lifetime)), "routes that are not the newest were confirmed")
	assert.Assert(t, !h.Certain(start.Add(time.Second)), "an unknown key would be refused for good by routes that are known to be old")
	h.PutInForce(2, true)
	assert.Assert(t, h.Confirmed(start.Add(lifetime)))
	assert.Assert(t, h.Certain(start.Add(4*time.Second)))
}

// An unknown key is refused for good only with a recent proof, since a key that was added may
// be missing for 4 s at most, and never if a newer revision is known to exist.
func TestCertain(t *testing.T) {
	h := confirmation.NewHolder(0)
	assert.Assert(t, !h.Certain(start))
	h.PutInForce(5, true)
	assert.Assert(t, !h.Certain(start), "certain without a proof")
	h.AddProof(confirmation.NewProof(5, start))
	assert.Assert(t, h.Certain(start.Add(3*time.Second-1)))
	assert.Assert(t, !h.Certain(start.Add(3*time.Second)))
	assert.Assert(t, h.Confirmed(start.Add(3*time.Second)))
	h.Learn(6)
	assert.Assert(t, !h.Certain(start.Add(time.Second)))
	assert.Assert(t, h.Confirmed(start.Add(time.Second)))
	h.SetWithin(2 * time.Second)
	assert.Assert(t, !h.Confirmed(start.Add(1700*time.Millisecond)))
}

// Routes without teams must cause no messages.
func TestNoQuestionsWithoutTeams(t *testing.T) {
	h := confirmation.NewHolder(0)
	_, due := h.Next(1, start)
	assert.Assert(t, !due)
	h.PutInForce(1, false)
	_, due = h.Next(1, start)
	assert.Assert(t, !due)
	h.PutInForce(2, true)
	q, due := h.Next(1, start)
	assert.Assert(t, due)
	assert.Assert(t, q.Width() > 1, "the first question depends on one control VM")
	h.PutInForce(3, false)
	_, due = h.Next(1, start.Add(time.Minute))
	assert.Assert(t, !due)
}

// A VM that gets no answers must ask more control VMs, but not for ever at the same rate.
func TestQuestionsWidenAndSlowDown(t *testing.T) {
	h := confirmation.NewHolder(0)
	h.PutInForce(1, true)
	h.AddProof(confirmation.NewProof(1, start))
	const tick = 400 * time.Millisecond
	var widths, gaps []int
	last := 0
	for n := range 24 {
		if q, due := h.Next(10, start.Add(time.Duration(n)*tick)); due {
			widths = append(widths, q.Width())
			gaps = append(gaps, n-last)
			last = n
		}
	}
	assert.DeepEqual(t, widths[:4], []int{1, 2, 4, 4})
	assert.DeepEqual(t, gaps[:9], []int{0, 1, 1, 1, 1, 1, 1, 2, 2})
}
