package placement

import "time"

const (
	// ConnectTime is the time of a target for a new connection, beside the handshake.
	ConnectTime = 6 * time.Millisecond
	// assumedIdleTimeout is the time for which a connection is taken to stay open after a
	// request if this side does not limit it. Targets state theirs, mostly 5 to 15 s.
	assumedIdleTimeout = 5 * time.Second
	// secondIdleTimeout is how long an idle connection is kept to the second choice of a
	// VM, when connections are scarce. Hedges of one VM to it are several seconds apart.
	secondIdleTimeout = 8 * time.Second
	// secondShare is the largest part of a target's connection limit that the first and
	// the second choices of all VMs may take together.
	secondShare = 0.85
)

// secondChoice returns the remote target to which this VM keeps a connection beside the
// ones in its own data centre or the preferred remote one: that with the highest rank of
// the others, so that the VMs are spread over them. The caller holds f.mu.
func (f *Fleet) secondChoice(g *group) *Target {
	preferred := f.preferredRemote(g)
	var best *Target
	for _, t := range g.targets {
		if t == preferred || t.instance.DataCentre() == f.ownCentre || !f.stays(t) {
			continue
		}
		if best == nil || t.rank > best.rank {
			best = t
		}
	}
	return best
}

// mayKeepSecond reports whether the targets of a service accept a connection of each VM to
// two of them. The caller holds f.mu.
func (f *Fleet) mayKeepSecond(g *group) bool {
	usable := 0
	for _, t := range g.targets {
		if f.stays(t) {
			usable++
		}
	}
	return float64(2*f.entryVMs) <= secondShare*float64(g.declared.MaxConnections()*usable)
}

// recordOpen records that a connection to the target was released and may be used again
// until its idle timeout.
func (t *Target) recordOpen(idleTimeout time.Duration, now time.Time) {
	if idleTimeout <= 0 {
		idleTimeout = assumedIdleTimeout
	}
	if until := now.Add(idleTimeout); until.After(t.openUntil) {
		t.openUntil = until
	}
}

// connectCost returns the time that a request to a target in another data centre needs for
// a new connection, 0 if one is probably open. The caller holds f.mu.
func (f *Fleet) connectCost(t *Target, now time.Time) time.Duration {
	if now.Before(t.openUntil) {
		return 0
	}
	link, _ := f.linkTime(t)
	return link + ConnectTime
}
