package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An order must be stale whenever another one may have been appended after its base: in the
// same term at a higher index, or in any other term.
func TestStaleOrders(t *testing.T) {
	last := NewPosition(3, 10)
	tests := []struct {
		base  Position
		stale bool
	}{
		{NewPosition(3, 9), true},
		{NewPosition(3, 10), false},
		{NewPosition(3, 11), false},
		{NewPosition(2, 99), true},
		{NewPosition(4, 99), true},
		{Position{}, true},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.base), func(t *testing.T) {
			assert.Equal(t, NewOrder(NewSetOutOfService("dc-1", true), tt.base).StaleAt(last), tt.stale)
		})
	}
}

// A new leader must count each entry before its term as an order: it does not know which
// of them are.
func TestNewLeaderCountsEarlierEntriesAsOrders(t *testing.T) {
	c := newCluster(1, injectedBugs{})
	c.advance(3 * time.Second)
	leader := c.leader()
	assert.Assert(t, leader != nil)
	before := NewPosition(leader.node.Term(), leader.node.log.lastIndex())
	order := NewOrder(NewSetOutOfService("dc-1", true), before)
	assert.Assert(t, !order.StaleAt(leader.node.LastOrder()))
	c.crash(leader.name, false)
	c.advance(3 * time.Second)
	next := c.leader()
	assert.Assert(t, next != nil && next != leader)
	assert.Assert(t, order.StaleAt(next.node.LastOrder()))
	assert.Equal(t, next.node.LastOrder().index, next.node.log.lastIndex())
}

func TestOrderRoundTrip(t *testing.T) {
	o := NewOrder(NewStartRollout("s", "v2", orderTime), NewPosition(3, 9))
	decoded, err := DecodeCommand(EncodeCommand(o))
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(decoded), fmt.Sprint(o))
	_, err = DecodeCommand(EncodeCommand(NewOrder(NewPublishRoutes(1, nil), Position{})))
	assert.ErrorContains(t, err, "not an order")
	outcome, err := DecodeOutcome(EncodeOutcome(NewOrderRejected(NewPosition(3, 9))))
	assert.NilError(t, err)
	assert.Equal(t, outcome, Outcome(NewOrderRejected(NewPosition(3, 9))))
}
