package dispatch

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/health"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
)

// exchangeInterval is the time between two exchanges of what the VMs observed, which is
// the interval of presences.
const exchangeInterval = 400 * time.Millisecond

// findingExchange passes what each VM observed to all of them until a replay ends.
type findingExchange struct{ fleets []*placement.Fleet }

func (x *findingExchange) run() {
	table := health.NewTable()
	for startedAt := time.Now(); time.Since(startedAt) < replayDuration; {
		time.Sleep(exchangeInterval)
		now := time.Now()
		for _, f := range x.fleets {
			table.AddFindings(f.Findings(now), now)
			table.AddLate(f.LateResponses(now), now)
		}
		// The verdicts leave with the next presence of the control VM.
		time.Sleep(exchangeInterval / 2)
		now = time.Now()
		verdicts := table.Verdicts(now)
		for _, f := range x.fleets {
			f.TakeFindings(verdicts, now)
		}
	}
}

// slownessExchange passes the slowness of targets between the VMs of one data centre as a
// control VM does, until a time.
type slownessExchange struct {
	vms      []*siteVM
	interval time.Duration
	until    time.Time
	// reports counts those of entry VMs that were not empty, sent the messages that were passed
	// on, and entries the targets in these.
	reports, entries, sent int
}

func (x *slownessExchange) run() {
	table := health.NewSlownessTable()
	for time.Now().Before(x.until) {
		time.Sleep(x.interval)
		for _, v := range x.vms {
			now := time.Now()
			if list := v.fleet.SlownessReports(now); len(list) > 0 {
				x.reports++
				table.Add(list, now)
			}
		}
		time.Sleep(x.interval / 2)
		changes := table.Take(time.Now())
		if len(changes) == 0 {
			continue
		}
		x.sent++
		x.entries += len(changes)
		time.Sleep(2 * localLink)
		for _, v := range x.vms {
			v.fleet.TakeSlowness(changes, time.Now())
		}
	}
}

// startExchange passes findings and slowness between the VMs of a site until a time.
func (r *siteRun) startExchange(until time.Time) {
	x := &findingExchange{}
	byCentre := make(map[string][]*siteVM)
	for _, v := range r.vms {
		x.fleets = append(x.fleets, v.fleet)
		byCentre[v.centre] = append(byCentre[v.centre], v)
	}
	go x.run()
	if r.site.sharing == 0 {
		return
	}
	for _, vms := range byCentre {
		e := &slownessExchange{vms: vms, interval: r.site.sharing, until: until}
		r.exchanges = append(r.exchanges, e)
		go e.run()
	}
}
