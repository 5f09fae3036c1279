package placement

import "time"

// cutSilences is the number of requests in a row without any response from
// a data centre after which it may be cut off.
const cutSilences = 3

// way is what is known of the way to a data centre. The fleet's lock guards
// it.
type way struct {
	// silences counts the sends without a response since the last one with.
	silences int
	// heard says that a VM of the system there is heard.
	heard bool
}

// cut reports whether a data centre can't be reached: its targets fall silent
// and no VM of the system is heard there. Either alone may be a fault of some
// machines. With a zone of which one of three targets is reachable, requests
// go to that one at once instead of waiting for the others.
func (f *Fleet) cut(name string) bool {
	if name == f.centre {
		return false
	}
	c := f.centres[name]
	return c != nil && c.silences >= cutSilences && !c.heard
}

func (f *Fleet) wayTo(name string) *way {
	c := f.centres[name]
	if c == nil {
		c = &way{}
		f.centres[name] = c
	}
	return c
}

// SetLiveCentres takes over in which data centres VMs of the system are heard.
func (f *Fleet) SetLiveCentres(heard map[string]bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, c := range f.centres {
		if heard[name] && !c.heard {
			// What fell silent before the way came back says nothing now.
			c.silences = 0
		}
		c.heard = false
	}
	for name := range heard {
		f.wayTo(name).heard = true
	}
	f.handOverAll(now)
}

// UnreachableCentres returns the data centres that can't be reached.
func (f *Fleet) UnreachableCentres() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name := range f.centres {
		if f.cut(name) {
			out = append(out, name)
		}
	}
	return out
}
