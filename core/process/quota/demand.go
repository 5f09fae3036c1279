package quota

import (
	"math"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

const (
	// demandMemory is the time constant of the estimated rate of a team's requests.
	demandMemory = 8 * time.Second
	// stockHorizon is the time for which the stock of a team lasts at its usual rate.
	stockHorizon = 1500 * time.Millisecond
	// maxHold is the longest time for which a token is held that is not expected to be
	// used earlier.
	maxHold = 10 * time.Second
	// vmsWithMaxHold is the number of entry VMs up to which tokens are held for maxHold.
	// With more, the time falls so that the owner gets no more messages.
	vmsWithMaxHold = 300
	// minExpected is the least number of requests expected while a token is held for
	// which one is kept in stock.
	minExpected = 0.2
	// maxTeamStock bounds the stock of a team at one holder.
	maxTeamStock = 64
	// stockBackoff is the time after which stock is wanted again if the owner had none.
	stockBackoff = time.Second
	// maxLocalRefusal bounds the time for which requests of a team are refused without
	// asking the owner again.
	maxLocalRefusal = 50 * time.Millisecond
	// minLocalRefusal is its least value.
	minLocalRefusal = 10 * time.Millisecond
	// forgetDemandAfter is the time after its last request after which a team is
	// forgotten.
	forgetDemandAfter = time.Minute
)

// demand is what a holder knows of the requests of a team.
type demand struct {
	// rate is the estimated number of requests per second at lastSeen.
	rate     float64
	lastSeen bootclock.Time
	// asked is true if the latest ask wanted stock. noStockUntil is the time until which
	// the owner is not asked for stock.
	asked        bool
	noStockUntil bootclock.Time
	// refusedUntil is the time until which requests are refused without asking the
	// owner, and retryAt when the owner expects tokens again.
	refusedUntil bootclock.Time
	retryAt      bootclock.Time
}

// record counts a request.
func (d *demand) record(now bootclock.Time) {
	d.rate = d.rateAt(now) + 1/demandMemory.Seconds()
	d.lastSeen = now
}

// rateAt returns the estimated number of requests per second.
func (d *demand) rateAt(now bootclock.Time) float64 {
	return d.rate * math.Exp(-max(0, now.Sub(d.lastSeen)).Seconds()/demandMemory.Seconds())
}

// target returns the number of tokens to hold if tokens may be held for a given time.
func (d *demand) target(hold time.Duration, now bootclock.Time) int {
	rate := d.rateAt(now)
	if rate*hold.Seconds() < minExpected {
		return 0
	}
	return min(maxTeamStock, max(1, int(math.Ceil(rate*stockHorizon.Seconds()))))
}

// refuse records that the owner refused a request.
func (d *demand) refuse(retryAfter time.Duration, now bootclock.Time) {
	d.refusedUntil = now.Add(min(max(retryAfter, minLocalRefusal), maxLocalRefusal))
	d.retryAt = now.Add(max(retryAfter, minLocalRefusal))
}
