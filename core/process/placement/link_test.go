package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

const ms = time.Millisecond

// linkFleet returns a fleet in dc-1 with one target in each of three data centres.
func linkFleet(now time.Time) *Fleet {
	f := NewFleet("vm-1", "dc-1", NewLimits(0.2, 20, 10*time.Second, 1.5, 5), now.Add(-time.Minute))
	var list []discovery.Instance
	for _, centre := range []string{"dc-1", "dc-2", "dc-3"} {
		list = append(list, discovery.NewInstance("i-"+centre, "s-1", "10.0.0.1:80", centre, 8))
	}
	f.SetTargets(discovery.NewList(list, 1, now), now)
	return f
}

// send sends a request to the target of a data centre, over a new connection unless
// handshake is 0. The response takes took after that.
func send(t *testing.T, f *Fleet, centre string, handshake, took time.Duration, now time.Time) {
	var others []*Target
	for id, target := range f.byID {
		if id != "i-"+centre {
			others = append(others, target)
		}
	}
	l, ok := f.Acquire(NewLeaseRequest("s-1", "k").ExtraAttempt(others, true), now)
	assert.Assert(t, ok)
	l.Sent(now)
	if handshake > 0 {
		now = now.Add(handshake)
		l.Connected(handshake, now)
	}
	l.Succeeded(now.Add(took))
}

// Guards against a cost of another data centre that does not follow the link: busy
// processors lengthen handshakes, and a link may change.
func TestCostOfADataCentreFollowsTheLink(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := linkFleet(now)
	remote := f.byID["i-dc-2"]
	assert.Equal(t, f.centreCost(remote), initialCentreCost)
	send(t, f, "dc-1", ms/2, 7*ms, now)
	for _, handshake := range []time.Duration{30 * ms, 9 * ms, 14 * ms} {
		send(t, f, "dc-2", handshake, 16*ms, now)
	}
	assert.Equal(t, f.centreCost(remote), 9*ms-ms/2+centreSurcharge)
	assert.Equal(t, f.centreCost(f.byID["i-dc-3"]), initialCentreCost)
	for n := range 3 {
		send(t, f, "dc-2", 20*ms, 27*ms, now.Add(time.Duration(n+1)*(handshakePeriod+time.Second)))
	}
	assert.Equal(t, f.centreCost(remote), 20*ms-ms/2+centreSurcharge)
	send(t, f, "dc-3", ms/10, 7*ms, now)
	assert.Equal(t, f.centreCost(f.byID["i-dc-3"]), minLinkTime+centreSurcharge)
	send(t, f, "dc-3", 300*ms, 7*ms, now.Add(2*handshakePeriod))
	send(t, f, "dc-3", 300*ms, 7*ms, now.Add(4*handshakePeriod))
	assert.Equal(t, f.centreCost(f.byID["i-dc-3"]), maxLinkTime+centreSurcharge)
}

// Guards against normal targets of other data centres that all VMs report as slow: with
// links of 4.4 ms a response takes 16 ms instead of 7 ms, and 9 ms more on a new
// connection. 80 % of the first attempts to other data centres went there for this reason.
func TestLinksDontMakeTargetsSlow(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := linkFleet(now)
	for n := range 100 {
		now = now.Add(50 * ms)
		send(t, f, "dc-1", 0, 7*ms, now)
		handshake := time.Duration(0)
		if n%2 == 0 {
			handshake = 9 * ms
		}
		send(t, f, "dc-2", handshake, 16*ms, now)
	}
	assert.Equal(t, len(f.LateResponses(now)), 0)
	assert.Equal(t, len(f.Findings(now)), 0)
	assert.Assert(t, f.byID["i-dc-2"].slowdown < 1.2, "%g", f.byID["i-dc-2"].slowdown)
	// A slow target of another data centre is found all the same.
	for range 10 {
		now = now.Add(50 * ms)
		send(t, f, "dc-2", 9*ms, 60*ms, now)
	}
	assert.Assert(t, len(f.LateResponses(now.Add(60*ms))) > 5)
}
