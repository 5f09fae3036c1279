package dispatch

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
)

// startExchange passes findings between the VMs of a site until a time.
func (r *siteRun) startExchange(time.Time) {
	x := &findingExchange{}
	for _, v := range r.vms {
		x.fleets = append(x.fleets, v.fleet)
	}
	go x.run()
}

// connected reports how long it took to connect to a target.
func (v *siteVM) connected(*siteTarget, time.Duration) { _ = placement.Limits{} }
