package placement

import "time"

const (
	// maxListDelay is how long a target list may be on its way between two VMs, which
	// is not part of the age that the receiver computes.
	maxListDelay = 2 * time.Second
	// departureMemory is how long the departure of a target is remembered after the
	// target was removed from the list.
	departureMemory = time.Minute
	// lastResortFraction is the fraction of the drain timeout for which a leaving
	// target is used if its service has no other one. The rest is for requests under
	// way.
	lastResortFraction = 0.75
)

// TargetTimes holds the times that the platform states for all targets.
type TargetTimes struct {
	listLag      time.Duration
	drainTimeout time.Duration
}

// NewTargetTimes returns times with the longest time by which the target list lags
// behind, and the time after the first sign that a target is leaving from which on it
// must get no requests.
func NewTargetTimes(listLag, drainTimeout time.Duration) TargetTimes {
	return TargetTimes{listLag: listLag, drainTimeout: drainTimeout}
}

// departure is what is known of the end of one run of a target. The zero value means
// that the run is not known to end.
type departure struct {
	// since is the time of the first sign that the run ends. earliest is a time before
	// which the run was certainly not known to end, so that the drain timeout has not
	// passed sooner than that after it.
	since    time.Time
	earliest time.Time
	// gone is set if another instance, or none, answers at the address.
	gone bool
}

// known reports whether the run is known to end.
func (d departure) known() bool { return !d.since.IsZero() }

// afterSign returns the departure after an answer of this run showed that it is leaving,
// or that it is gone.
func (d departure) afterSign(gone bool, now time.Time) departure {
	if !d.known() {
		d.since = now
		d.earliest = now
	}
	d.gone = d.gone || gone
	return d
}

// afterListing returns the departure after the target was read from the list, as leaving
// or not. A target that is not leaving there is a new run only if the list shows its state
// at a time after the first sign. The list shows a state that is listLag old at most, and
// the time of the read may be off by maxListDelay; an older list changes nothing. The
// read before, in which the target was not leaving, was at previousReadAt, which is zero
// if the target was not listed there.
func (d departure) afterListing(leaving bool, readAt, previousReadAt time.Time, times TargetTimes) departure {
	switch {
	case leaving && !d.known():
		return departure{since: readAt, earliest: previousReadAt}
	case leaving:
		d.since = earlier(d.since, readAt)
		d.earliest = earlier(d.earliest, previousReadAt)
		return d
	case !d.known() || !readAt.After(d.since.Add(times.listLag+maxListDelay)):
		return d
	}
	return departure{}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// usableAsLastResort reports whether the run may still get requests if the service has no
// target that stays.
func (d departure) usableAsLastResort(times TargetTimes, now time.Time) bool {
	return !d.gone && now.Before(d.earliest.Add(time.Duration(lastResortFraction*float64(times.drainTimeout))))
}

// departed is the departure of a target that was removed from the list.
type departed struct {
	departure departure
	address   string
	removedAt time.Time
}

// rememberDeparture keeps the departure of a target that is removed from the list: a
// list from a VM that has read it earlier may show the target once more. The caller
// holds f.mu.
func (f *Fleet) rememberDeparture(t *Target, now time.Time) {
	for id, d := range f.departed {
		if now.Sub(d.removedAt) > departureMemory {
			delete(f.departed, id)
		}
	}
	if t.departure.known() {
		f.departed[t.id] = departed{departure: t.departure, address: t.instance.Address(), removedAt: now}
	}
}

// recallDeparture returns the departure of a target that is listed again at the same
// address. The caller holds f.mu.
func (f *Fleet) recallDeparture(id, address string) departure {
	d, ok := f.departed[id]
	delete(f.departed, id)
	if !ok || d.address != address {
		return departure{}
	}
	return d.departure
}

// ConfirmTargets records that a list which was read at a time has the same targets, in the
// same states, as the last one.
func (f *Fleet) ConfirmTargets(readAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listReadAt = readAt
}

// HasDepartures reports whether a listed target is known to be leaving.
func (f *Fleet) HasDepartures() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.byID {
		if t.departure.known() {
			return true
		}
	}
	return false
}

// selectable reports whether the target may get requests as far as its run, its data
// centre and the time for which it wants none are concerned. The caller holds f.mu.
func (f *Fleet) selectable(t *Target, now time.Time) bool {
	return f.inService(t) && !t.waiting(now) && (!t.departure.known() || f.lastResort(t, now))
}

// inService reports whether the target is listed, of a version that may get requests, and
// its data centre in service and reachable. The caller holds f.mu.
func (f *Fleet) inService(t *Target) bool {
	return t.listed && t.group.admits(t) && f.centreUsable(t.instance.DataCentre())
}

// stays reports whether the target is in service and its run is not known to end. The caller
// holds f.mu.
func (f *Fleet) stays(t *Target) bool { return f.inService(t) && !t.departure.known() }

// lastResort reports whether a leaving target may still get requests, because every
// other target of its service is leaving, out of service or waiting. The caller holds
// f.mu.
func (f *Fleet) lastResort(t *Target, now time.Time) bool {
	if !t.departure.usableAsLastResort(f.times, now) {
		return false
	}
	for _, other := range t.group.targets {
		if f.stays(other) && !other.waiting(now) {
			return false
		}
	}
	return true
}

// Leaving records that an answer of the target showed that it is about to end. The sign
// counts only for the run to which the request was sent.
func (l *Lease) Leaving(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.recordDeparture(false, now)
}

// recordDeparture records a sign that the run which got the request ends. The caller holds
// l.fleet.mu.
func (l *Lease) recordDeparture(gone bool, now time.Time) {
	t := l.target
	if l.run != t.run {
		return
	}
	if !t.departure.known() {
		l.fleet.addChange(NewTargetChange(t.id, TargetLeaves, 0))
	}
	t.departure = t.departure.afterSign(gone, now)
}
