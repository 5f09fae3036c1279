package rollout

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// step advances the rollout. The result is a decision for the log, if there is one.
func (r *run) step(c *Controller, vms []string, now bootclock.Time) (Decision, bool) {
	if !r.ready {
		r.ready = r.reported(vms, now) || now.Sub(c.leadsSince) >= takeoverTime && now.Sub(r.seenAt) >= takeoverTime
		if r.ready {
			r.enter(Hold, now)
		}
	}
	if r.ready && r.outcome != RollBack {
		r.weigh(now)
		r.advance(c, vms, now)
	}
	if r.outcome == 0 && r.remaining(now) <= rollbackMargin {
		r.rollBack("no verdict before the deadline", now)
	}
	if r.outcome == Succeed && !r.mayFinish(vms, now) {
		// A VM has restarted or lost its grant since.
		r.outcome = 0
	}
	switch {
	case r.outcome != 0:
		return r.decision(r.outcome, now), true
	case now.Sub(r.statedAt) >= statedInterval:
		r.statedAt = now
		return r.decision(StateElapsed, now), true
	}
	return Decision{}, false
}

func (r *run) decision(kind DecisionKind, now bootclock.Time) Decision {
	return Decision{kind: kind, service: r.record.service, order: r.record.order, elapsed: r.elapsed(now), reason: r.reason}
}

func (r *run) rollBack(reason string, now bootclock.Time) {
	r.outcome = RollBack
	r.reason = reason + ": " + r.judge.String()
	r.enter(Hold, now)
}

// enter begins a stage.
func (r *run) enter(s Stage, now bootclock.Time) {
	r.stage = s
	r.stageSince = now
	r.movedSince = 0
}

// advance moves the rollout to the next stage, or ends it, if that is due.
func (r *run) advance(c *Controller, vms []string, now bootclock.Time) {
	if r.judge.bad() {
		r.rollBack("the version is bad", now)
		return
	}
	remaining := r.remaining(now)
	switch r.stage {
	case Hold, Test:
		if r.stage == Hold {
			r.enter(Test, now)
		}
		r.allot(c, now)
		r.leaveTest(remaining, now)
	case Shift:
		if r.mayAdvance(vms, remaining <= shortenShift, now) {
			r.enter(Full, now)
		}
	case Full:
		short := remaining <= shortenFull
		if r.mayAdvance(vms, short, now) && (short || r.moved(now)) {
			r.enter(Closed, now)
		}
	case Closed:
		if r.mayFinish(vms, now) {
			r.outcome = Succeed
			r.reason = "the version is good: " + r.judge.String()
		}
	}
}

// leaveTest begins to move the traffic when the time for that has come and the version is
// known to be good, and gives up when it is too late.
func (r *run) leaveTest(remaining time.Duration, now bootclock.Time) {
	late := remaining <= latestShift+2*judgeInterval
	switch {
	case remaining <= latestShift:
		r.rollBack("too few good responses", now)
	case remaining > r.reserve() || !r.judge.good(late):
	case remaining <= shortenShift:
		r.enter(Full, now)
	default:
		r.enter(Shift, now)
	}
}

// mayAdvance reports whether the stage Shift or Full has lasted long enough and the version
// still counts as good. If it is short, it lasts no longer than the VMs need to confirm it.
func (r *run) mayAdvance(vms []string, short bool, now bootclock.Time) bool {
	if !r.judge.good(true) || now.Sub(r.stageSince) < stageTime && !short {
		return false
	}
	return r.confirmed(vms, now, func(Report) bool { return true })
}

// moved reports whether the targets of the new version take nearly all requests since all
// VMs have confirmed the stage Full, at least judgeInterval ago.
func (r *run) moved(now bootclock.Time) bool {
	all, sent, _ := r.totals(now)
	if r.movedSince == 0 {
		r.movedSince, r.movedRequests, r.movedSent = now, all, sent
	}
	return now.Sub(r.movedSince) >= judgeInterval && increase(r.movedSent, sent) >= fullShare*increase(r.movedRequests, all)-1
}

// mayFinish reports whether nothing is at the old versions any more. Attempts there that
// have not ended shortly before the deadline belong to requests that were answered by
// others.
func (r *run) mayFinish(vms []string, now bootclock.Time) bool {
	if r.stage != Closed || r.remaining(now) <= 0 || !r.judge.good(true) || now.Sub(r.stageSince) < closedTime {
		return false
	}
	if r.confirmed(vms, now, func(p Report) bool { return p.running.old == 0 }) {
		return true
	}
	return r.remaining(now) <= rollbackMargin+judgeInterval && now.Sub(r.stageSince) >= drainTimeout &&
		r.confirmed(vms, now, func(Report) bool { return true })
}

// grantFor returns the grant for a run of a VM, or false if it has not reported.
func (r *run) grantFor(vm, startID string) (Grant, bool) {
	v := r.vms[vm]
	if v == nil || v.startID != startID {
		return Grant{}, false
	}
	g := Grant{service: r.record.service, order: r.record.order, stage: r.stage}
	if r.stage == Test {
		g.allowance = v.allowance
	} else {
		g.allowance = v.report.allowance
	}
	return g, true
}

// testFraction returns the part of the time for the test that has passed.
func (r *run) testFraction(now bootclock.Time) float64 {
	return min(1, float64(r.elapsed(now))/float64(max(time.Millisecond, r.record.duration-r.reserve())))
}
