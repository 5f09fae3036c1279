// Package discovery holds the list of target instances that an external source
// provides: the address of each instance and whether it is about to shut down.
// It also defines the findings on the health of instances that VMs exchange.
package discovery

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Instance is one run of a target; a restart yields a new instance. An instance
// is cold while it has not warmed up yet.
type Instance struct {
	id         string
	service    string
	address    string
	dataCentre string
	slots      int
	leaving    bool
	coldFor    time.Duration
	version    string
}

// ValidAddress reports whether the address has the form IP:port, with a port that a
// target can listen on.
func ValidAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0
}

// NewInstance returns an instance that is neither leaving nor cold. The address
// has the form IP:port; slots is the number of requests that the instance runs
// concurrently, 0 if unknown.
func NewInstance(id, service, address, dataCentre string, slots int) Instance {
	return Instance{id: id, service: service, address: address, dataCentre: dataCentre, slots: slots}
}

// WithLeaving returns a copy of the instance that is marked as about to shut
// down, or not.
func (i Instance) WithLeaving(leaving bool) Instance {
	i.leaving = leaving
	return i
}

// WithColdFor returns a copy of the instance that stays cold for d from the
// time at which the list was read.
func (i Instance) WithColdFor(d time.Duration) Instance {
	i.coldFor = d
	return i
}

// WithVersion returns a copy of the instance that runs a version of the service's software.
func (i Instance) WithVersion(version string) Instance {
	i.version = version
	return i
}

// Version returns the version of the service's software, empty if the list has none.
func (i Instance) Version() string { return i.version }

// ID returns the id of the instance, which changes when the target restarts.
func (i Instance) ID() string { return i.id }

// Service returns the name of the service that the instance belongs to.
func (i Instance) Service() string { return i.service }

// Address returns the address in the form IP:port.
func (i Instance) Address() string { return i.address }

// DataCentre returns the name of the data centre that the instance runs in.
func (i Instance) DataCentre() string { return i.dataCentre }

// Slots returns the number of requests that the instance runs concurrently, 0
// if unknown.
func (i Instance) Slots() int { return i.slots }

// Leaving reports whether the instance is about to shut down.
func (i Instance) Leaving() bool { return i.leaving }

// ColdFor returns how long the instance stays cold from the time at which the
// list was read, 0 if it is not cold.
func (i Instance) ColdFor() time.Duration { return i.coldFor }

// List is the result of one read of the external list, sorted by instance id and service.
type List struct {
	instances      []Instance
	sequenceNumber uint64
	readAt         time.Time
}

// NewList returns the list of instances that a read yielded. Of those with the same id and
// service it has one, in whatever order they come: one that is leaving, if there is one, since
// requests to a target that ends are lost. Of those with the same id and several services,
// Select chooses one. The sequence number must be one higher than the highest
// that this VM knew when the read began. A VM that was suspended during a read therefore
// cannot present its outdated result as the newest.
func NewList(instances []Instance, sequenceNumber uint64, readAt time.Time) List {
	sorted := append([]Instance(nil), instances...)
	slices.SortFunc(sorted, Instance.compare)
	sorted = slices.CompactFunc(sorted, func(a, b Instance) bool { return a.id == b.id && a.service == b.service })
	return List{instances: sorted, sequenceNumber: sequenceNumber, readAt: readAt}
}

// compare orders instances by id and service. Of those with the same ones, the preferred
// one comes first.
func (i Instance) compare(other Instance) int {
	return cmp.Or(strings.Compare(i.id, other.id), strings.Compare(i.service, other.service), i.comparePreference(other))
}

// comparePreference orders instances with one id. One that is leaving comes first. The rest of
// the order only makes all VMs choose the same one.
func (i Instance) comparePreference(other Instance) int {
	switch {
	case i.leaving && !other.leaving:
		return -1
	case !i.leaving && other.leaving:
		return 1
	}
	return cmp.Or(strings.Compare(i.address, other.address), strings.Compare(i.service, other.service),
		strings.Compare(i.dataCentre, other.dataCentre), strings.Compare(i.version, other.version),
		cmp.Compare(i.slots, other.slots), cmp.Compare(i.coldFor, other.coldFor))
}

// Instances returns all instances, sorted by id and service. An id has more than one if
// another writer has added an entry with the id of a target.
func (l List) Instances() []Instance { return l.instances }

// Select returns one instance for each id, sorted by id. Of several it is one of a service that
// is declared, if there is one: an entry of any other service names no target, and must not
// take the place of one that does.
func (l List) Select(declared func(service string) bool) []Instance {
	selected := make([]Instance, 0, len(l.instances))
	for entries := range l.byID {
		selected = append(selected, preferred(entries, declared))
	}
	return selected
}

// SelectAmbiguous is Select for the ids that have several instances.
func (l List) SelectAmbiguous(declared func(service string) bool) []Instance {
	var selected []Instance
	for entries := range l.byID {
		if len(entries) > 1 {
			selected = append(selected, preferred(entries, declared))
		}
	}
	return selected
}

// AmbiguousIDs returns the number of ids that have several instances.
func (l List) AmbiguousIDs() int {
	n := 0
	for entries := range l.byID {
		if len(entries) > 1 {
			n++
		}
	}
	return n
}

// byID yields the instances of each id.
func (l List) byID(yield func(entries []Instance) bool) {
	for start := 0; start < len(l.instances); {
		end := l.endOfID(start)
		if !yield(l.instances[start:end]) {
			return
		}
		start = end
	}
}

// endOfID returns the position after the instances that have the id of the one at start.
func (l List) endOfID(start int) int {
	end := start + 1
	for end < len(l.instances) && l.instances[end].id == l.instances[start].id {
		end++
	}
	return end
}

// preferred returns the instance to use of those with one id.
func preferred(entries []Instance, declared func(service string) bool) Instance {
	best := entries[0]
	for _, i := range entries[1:] {
		isDeclared, bestDeclared := declared(i.service), declared(best.service)
		if isDeclared && !bestDeclared || isDeclared == bestDeclared && i.comparePreference(best) < 0 {
			best = i
		}
	}
	return best
}

// SequenceNumber returns the number that orders the reads of all VMs.
func (l List) SequenceNumber() uint64 { return l.sequenceNumber }

// Newer reports whether the list has a higher sequence number than other.
func (l List) Newer(other List) bool { return l.sequenceNumber > other.sequenceNumber }

// ReadAt returns when the read began, by the clock of this process.
func (l List) ReadAt() time.Time { return l.readAt }

// Empty reports whether no read has produced the list. A list that was read
// without finding any instance is not empty in this sense.
func (l List) Empty() bool { return l.sequenceNumber == 0 }

// Difference holds the changes that turn one list into another.
type Difference struct {
	changed []Instance
	removed []string
}

// NewDifference returns a difference that adds or replaces the changed
// instances and removes those with the given ids.
func NewDifference(changed []Instance, removed []string) Difference {
	return Difference{changed: changed, removed: removed}
}

// Changed returns the instances that are new or have changed.
func (d Difference) Changed() []Instance { return d.changed }

// Removed returns the ids of the instances that are no longer in the list.
func (d Difference) Removed() []string { return d.removed }

// Empty reports whether the difference contains no changes.
func (d Difference) Empty() bool { return len(d.changed) == 0 && len(d.removed) == 0 }

// Compare returns the difference that turns the list from into the list to. The
// remaining cold time decreases on its own, so only a switch between cold and
// not cold counts as a change. If one of several instances with one id has changed, all of
// them count as changed.
func Compare(from, to List) Difference {
	var d Difference
	i := 0
	for next := range to.byID {
		for i < len(from.instances) && from.instances[i].id < next[0].id {
			d.removed = append(d.removed, from.instances[i].id)
			i = from.endOfID(i)
		}
		var previous []Instance
		if i < len(from.instances) && from.instances[i].id == next[0].id {
			end := from.endOfID(i)
			previous = from.instances[i:end]
			i = end
		}
		if !slices.EqualFunc(previous, next, equalIgnoringColdTime) {
			d.changed = append(d.changed, next...)
		}
	}
	for i < len(from.instances) {
		d.removed = append(d.removed, from.instances[i].id)
		i = from.endOfID(i)
	}
	return d
}

// equalIgnoringColdTime reports whether two instances are equal apart from the
// length of a remaining cold time.
func equalIgnoringColdTime(a, b Instance) bool {
	sameColdness := (a.coldFor > 0) == (b.coldFor > 0)
	a.coldFor = b.coldFor
	return sameColdness && a == b
}

// Apply returns the list that results from applying the difference. The
// sequence number and readAt are those of the read that yielded the resulting
// list.
func (l List) Apply(d Difference, sequenceNumber uint64, readAt time.Time) List {
	dropped := make(map[string]bool, len(d.removed)+len(d.changed))
	for _, id := range d.removed {
		dropped[id] = true
	}
	for _, i := range d.changed {
		dropped[i.id] = true
	}
	var out []Instance
	for _, i := range l.instances {
		if !dropped[i.id] {
			out = append(out, i)
		}
	}
	return NewList(append(out, d.changed...), sequenceNumber, readAt)
}

// HealthFinding is what the requests of one VM have shown about the health of a
// target instance.
type HealthFinding struct {
	id        string
	unhealthy bool
	age       time.Duration
}

// NewHealthFinding returns a finding of the given age about an instance. The
// value unhealthy is true if the instance was slow, failed or did not respond,
// and false if it responds normally again.
func NewHealthFinding(id string, unhealthy bool, age time.Duration) HealthFinding {
	return HealthFinding{id: id, unhealthy: unhealthy, age: age}
}

// ID returns the id of the instance.
func (f HealthFinding) ID() string { return f.id }

// Unhealthy reports whether the instance was slow, failed or did not respond.
func (f HealthFinding) Unhealthy() bool { return f.unhealthy }

// Age returns how long ago the finding was made.
func (f HealthFinding) Age() time.Duration { return f.age }

// LateResponse is a response of a target instance that took much longer than usual.
// One alone may be due to a pause of the target or to a request with more work.
type LateResponse struct {
	id       string
	age      time.Duration
	interval time.Duration
}

// NewLateResponse returns a late response that arrived the given time ago. The
// interval is the expected mean time between two responses of the instance to all VMs
// together.
func NewLateResponse(id string, age, interval time.Duration) LateResponse {
	return LateResponse{id: id, age: age, interval: interval}
}

// ID returns the id of the instance.
func (r LateResponse) ID() string { return r.id }

// Age returns how long ago the response arrived.
func (r LateResponse) Age() time.Duration { return r.age }

// Interval returns the expected mean time between two responses of the instance to
// all VMs together.
func (r LateResponse) Interval() time.Duration { return r.interval }
