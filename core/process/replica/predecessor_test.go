package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// A leader that takes an earlier leader for long gone would grant what that one's grants
// still cover.
func TestPredecessorSince(t *testing.T) {
	start := bootclock.Time(1000 * time.Second)
	at := func(s int) bootclock.Time { return start.Add(time.Duration(s) * time.Second) }
	settled := func(term uint64) bool { return term == 2 }
	var h leaderHistory
	h.lead(1, settled, at(1))
	assert.Equal(t, h.predecessorTerm, uint64(0))
	h.follow(2, at(2))
	h.follow(2, at(3))
	h.lead(4, settled, at(5))
	assert.Equal(t, h.predecessorTerm, uint64(2))
	assert.Equal(t, h.predecessorSince, at(2))
	assert.Assert(t, h.predecessorSettled)
	// Its own earlier leadership is the predecessor too.
	h.lead(6, settled, at(9))
	assert.Equal(t, h.predecessorTerm, uint64(4))
	assert.Equal(t, h.predecessorSince, at(5))
	assert.Assert(t, !h.predecessorSettled)
}

// A mark of an earlier term says nothing about the last leader.
func TestSettledMark(t *testing.T) {
	l := compactedLog{entries: []Entry{
		{index: 1, term: 1, kind: NoOp},
		{index: 2, term: 1, kind: NoOp, payload: []byte(settledMark)},
		{index: 3, term: 3, kind: CommandEntry, payload: []byte(settledMark)},
	}}
	assert.Assert(t, l.settledIn(1))
	assert.Assert(t, !l.settledIn(2))
	assert.Assert(t, !l.settledIn(3))
}
