package placement

import "time"

// cutSilences is the number of requests in a row without any response from
// a data centre after which it may be cut off.
const unreachableThreshold = 3

// way is what is known of the way to a data centre. The fleet's lock guards
// it.
type centreReachability struct {
	// silences counts the sends without a response since the last one with.
	unansweredSends int
	// heard says that a VM of the system there is heard.
	vmsAlive bool
}

// cut reports whether a data centre can't be reached: its targets fall silent
// and no VM of the system is heard there. Either alone may be a fault of some
// machines. With a zone of which one of three targets is reachable, requests
// go to that one at once instead of waiting for the others.
func (f *Fleet) unreachable(name string) bool {
	if name == f.ownCentre {
		return false
	}
	c := f.reachability[name]
	return c != nil && c.unansweredSends >= unreachableThreshold && !c.vmsAlive
}

func (f *Fleet) reachabilityOf(name string) *centreReachability {
	c := f.reachability[name]
	if c == nil {
		c = &centreReachability{}
		f.reachability[name] = c
	}
	return c
}

// SetLiveCentres takes over in which data centres VMs of the system are heard.
func (f *Fleet) SetLiveCentres(live map[string]bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, c := range f.reachability {
		if live[name] && !c.vmsAlive {
			// What fell silent before the way came back says nothing now.
			c.unansweredSends = 0
		}
		c.vmsAlive = false
	}
	for name := range live {
		f.reachabilityOf(name).vmsAlive = true
	}
	f.grantAllWaiting(now)
}

// UnreachableCentres returns the data centres that can't be reached.
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
