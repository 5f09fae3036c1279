// Package discovery holds the instances of targets that a list from outside
// names: where each is, and whether it is about to leave.
package discovery

import (
	"net/netip"
	"sort"
	"time"
)

// Instance is one start of a target.
type Instance struct {
	id         string
	service    string
	address    string
	dataCentre string
	slots      int
	leaving    bool
	coldFor    time.Duration
}

// ValidAddress reports whether an address is an IP number and a port.
func ValidAddress(address string) bool {
	_, err := netip.ParseAddrPort(address)
	return err == nil
}

// NewInstance returns an instance that is ready, at an IP number and port.
func NewInstance(id, service, address, dataCentre string, slots int) Instance {
	return Instance{id: id, service: service, address: address, dataCentre: dataCentre, slots: slots}
}

// WithLeaving returns the instance as one that leaves or not.
func (i Instance) WithLeaving(leaving bool) Instance {
	i.leaving = leaving
	return i
}

// WithColdFor returns the instance with the time for which it stays cold.
func (i Instance) WithColdFor(d time.Duration) Instance {
	i.coldFor = d
	return i
}

// ID names this start of the target.
func (i Instance) ID() string { return i.id }

// Service returns the name of the service.
func (i Instance) Service() string { return i.service }

// Address returns the IP number and port.
func (i Instance) Address() string { return i.address }

// DataCentre returns the data centre.
func (i Instance) DataCentre() string { return i.dataCentre }

// Slots returns the requests that run at the same time, 0 where not known.
func (i Instance) Slots() int { return i.slots }

// Leaving reports whether the instance is about to leave.
func (i Instance) Leaving() bool { return i.leaving }

// ColdFor returns how much longer the instance stays cold.
func (i Instance) ColdFor() time.Duration { return i.coldFor }

// List is what a reading of the list gave, sorted by id.
type List struct {
	instances      []Instance
	sequenceNumber uint64
	readAt         time.Time
}

// NewList returns the instances of a reading. Its number is one higher than
// that of any reading that was known when it began, so that a VM that was
// suspended in the middle of a reading does not pass it off as a late one.
func NewList(instances []Instance, sequenceNumber uint64, readAt time.Time) List {
	sorted := append([]Instance(nil), instances...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].id < sorted[j].id })
	return List{instances: sorted, sequenceNumber: sequenceNumber, readAt: readAt}
}

// Instances returns the instances, sorted by id.
func (l List) Instances() []Instance { return l.instances }

// SequenceNumber orders the readings of all VMs.
func (l List) SequenceNumber() uint64 { return l.sequenceNumber }

// Newer reports whether the list comes after another one.
func (l List) Newer(other List) bool { return l.sequenceNumber > other.sequenceNumber }

// ReadAt returns when the reading began, on the clock of this process.
func (l List) ReadAt() time.Time { return l.readAt }

// Empty reports whether no reading has been made.
func (l List) Empty() bool { return l.sequenceNumber == 0 }

// Difference is what turns one list into another.
type Difference struct {
	changed []Instance
	removed []string
}

// NewDifference returns a difference of changed or new instances and the ids
// of those that are gone.
func NewDifference(changed []Instance, removed []string) Difference {
	return Difference{changed: changed, removed: removed}
}

// Changed returns the instances that are new or have changed.
func (d Difference) Changed() []Instance { return d.changed }

// Removed returns the ids of instances that are gone.
func (d Difference) Removed() []string { return d.removed }

// Empty reports whether the difference changes nothing.
func (d Difference) Empty() bool { return len(d.changed) == 0 && len(d.removed) == 0 }

// Compare returns what turns one list into the other. The time for which an
// instance stays cold runs down by itself and counts only as being cold or not.
func Compare(from, to List) Difference {
	var d Difference
	i := 0
	for _, next := range to.instances {
		for i < len(from.instances) && from.instances[i].id < next.id {
			d.removed = append(d.removed, from.instances[i].id)
			i++
		}
		if i == len(from.instances) || from.instances[i].id != next.id {
			d.changed = append(d.changed, next)
			continue
		}
		if !equalIgnoringColdTime(from.instances[i], next) {
			d.changed = append(d.changed, next)
		}
		i++
	}
	for ; i < len(from.instances); i++ {
		d.removed = append(d.removed, from.instances[i].id)
	}
	return d
}

func equalIgnoringColdTime(a, b Instance) bool {
	sameColdness := (a.coldFor > 0) == (b.coldFor > 0)
	a.coldFor = b.coldFor
	return sameColdness && a == b
}

// Apply returns the list after a difference, as a reading of a number and time.
func (l List) Apply(d Difference, sequenceNumber uint64, readAt time.Time) List {
	replaced := make(map[string]bool, len(d.removed)+len(d.changed))
	for _, id := range d.removed {
		replaced[id] = true
	}
	for _, i := range d.changed {
		replaced[i.id] = true
	}
	var out []Instance
	for _, i := range l.instances {
		if !replaced[i.id] {
			out = append(out, i)
		}
	}
	return NewList(append(out, d.changed...), sequenceNumber, readAt)
}

// HealthFinding is what the requests of a VM showed of a target.
type HealthFinding struct {
	id        string
	unhealthy bool
	age       time.Duration
}

// NewHealthFinding returns a finding of an age: whether the target is slow, fails or
// is silent, or answers well again.
func NewHealthFinding(id string, unhealthy bool, age time.Duration) HealthFinding {
	return HealthFinding{id: id, unhealthy: unhealthy, age: age}
}

// ID names the start of the target.
func (f HealthFinding) ID() string { return f.id }

// Unhealthy reports whether the target is slow, fails or is silent.
func (f HealthFinding) Unhealthy() bool { return f.unhealthy }

// Age returns how long ago the target showed it.
func (f HealthFinding) Age() time.Duration { return f.age }
