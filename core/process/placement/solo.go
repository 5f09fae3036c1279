package placement

import "time"

// soloTrialInterval is the time after which a VM sends a trial request to a target that
// only this VM found slow.
const soloTrialInterval = time.Second

// slowForThisVMOnly reports whether responses to this VM were slow, but neither failed nor
// led to a finding of all VMs. Two slow responses may be due to queues at the target or to
// this VM. The other VMs then use the target and send no trial requests for this one, which
// would go to other data centres for the 18 s that 79 VMs have between two trials of one.
func (t *Target) slowForThisVMOnly(now time.Time) bool {
	return t.slowdown > slowThreshold && t.consecutiveFailures == 0 && t.errorRate <= errorRateThreshold && !t.reportedUnhealthy(now)
}
