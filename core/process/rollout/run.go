package rollout

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

const (
	// judgeInterval is the time between two steps of the evidence.
	judgeInterval = 200 * time.Millisecond
	// statedInterval is the time between two statements of the elapsed time in the log.
	statedInterval = time.Second
	// reserveFraction is the part of the duration that is left for moving the traffic,
	// between minReserve and maxReserve: about 1.5 s without a fault, and 2 s more if the
	// leader changes meanwhile.
	reserveFraction = 0.3
	minReserve      = 3300 * time.Millisecond
	maxReserve      = 4500 * time.Millisecond
	// latestShift is the time before the deadline after which no traffic begins to move.
	latestShift = 900 * time.Millisecond
	// shortenShift and shortenFull are the times before the deadline after which the
	// stages Shift and Full take no longer than the VMs need to confirm them. After
	// shortenShift, Shift does not begin any more.
	shortenShift = 2 * time.Second
	shortenFull  = 1300 * time.Millisecond
	// rollbackMargin is the time before the deadline at which a rollout that is not finished is
	// rolled back, so that this is committed before the deadline.
	rollbackMargin = 500 * time.Millisecond
	// stageTime is the least time in the stages Shift and Full, and closedTime that in the
	// stage Closed, in which a fault under full load shows.
	stageTime  = 500 * time.Millisecond
	closedTime = 300 * time.Millisecond
	// confirmationAge is the longest time since the grants were made that a VM has
	// confirmed by its latest report.
	confirmationAge = 700 * time.Millisecond
	// forgetTime is how long a VM from which no report arrives is waited for. Its grants
	// have expired by then.
	forgetTime = 1500 * time.Millisecond
	// takeoverTime is the longest time for which a new leader waits for the reports of
	// all VMs.
	takeoverTime = 1500 * time.Millisecond
	// drainTimeout is how long the stage Closed lasts before it no longer waits, shortly
	// before the deadline, for attempts at the old versions.
	drainTimeout = 800 * time.Millisecond
	// fullShare is the part of the requests that must go to the new version in the stage
	// Full before the old versions are closed.
	fullShare = 0.85
)

// vmState is what the leader knows of one run of an entry VM.
type vmState struct {
	startID  string
	sequence uint64
	report   Report
	at       bootclock.Time
	// confirmedAt is when the grants were made that the VM had at its latest report,
	// zero if this leader made none of them.
	confirmedAt bootclock.Time
	// allowance is the allowance of the next grant, charged the highest one that the VM
	// may still have, and loweredAt the number of the grants that lowered it.
	allowance, charged uint64
	loweredAt          uint64
	// activeAt is when a report last showed another request, and allottedAt when the
	// allowance was last raised.
	activeAt, allottedAt bootclock.Time
}

// vmRun identifies a run of an entry VM.
type vmRun struct{ vm, startID string }

// run is a rollout that is running.
type run struct {
	record Record
	// elapsedThen is how much time had passed since the order at seenAt.
	elapsedThen time.Duration
	seenAt      bootclock.Time
	statedAt    bootclock.Time
	vms         map[string]*vmState
	// retired holds the counts by route of the runs of VMs that have ended, which are
	// those in retiredRuns. retiredAll and retiredSent are their requests.
	retired     map[string]*RouteCounts
	retiredRuns map[vmRun]bool
	retiredAll  uint64
	retiredSent uint64
	judge       judge
	judgedAt    bootclock.Time
	// ready is true once this leader knows the counts of all VMs or has waited for
	// takeoverTime. Before that it judges nothing.
	ready      bool
	stage      Stage
	stageSince bootclock.Time
	// movedSince is when all VMs had confirmed the stage Full, zero before. The counts are
	// those of that time.
	movedSince    bootclock.Time
	movedRequests uint64
	movedSent     uint64
	// outcome is what was decided, 0 while nothing is.
	outcome DecisionKind
	reason  string
}

func newRun(r Record, now bootclock.Time) *run {
	return &run{record: r, elapsedThen: r.elapsed, seenAt: now, statedAt: now, vms: make(map[string]*vmState),
		retired: make(map[string]*RouteCounts), retiredRuns: make(map[vmRun]bool), judge: newJudge()}
}

// elapsed returns how much time has passed since the order.
func (r *run) elapsed(now bootclock.Time) time.Duration { return r.elapsedThen + now.Sub(r.seenAt) }

// remaining returns the time until the deadline.
func (r *run) remaining(now bootclock.Time) time.Duration {
	return r.record.duration - r.elapsed(now)
}

// reserve returns the time before the deadline at which traffic begins to move.
func (r *run) reserve() time.Duration {
	d := r.record.duration
	return min(max(time.Duration(reserveFraction*float64(d)), minReserve), maxReserve, d*6/10)
}

// startLeading discards what an earlier leadership of this VM had decided. The counts of
// the VMs stay.
func (r *run) startLeading() {
	r.ready = false
	r.stage = Hold
	r.outcome = 0
	r.judge = newJudge()
	for _, v := range r.vms {
		v.confirmedAt = 0
		v.loweredAt = 0
		v.allowance = max(v.report.allowance, v.report.sent)
		v.charged = v.allowance
	}
}

// takeReport replaces the report of a VM. If the VM has restarted, the counts of the run
// before are kept, and reports of it that arrive later are ignored. number and confirmedAt
// are those of the grants that the VM had, confirmedAt zero if this leader made none of them.
func (r *run) takeReport(vm, startID string, sequence uint64, report Report, number uint64, confirmedAt, now bootclock.Time) {
	if r.retiredRuns[vmRun{vm: vm, startID: startID}] {
		return
	}
	v := r.vms[vm]
	if v == nil || v.startID != startID {
		if v != nil {
			r.retiredRuns[vmRun{vm: vm, startID: v.startID}] = true
			r.retire(v)
		}
		v = &vmState{startID: startID, allowance: report.allowance, charged: report.allowance}
		r.vms[vm] = v
	}
	if sequence <= v.sequence {
		return
	}
	v.sequence = sequence
	if report.requests > v.report.requests {
		v.activeAt = now
	}
	v.report = report
	v.at = now
	v.confirmedAt = confirmedAt
	if report.allowance > v.charged {
		v.charged = report.allowance
	}
	if confirmedAt != 0 && number >= v.loweredAt {
		v.charged = max(v.allowance, report.sent)
	}
}

// retire adds the counts of a run of a VM that has ended. What it may have sent after its
// last report counts as sent.
func (r *run) retire(v *vmState) {
	r.retiredAll += v.report.requests
	r.retiredSent += max(v.report.sent, v.charged)
	addRoutes(r.retired, v.report.routes)
}

func addRoutes(into map[string]*RouteCounts, routes []RouteCounts) {
	for _, counts := range routes {
		if into[counts.route] == nil {
			into[counts.route] = &RouteCounts{route: counts.route}
		}
		into[counts.route].add(counts)
	}
}

// totals returns the requests of all VMs since the order, and those that were sent to the
// new version or may be without a further grant. The grants of VMs that are out of touch
// have expired.
func (r *run) totals(now bootclock.Time) (all, sent, charged uint64) {
	all, sent, charged = r.retiredAll, r.retiredSent, r.retiredSent
	for _, v := range r.vms {
		all += v.report.requests
		sent += v.report.sent
		if now.Sub(v.at) < forgetTime {
			charged += max(v.charged, v.report.sent)
		} else {
			charged += v.report.sent
		}
	}
	return all, sent, charged
}

// weigh passes the counts of all VMs to the judge.
func (r *run) weigh(now bootclock.Time) {
	if now.Sub(r.judgedAt) < judgeInterval {
		return
	}
	r.judgedAt = now
	routes := make(map[string]*RouteCounts)
	for route, counts := range r.retired {
		copied := *counts
		routes[route] = &copied
	}
	var running InFlight
	for _, v := range r.vms {
		addRoutes(routes, v.report.routes)
		if now.Sub(v.at) < forgetTime {
			running.overdue += v.report.running.overdue
			running.oldOverdue += v.report.running.oldOverdue
		}
	}
	r.judge.step(routes, running)
}

// waitFor returns the VMs whose confirmation a stage needs: those from which messages
// arrive, and those that have reported within forgetTime. A VM may be in it twice.
func (r *run) waitFor(vms []string, now bootclock.Time) []string {
	out := append([]string(nil), vms...)
	for vm, v := range r.vms {
		if now.Sub(v.at) < forgetTime {
			out = append(out, vm)
		}
	}
	return out
}

// confirmed reports whether all VMs of waitFor have the present stage in force, and what
// they report then meets a condition.
func (r *run) confirmed(vms []string, now bootclock.Time, condition func(Report) bool) bool {
	for _, vm := range r.waitFor(vms, now) {
		v := r.vms[vm]
		if v == nil || v.confirmedAt == 0 || now.Sub(v.confirmedAt) > confirmationAge || v.report.stage != r.stage || !condition(v.report) {
			return false
		}
	}
	return true
}

// reported reports whether the latest report of each VM is younger than confirmationAge.
func (r *run) reported(vms []string, now bootclock.Time) bool {
	for _, vm := range vms {
		if v := r.vms[vm]; v == nil || now.Sub(v.at) >= confirmationAge {
			return false
		}
	}
	return true
}
