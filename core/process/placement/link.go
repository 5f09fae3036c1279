package placement

import "time"

const (
	// initialCentreCost is the cost of a target in another data centre before the round
	// trip to it is known.
	initialCentreCost = 6 * time.Millisecond
	// centreSurcharge is the part of the cost of a target in another data centre that
	// stands for the price of the bytes between data centres. With it an installation
	// with links of 0.5 ms sends as much to other data centres as with a cost of 6 ms.
	centreSurcharge = 6 * time.Millisecond
	// minLinkTime and maxLinkTime bound the round trip that is assumed to another data
	// centre, beyond that in the own one.
	minLinkTime = 100 * time.Microsecond
	maxLinkTime = 50 * time.Millisecond
	// handshakePeriod is the time after which a shortest handshake is replaced by that of
	// the time since, so that a slower link is noticed after one to two periods.
	handshakePeriod = 20 * time.Second
)

// shortestHandshake holds the shortest TCP handshake with the targets of a data centre in
// the current period and in the one before, 0 if there was none. The shortest shows the
// round trip: the others also wait for the processors of both sides.
type shortestHandshake struct {
	current  time.Duration
	previous time.Duration
	since    time.Time
}

// add records the duration of a handshake.
func (h *shortestHandshake) add(took time.Duration, now time.Time) {
	if h.current == 0 || now.Sub(h.since) > handshakePeriod {
		h.previous = h.current
		h.current = took
		h.since = now
		return
	}
	h.current = min(h.current, took)
}

// duration returns the shortest handshake, or 0 if there was none.
func (h *shortestHandshake) duration() time.Duration {
	if h.previous > 0 {
		return min(h.current, h.previous)
	}
	return h.current
}

// linkTime returns the time that a response of a target takes longer because it is in
// another data centre, or false if that is not known yet. The caller holds f.mu.
func (f *Fleet) linkTime(t *Target) (time.Duration, bool) {
	return f.linkTimeTo(t.instance.DataCentre())
}

// linkTimeTo is linkTime for all targets of a data centre. The caller holds f.mu.
func (f *Fleet) linkTimeTo(centre string) (time.Duration, bool) {
	if centre == f.ownCentre {
		return 0, true
	}
	h := f.handshakes[centre]
	if h == nil {
		return 0, false
	}
	var own time.Duration
	if local := f.handshakes[f.ownCentre]; local != nil {
		own = local.duration()
	}
	return min(max(h.duration()-own, minLinkTime), maxLinkTime), true
}

// centreCost returns what is added to the expected time of a target in another data centre.
// The caller holds f.mu.
func (f *Fleet) centreCost(t *Target) time.Duration {
	if link, known := f.linkTime(t); known {
		return link + centreSurcharge
	}
	return initialCentreCost
}

// Connected records that the request is the first one on its connection, and how long the
// TCP handshake of that took. The handshake is not part of the target's
// response time: one to another data centre would show a normal target to be slow.
func (l *Lease) Connected(took time.Duration, now time.Time) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	centre := l.instance.DataCentre()
	if f.handshakes[centre] == nil {
		f.handshakes[centre] = &shortestHandshake{}
	}
	f.handshakes[centre].add(took, now)
	l.restart(now)
	if !l.overdueAt.IsZero() {
		l.overdueAt = l.overdueAt.Add(ConnectTime)
	}
}

// restart makes the response time count from now. The caller holds l.fleet.mu.
func (l *Lease) restart(now time.Time) {
	if !l.overdueAt.IsZero() {
		l.overdueAt = l.overdueAt.Add(now.Sub(l.sentAt))
	}
	l.sentAt = now
}

// OverdueAfter returns the time after which the response is overdue. usual is that time for
// a target in the own data centre whose machine is as fast as usual.
func (l *Lease) OverdueAfter(usual time.Duration) time.Duration {
	return l.link + time.Duration(float64(usual)*l.slowness)
}

// workTime returns a response time without the link to the target's data centre. The
// caller holds l.fleet.mu.
func (l *Lease) workTime(responseTime time.Duration) time.Duration {
	link, _ := l.fleet.linkTime(l.target)
	return max(responseTime-link, 0)
}

// LinkTimes returns the link times to the other data centres that are known.
func (f *Fleet) LinkTimes() map[string]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]time.Duration)
	for centre := range f.handshakes {
		if centre != f.ownCentre {
			out[centre], _ = f.linkTimeTo(centre)
		}
	}
	return out
}
