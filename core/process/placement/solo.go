package placement

import "time"

// soloTrialInterval is the time after which a VM sends a trial request to a target that
// only this VM found slow.
const soloTrialInterval = time.Second

// slowForThisVMOnly reports whether responses to this VM were slow, but neither failed nor
// led to a finding of all VMs. Two slow responses may be due to queues at the target or to
// this VM. The other VMs then use the target without a finding that it is healthy, and this
// VM would send to other data centres for ownTrialInterval, which is 18 s with 79 VMs.
func (t *Target) slowForThisVMOnly(now time.Time) bool {
	return t.slowdown > slowThreshold && t.consecutiveFailures == 0 && t.errorRate <= errorRateThreshold && !t.reportedUnhealthy(now)
}
