package placement

import "time"

// Sent records that the request is being sent now. The time that this VM needed since
// it chose the target is not part of the target's response time.
func (l *Lease) Sent(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.restart(now)
}

// StreamingStarted records that a streamed response has begun. The time that
// the rest of it takes depends on how fast the caller reads, so it does not
// count towards the target's response time.
func (l *Lease) StreamingStarted(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.streamingSince = now
	l.overdueAt = time.Time{}
}

// release removes the request from those in flight and serves the queue. The
// caller holds l.fleet.mu.
func (l *Lease) release(now time.Time) {
	delete(l.target.inFlight, l)
	l.target.recordOpen(l.idleTimeout, now)
	l.target.group.queue.recordCompletion(now)
	l.fleet.grantWaiting(l.target.group, now)
}

// Unsent ends a lease whose request was not sent, for a reason that is not due
// to the target. An attempt that was charged to the retry budget is refunded.
func (l *Lease) Unsent(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if l.charged {
		l.target.group.budget.refund(now)
		l.target.group.extraShares.countExtra(l.team, -1, l.target.group.budget.window, now)
	}
	l.fleet.fairness.recordServed(l.team, -1, now)
	l.release(now)
}

// Succeeded ends a lease whose response was received in full and is not an
// error.
func (l *Lease) Succeeded(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	responseTime := now.Sub(l.sentAt)
	median := l.target.group.latency(l.kind).median
	if !l.streamingSince.IsZero() {
		responseTime = l.streamingSince.Sub(l.sentAt)
	}
	responseTime = l.workTime(responseTime)
	l.recordResponse(responseTime, now)
	l.observeStartResponse(responseTime, median, now)
	if l.run == l.target.run && !l.target.waiting(now) {
		l.target.resumes = false
	}
	l.fleet.reachabilityOf(l.target.instance.DataCentre()).unansweredSends = 0
	usual := float64(responseTime) / l.fleet.transientSlowness(l.target, now)
	l.target.group.addResponseTime(l.kind, time.Duration(usual))
	l.countResponse(responseTime)
	l.release(now)
}

// Failed ends a lease whose response was an error.
func (l *Lease) Failed(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.lastObservedAt = now
	l.target.recordError()
	l.countFailure()
	l.observeStartRejection(now)
	l.release(now)
}

// Refused ends a lease whose request the target refused. If gone is true, another
// instance has the address of the target, which gets no more requests.
func (l *Lease) Refused(gone bool, now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.lastObservedAt = now
	l.target.recordError()
	l.observeStartRejection(now)
	if gone {
		l.recordDeparture(true, now)
	} else {
		l.countFailure()
	}
	l.release(now)
}

// NoResponse ends a lease whose request got no response or no connection.
func (l *Lease) NoResponse(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.lastObservedAt = now
	l.target.recordNoResponse(now)
	l.countFailure()
	l.observeStartNoResponse(now)
	l.fleet.reachabilityOf(l.target.instance.DataCentre()).unansweredSends++
	l.release(now)
}

// OverLimit ends a lease whose new connection was reset by a target that is at
// its connection limit.
func (l *Lease) OverLimit(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.recordOverLimit(now)
	l.fleet.reachabilityOf(l.target.instance.DataCentre()).unansweredSends = 0
	l.release(now)
}

// Abandoned ends a lease whose response is no longer needed. If the response
// was overdue by then, the elapsed time is recorded as its response time, which
// also ends a backoff of the target as a response would.
func (l *Lease) Abandoned(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if !l.overdueAt.IsZero() && now.After(l.overdueAt) {
		elapsed := l.workTime(now.Sub(l.sentAt))
		l.recordResponse(elapsed, now)
		l.countResponse(elapsed)
	}
	l.release(now)
}

// recordResponse updates the health of the target with a response time, and keeps a late
// response for LateResponses. The part of the time that the slowness of the target explains
// does not count against it: its machine may be normal again before other VMs know. The
// caller holds l.fleet.mu.
func (l *Lease) recordResponse(responseTime time.Duration, now time.Time) {
	median := l.target.group.latency(l.kind).median
	median = time.Duration(float64(median) * l.fleet.transientSlowness(l.target, now))
	late := l.target.recordResponse(responseTime, median, now)
	l.target.lastObservedAt = now
	if late {
		l.fleet.addLate(l.target, now)
	}
}

// ReportLoad records the load that the target reported with a response: the
// requests that it runs and those in its queue.
func (l *Lease) ReportLoad(running, waiting int, now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.setReportedLoad(running, waiting, now)
}
