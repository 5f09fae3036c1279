// Package confirmation decides for how long a VM may rely on the routes that it has put in
// force. Keys of teams are taken away by a new revision of the routes, so a VM that does
// not receive it must stop to accept keys within a bounded time, even if it was frozen or
// suspended meanwhile. A proof from the control VMs, which expires, shows that no newer
// revision was acknowledged before a point in time. The package does no I/O.
package confirmation

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

const (
	// DefaultWithin is the time within which a key that was taken away stops to be
	// accepted, if the settings give none.
	DefaultWithin = 5 * time.Second
	// lifetimeFraction is the part of that time for which a proof is valid. The rest
	// covers clocks that run at slightly different rates.
	lifetimeFraction = 0.85
	// maxCertainAge is the age of a proof up to which an unknown key is refused for good.
	// It is below the time that a new configuration may take to reach all VMs, 4 s.
	maxCertainAge = 3 * time.Second
)

// Proof states that no revision above Revision was acknowledged before Since, a time of
// this VM's clock. The zero value states nothing.
type Proof struct {
	revision uint64
	since    bootclock.Time
}

// NewProof returns the proof that no higher revision was acknowledged before a time.
func NewProof(revision uint64, since bootclock.Time) Proof {
	return Proof{revision: revision, since: since}
}

// Revision returns the highest revision that may have been acknowledged before Since.
func (p Proof) Revision() uint64 { return p.revision }

// Since returns the time before which no higher revision was acknowledged.
func (p Proof) Since() bootclock.Time { return p.since }

// exists reports whether the proof states anything. Revisions start at 1.
func (p Proof) exists() bool { return p.revision > 0 }

// Holder holds the newest proof of a VM and decides what it allows. It is safe for
// concurrent use. Confirmed and Certain are called for each request and take no lock.
type Holder struct {
	// confirmedUntil and certainUntil are the times up to which Confirmed and Certain
	// are true.
	confirmedUntil atomic.Int64
	certainUntil   atomic.Int64

	mu       sync.Mutex
	lifetime time.Duration
	// inForce is the revision of the routes that this VM has put in force, newest the
	// highest revision that it knows to exist.
	inForce uint64
	newest  uint64
	// needed is true if the routes in force need a proof.
	needed bool
	// latest is the proof with the latest time, held the one with the latest time among
	// those that inForce satisfies.
	latest   Proof
	held     Proof
	schedule schedule
}

// NewHolder returns a holder without a proof, for routes that need none yet. The numbers of
// its questions start after the given one, which should be random, so that a reply to a
// question of an earlier process is not taken for one of this process.
func NewHolder(lastNumber uint64) *Holder {
	h := &Holder{schedule: schedule{number: lastNumber}}
	h.SetWithin(DefaultWithin)
	return h
}

// SetWithin sets the time within which a key that was taken away stops to be accepted.
func (h *Holder) SetWithin(within time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lifetime = time.Duration(lifetimeFraction * float64(within))
	h.publish()
}

// PutInForce records that this VM answers callers with the routes of a revision. It must be
// called after the routes were put in force. needed is true if they have teams, so that a
// proof is needed.
func (h *Holder) PutInForce(revision uint64, needed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.needed = needed
	h.inForce = max(h.inForce, revision)
	h.newest = max(h.newest, revision)
	h.hold(h.latest)
	h.publish()
}

// Learn records that a revision exists.
func (h *Holder) Learn(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision > h.newest {
		h.newest = revision
		h.publish()
	}
}

// AddProof takes a proof in, and reports whether it is later than the ones before.
func (h *Holder) AddProof(p Proof) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.add(p)
}

// add is AddProof. The caller holds mu.
func (h *Holder) add(p Proof) bool {
	if !p.exists() || h.latest.exists() && !h.latest.since.Before(p.since) {
		return false
	}
	h.latest = p
	h.newest = max(h.newest, p.revision)
	h.hold(p)
	h.publish()
	return true
}

// hold keeps a proof that the routes in force satisfy, if it is the latest of them. The
// caller holds mu.
func (h *Holder) hold(p Proof) {
	if !p.exists() || p.revision > h.inForce {
		return
	}
	if !h.held.exists() || h.held.since.Before(p.since) {
		h.held = p
	}
}

// publish updates what Confirmed and Certain read. The caller holds mu.
func (h *Holder) publish() {
	confirmed, certain := int64(math.MinInt64), int64(math.MinInt64)
	if h.held.exists() {
		confirmed = int64(h.held.since.Add(h.lifetime))
		if h.newest <= h.inForce {
			certain = int64(h.held.since.Add(min(h.lifetime, maxCertainAge)))
		}
	}
	h.certainUntil.Store(certain)
	h.confirmedUntil.Store(confirmed)
}

// Confirmed reports whether the routes in force hold every change that was acknowledged
// longer than the lifetime of a proof before now. A caller must read the routes that it
// uses after this call, since the proof may be one for routes that were put in force just
// before.
func (h *Holder) Confirmed(now bootclock.Time) bool { return int64(now) < h.confirmedUntil.Load() }

// Certain reports whether the routes in force are the newest as far as this VM knows, and
// hold every change that was acknowledged more than 3 s before now.
func (h *Holder) Certain(now bootclock.Time) bool { return int64(now) < h.certainUntil.Load() }

// Needed reports whether the routes in force need a proof.
func (h *Holder) Needed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.needed
}

// Latest returns the proof with the latest time, whether or not the routes in force
// satisfy it, and false if there is none.
func (h *Holder) Latest() (Proof, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latest, h.latest.exists()
}

// Status describes the state of a holder, for the log.
type Status struct {
	inForce uint64
	newest  uint64
	age     time.Duration
	held    bool
}

// Status returns the state at a time.
func (h *Holder) Status(now bootclock.Time) Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Status{inForce: h.inForce, newest: h.newest, held: h.held.exists()}
	if s.held {
		s.age = now.Sub(h.held.since)
	}
	return s
}

// InForce returns the revision of the routes in force.
func (s Status) InForce() uint64 { return s.inForce }

// Newest returns the highest revision that this VM knows to exist.
func (s Status) Newest() uint64 { return s.newest }

// Age returns the age of the proof that is held, and false if there is none.
func (s Status) Age() (time.Duration, bool) { return s.age, s.held }

// LostFor returns the time for which the routes in force have not been confirmed, 0 if they
// are confirmed or never were.
func (h *Holder) LostFor(now bootclock.Time) time.Duration {
	until := h.confirmedUntil.Load()
	if until == math.MinInt64 || int64(now) < until {
		return 0
	}
	return time.Duration(int64(now) - until)
}
