package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A leader that takes an earlier leader for long gone would grant what that one's grants
// still cover.
func TestPredecessorSince(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	var h leaderHistory
	h.lead(1, at(1))
	assert.Equal(t, h.predecessorTerm, uint64(0))
	h.follow(2, at(2))
	h.follow(2, at(3))
	h.lead(4, at(5))
	assert.Equal(t, h.predecessorTerm, uint64(2))
	assert.Equal(t, h.predecessorSince, at(2))
	// Its own earlier leadership is the predecessor too.
	h.lead(6, at(9))
	assert.Equal(t, h.predecessorTerm, uint64(4))
	assert.Equal(t, h.predecessorSince, at(5))
}
