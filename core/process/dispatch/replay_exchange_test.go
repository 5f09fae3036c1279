package dispatch

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/health"
)

// slownessExchange passes the slowness of targets between the VMs of one data centre as a
// control VM does, until a time.
type slownessExchange struct {
	vms      []*siteVM
	interval time.Duration
	until    time.Time
	// messages counts the reports of entry VMs that were not empty, and entries the targets in
	// what was passed on.
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
		news := table.Take(time.Now())
		if len(news) == 0 {
			continue
		}
		x.sent++
		x.entries += len(news)
		time.Sleep(2 * localLink)
		for _, v := range x.vms {
			v.fleet.TakeSlowness(news, time.Now())
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
