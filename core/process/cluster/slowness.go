package cluster

import (
	"context"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/health"
)

const (
	// slownessInterval is the time between two messages of an entry VM, and of a control
	// VM, with the slowness of targets. With 100 ms the gain is half as large.
	slownessInterval = 50 * time.Millisecond
	// idleSlownessInterval is the time between two checks of an entry VM that has had
	// nothing to report for slownessMemory.
	idleSlownessInterval = 400 * time.Millisecond
	slownessMemory       = 10 * time.Second
	// maxSlownessSends is the number of messages a second that a control VM sends at most
	// with the slowness of targets. Its interval grows with the number of receivers.
	maxSlownessSends = 1000
	// maxSlownessInterval is the interval beyond which nothing is sent: the slowness would
	// be too old to help.
	maxSlownessInterval = 300 * time.Millisecond
)

// SlownessSource is the part of an entry VM that holds the slowness of targets.
// SlownessReports returns what has changed since the last call, and TakeSlowness applies
// what other VMs of the data centre reported.
type SlownessSource interface {
	SlownessReports(now time.Time) []discovery.Slowness
	TakeSlowness(list []discovery.Slowness, now time.Time)
}

// slownessState is the part of a cluster that shares the slowness of targets between the
// entry VMs of a data centre. It is guarded by Cluster.mu.
type slownessState struct {
	source SlownessSource
	// table and receivers are used on control VMs only. receivers has the sessions on which
	// a slowness was received.
	table     *health.SlownessTable
	receivers map[*session.Session]bool
	// sentAt is when a control VM last sent a slowness.
	sentAt time.Time
}

func newSlownessState() slownessState {
	return slownessState{table: health.NewSlownessTable(), receivers: make(map[*session.Session]bool)}
}

// SetSlownessSource makes an entry VM share the slowness of targets with the other ones of
// its data centre. It is called before Run.
func (c *Cluster) SetSlownessSource(source SlownessSource) { c.slowness.source = source }

// slownessLoop shares the slowness of targets.
type slownessLoop struct{ cluster *Cluster }

func (l *slownessLoop) run(ctx context.Context) {
	timer := time.NewTimer(slownessInterval)
	defer timer.Stop()
	var activeAt time.Time
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		if l.cluster.shareSlowness(now) {
			activeAt = now
		}
		if now.Sub(activeAt) > slownessMemory {
			timer.Reset(idleSlownessInterval)
		} else {
			timer.Reset(slownessInterval)
		}
	}
}

// shareSlowness sends what is new, and reports whether there was anything.
func (c *Cluster) shareSlowness(now time.Time) bool {
	if c.control != nil {
		return c.sendSlowness(now)
	}
	return c.reportSlowness(now)
}

// reportSlowness sends what this entry VM learned to a control VM of its data centre. It is
// dropped if there is none.
func (c *Cluster) reportSlowness(now time.Time) bool {
	list := c.slowness.source.SlownessReports(now)
	if len(list) == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.slownessRelay(now); s != nil {
		s.Send(peer.Encode(peer.NewTargetSlowness(list)))
	}
	return true
}

// slownessRelay returns the session to the live control VM of the own data centre that has
// the lowest address, so that all entry VMs choose the same, or nil. The caller holds mu.
func (c *Cluster) slownessRelay(now time.Time) *session.Session {
	var best *session.Session
	lowest := ""
	for s, r := range c.sessions {
		address := r.presence.Address()
		if address == "" || !r.alive(now) || r.presence.DataCentre() != c.self.dataCentre {
			continue
		}
		if best == nil || address < lowest {
			best = s
			lowest = address
		}
	}
	return best
}

// receiveSlowness adds what an entry VM of the own data centre reports, or passes what a
// control VM sends to the source of this entry VM.
func (c *Cluster) receiveSlowness(s *session.Session, m peer.TargetSlowness, now time.Time) {
	if c.control == nil {
		if c.slowness.source != nil {
			c.slowness.source.TakeSlowness(m.List(), now)
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.sessions[s]; r == nil || !r.identified || r.presence.Address() != "" || r.presence.DataCentre() != c.self.dataCentre {
		return
	}
	c.slowness.receivers[s] = true
	c.slowness.table.Add(m.List(), now)
}

// sendSlowness sends what is new to the entry VMs that report themselves, unless the last
// message is too recent for their number. Earlier versions don't report, and close the
// session at a message that they don't know.
func (c *Cluster) sendSlowness(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.slowness.receivers {
		if c.sessions[s] == nil {
			delete(c.slowness.receivers, s)
		}
	}
	interval := time.Duration(len(c.slowness.receivers)) * time.Second / maxSlownessSends
	if now.Sub(c.slowness.sentAt) < interval {
		return true
	}
	list := c.slowness.table.Take(now)
	if len(list) == 0 || interval > maxSlownessInterval {
		return false
	}
	c.slowness.sentAt = now
	payload := peer.Encode(peer.NewTargetSlowness(list))
	for s := range c.slowness.receivers {
		s.Send(payload)
	}
	return true
}
