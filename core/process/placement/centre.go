package placement

import "time"

// unreachableThreshold is the value of centreReachability.unansweredSends from
// which a data centre may be considered unreachable.
const unreachableThreshold = 3

// centreReachability holds what is known about whether a data centre can be
// reached from this VM. It is guarded by Fleet.mu.
type centreReachability struct {
	// unansweredSends counts the sends that ended without a response or
	// connection. It is set to 0 by a successful response, by a connection that
	// a target resets because of its limit, and when messages from VMs in the
	// data centre arrive again.
	unansweredSends int
	// vmsAlive is true while messages arrive from a VM of this system in that
	// data centre.
	vmsAlive bool
}

// unreachable reports whether a data centre can't be reached: recent sends to
// its targets got no response and no messages arrive from the VMs of this
// system there. Either condition alone may be caused by the failure of a few
// machines. The VM's own data centre is never unreachable. The caller holds
// f.mu.
//
// The targets in an unreachable data centre get only trial requests. For
// example, when two of a service's three targets are in unreachable data
// centres, requests go to the third at once instead of waiting for the other
// two.
func (f *Fleet) unreachable(name string) bool {
	if name == f.ownCentre {
		return false
	}
	c := f.reachability[name]
	return c != nil && c.unansweredSends >= unreachableThreshold && !c.vmsAlive
}

// centreUsable reports whether a data centre is in service and reachable. The caller holds
// f.mu.
func (f *Fleet) centreUsable(name string) bool {
	return !f.outOfService[name] && !f.unreachable(name)
}

// reachabilityOf returns the reachability of a data centre and creates the
// entry on first use. The caller holds f.mu.
func (f *Fleet) reachabilityOf(name string) *centreReachability {
	c := f.reachability[name]
	if c == nil {
		c = &centreReachability{}
		f.reachability[name] = c
	}
	return c
}

// SetLiveCentres sets the data centres where at least one VM of this system is
// known to run because its messages arrive here. Every value in live must be
// true; data centres that are not live must be left out.
func (f *Fleet) SetLiveCentres(live map[string]bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, c := range f.reachability {
		if live[name] && !c.vmsAlive {
			// Messages from the data centre arrive again, so earlier unanswered
			// sends no longer indicate that it is unreachable.
			c.unansweredSends = 0
		}
		c.vmsAlive = false
	}
	for name := range live {
		f.reachabilityOf(name).vmsAlive = true
	}
	f.grantAllWaiting(now)
}

// UnreachableCentres returns the names of the data centres that can't be
// reached, in no particular order.
func (f *Fleet) UnreachableCentres() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name := range f.reachability {
		if f.unreachable(name) {
			out = append(out, name)
		}
	}
	return out
}
