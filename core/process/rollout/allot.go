package rollout

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

const (
	// testShare is the part of the exposure share that the test may use. The rest is for
	// moving the traffic.
	testShare = 0.4
	// slackShare is the part of the exposure slack that a rollout may use, and minSlack
	// the part that the test may use however much moving the traffic takes.
	slackShare = 0.85
	minSlack   = 0.15
	// movingTime is how long the stages after the test take without a fault, in which
	// about all requests go to the new version.
	movingTime = 1100 * time.Millisecond
	// firstSlack is the part of the slack of a busy service that is used at once. The
	// rest is spread over the test, to find faults that begin late.
	firstSlack = 0.4
	// paceTime and firstPace limit the requests to the new version: about firstPace in
	// paceTime, and half as many more as responses were good.
	paceTime  = 500 * time.Millisecond
	firstPace = 3
	// doubtSlack is the number of further requests with which a doubt about the version is
	// resolved.
	doubtSlack = 10
	// maxTestPart is the largest part of the requests that goes to the new version during
	// the test. The others show how the old versions respond at the same time.
	maxTestPart = 0.75
	// measureTime is how long the requests are counted before the first ones go to the
	// new version.
	measureTime = 400 * time.Millisecond
	// idleTime is the time without a request after which an allowance is moved to another
	// VM.
	idleTime = time.Second
)

// budget returns how many requests may be sent to the new version in the test, of which
// unused allowances count as sent.
func (r *run) budget(b Bounds, all uint64, now bootclock.Time) float64 {
	elapsed := max(r.elapsed(now), measureTime).Seconds()
	rate := float64(all) / elapsed
	moving := rate * movingTime.Seconds()
	fromShare := (1 - testShare) * b.exposureShare * rate * r.record.duration.Seconds()
	slack := slackShare*b.exposureSlack - max(0, moving-fromShare)
	slack = max(slack, minSlack*b.exposureSlack)
	if rate*r.record.duration.Seconds() > 4*b.exposureSlack {
		slack *= firstSlack + (1-firstSlack)*r.testFraction(now)
	}
	if r.judge.doubtful() {
		slack += doubtSlack
	}
	return testShare*b.exposureShare*float64(all) + slack
}

// allot raises the allowances of VMs, at random among those that are likely to get a
// request, within the budget and the pace.
func (r *run) allot(c *Controller, now bootclock.Time) {
	if r.elapsed(now) < measureTime {
		return
	}
	all, sent, charged := r.totals(now)
	if sent >= firstPace && float64(sent) >= maxTestPart*float64(all) {
		return
	}
	budget := r.budget(c.bounds, all, now)
	candidates, weightOf := r.weights(c.random, now)
	expected := float64(all) / r.elapsed(now).Seconds() * paceTime.Seconds()
	good := float64(r.judge.all.last.updatedTotal - r.judge.all.last.updatedBad)
	limit := min(maxTestPart, (firstPace+good/2)/max(expected, 0.1))
	outstanding := 0.0
	for vm, v := range r.vms {
		if v.allowance > v.report.sent {
			outstanding += weightOf[vm]
		}
	}
	for _, vm := range candidates {
		v := r.vms[vm]
		if v.allowance > v.report.sent {
			continue
		}
		if outstanding >= limit {
			return
		}
		if float64(charged+1) > budget {
			r.reclaim(c.number, now)
			return
		}
		v.allowance = v.report.sent + 1
		v.allottedAt = now
		if v.allowance > v.charged {
			charged += v.allowance - v.charged
			v.charged = v.allowance
		}
		outstanding += weightOf[vm]
	}
}

// weights returns the part of the requests that each VM that reports is expected to get, and
// these VMs in a random order in which a VM with more requests is likely to come earlier.
func (r *run) weights(random *rand.Rand, now bootclock.Time) ([]string, map[string]float64) {
	var vms []string
	keys, weightOf, sum := make(map[string]float64), make(map[string]float64), 0.0
	for _, vm := range slices.Sorted(maps.Keys(r.vms)) {
		v := r.vms[vm]
		if now.Sub(v.at) > confirmationAge {
			continue
		}
		vms = append(vms, vm)
		weight := float64(v.report.requests) + 0.5
		weightOf[vm] = weight
		sum += weight
		keys[vm] = random.ExpFloat64() / weight
	}
	for vm := range weightOf {
		weightOf[vm] /= sum
	}
	slices.SortFunc(vms, func(a, b string) int {
		if keys[a] < keys[b] {
			return -1
		}
		return 1
	})
	return vms, weightOf
}

// reclaim lowers the unused allowances of VMs that get no requests. They count until the
// VM has confirmed the grants with the given number, which lower them.
func (r *run) reclaim(number uint64, now bootclock.Time) {
	for _, v := range r.vms {
		idle := now.Sub(v.activeAt) >= idleTime && now.Sub(v.allottedAt) >= idleTime
		if idle && v.allowance > v.report.sent {
			v.allowance = v.report.sent
			v.loweredAt = number
		}
	}
}
