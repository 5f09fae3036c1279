package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// Replays callers at different distances, on new and on kept connections, whose answers
// leave with missing parts as late as the plan allows. An allowance that is the same for
// all callers makes the answers of distant callers on new connections late, and those of
// near callers leave too early.
func TestAnswersLeaveInTimeForTheirCallers(t *testing.T) {
	const objective = 50 * time.Millisecond
	// Reading, merging and writing on a VM with a fraction of a core take some
	// milliseconds.
	const processing = 9 * time.Millisecond
	for _, roundTrip := range []time.Duration{200 * time.Microsecond, 2 * time.Millisecond, 6 * time.Millisecond, 12 * time.Millisecond} {
		for _, isNew := range []bool{true, false} {
			setUp := time.Duration(0)
			if isNew {
				setUp = roundTrip
			}
			arrivesAfter := setUp + roundTrip/2
			req := (&relay.Request{}).WithNetworkTime(setUp + roundTrip)
			leavesAfter := arrivesAfter + objective - returnDelay(req)
			receivedAfter := leavesAfter + processing + roundTrip/2
			assert.Assert(t, receivedAfter <= objective, "round trip %v, new connection %t: received after %v", roundTrip, isNew, receivedAfter)
			assert.Assert(t, receivedAfter >= objective-2*time.Millisecond, "round trip %v, new connection %t: left too early", roundTrip, isNew)
		}
	}
}
