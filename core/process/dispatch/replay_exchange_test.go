package dispatch

import "time"

// startExchange passes findings between the VMs of a site until a time.
func (r *siteRun) startExchange(time.Time) {
	x := &findingExchange{}
	for _, v := range r.vms {
		x.fleets = append(x.fleets, v.fleet)
	}
	go x.run()
}
