package cluster

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

const (
	// lateInterval is the time between two messages of an entry VM with late responses.
	lateInterval = 100 * time.Millisecond
	// findingsInterval is the time between two checks of a control VM whether another
	// set of targets is unhealthy, which it sends without waiting for the next presence.
	findingsInterval = 100 * time.Millisecond
)

// FindingSource is the part of an entry VM that holds findings on the health of
// targets. Findings returns those from recent requests of this VM and LateResponses
// its late responses since the last call, to be sent to the control VMs. TakeFindings
// applies those that a control VM combined from what all entry VMs sent.
type FindingSource interface {
	Findings(now time.Time) []discovery.HealthFinding
	LateResponses(now time.Time) []discovery.LateResponse
	TakeFindings(findings []discovery.HealthFinding, now time.Time)
}

// SetFindingSource makes an entry VM share its findings with the control VMs. It
// is called before Run.
func (c *Cluster) SetFindingSource(source FindingSource) { c.findingSource = source }

// receiveFindings processes the findings of a presence. A control VM adds them to
// the health of each target; an entry VM passes them to its FindingSource.
func (c *Cluster) receiveFindings(p peer.Presence, now time.Time) {
	if len(p.Findings()) == 0 {
		return
	}
	if c.control == nil {
		if c.findingSource != nil {
			c.findingSource.TakeFindings(p.Findings(), now)
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.health.AddFindings(p.Findings(), now)
}

// receiveLate adds the late responses of an entry VM. Entry VMs receive none.
func (c *Cluster) receiveLate(l peer.LateResponses, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.health.AddLate(l.List(), now)
}

// lateLoop sends the late responses of an entry VM to the control VMs.
type lateLoop struct{ cluster *Cluster }

func (l *lateLoop) run(ctx context.Context) {
	ticker := time.NewTicker(lateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.cluster.sendLate(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// sendLate sends the late responses since the last call on every session.
func (c *Cluster) sendLate(now time.Time) {
	late := c.findingSource.LateResponses(now)
	if len(late) == 0 {
		return
	}
	payload := peer.Encode(peer.NewLateResponses(late))
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.sessions {
		s.Send(payload)
	}
}

// findingsLoop sends the findings of a control VM as soon as they change.
type findingsLoop struct{ cluster *Cluster }

func (l *findingsLoop) run(ctx context.Context) {
	ticker := time.NewTicker(findingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.cluster.sendChangedFindings(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// sendChangedFindings sends the findings to the VMs that get them if the set of unhealthy
// targets has changed since they were last sent.
func (c *Cluster) sendChangedFindings(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdicts := c.health.Verdicts(now)
	if !c.recordUnhealthy(verdicts) {
		return
	}
	o := newOutgoingPresence(c.presence(now).WithFindings(verdicts))
	served := c.servedCentres(now)
	for s, r := range c.sessions {
		// The presence refers to the target list, whose changes are sent first.
		if r.identified && c.sharesFindingsWith(r, served) && c.sendList(s, r, now) {
			o.send(s, r, false)
		}
	}
}

// maxLoggedTargets bounds the ids of targets in one log line.
const maxLoggedTargets = 8

// recordUnhealthy records which targets are unhealthy in findings that are about to be
// sent. It reports whether they are others than in those sent before, and logs which. The
// caller holds mu.
func (c *Cluster) recordUnhealthy(findings []discovery.HealthFinding) bool {
	unhealthy := unhealthyIDs(findings)
	if maps.Equal(unhealthy, c.sentUnhealthy) {
		return false
	}
	added := missingIDs(unhealthy, c.sentUnhealthy)
	removed := missingIDs(c.sentUnhealthy, unhealthy)
	c.log.Info("unhealthy targets changed", zap.Int("unhealthy", len(unhealthy)), zap.Int("added", len(added)), zap.Int("removed", len(removed)),
		zap.Strings("added-ids", added[:min(len(added), maxLoggedTargets)]), zap.Strings("removed-ids", removed[:min(len(removed), maxLoggedTargets)]))
	c.sentUnhealthy = unhealthy
	return true
}

// missingIDs returns the ids of a set that are not in another, sorted.
func missingIDs(ids, other map[string]bool) []string {
	var out []string
	for id := range ids {
		if !other[id] {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// unhealthyIDs returns the ids of the targets that are unhealthy.
func unhealthyIDs(findings []discovery.HealthFinding) map[string]bool {
	ids := make(map[string]bool)
	for _, f := range findings {
		if f.Unhealthy() {
			ids[f.ID()] = true
		}
	}
	return ids
}

// sharesFindingsWith reports whether this control VM sends findings to a peer: to the
// entry VMs of its own data centre and, from the leader, to those of data centres that have
// no control VM of their own, which are not in servedCentres. All entry VMs report to all control
// VMs, so that each of them knows the same unless it is partitioned from some.
func (c *Cluster) sharesFindingsWith(r *peerState, servedCentres map[string]bool) bool {
	if r.presence.Address() != "" {
		return false
	}
	return r.presence.DataCentre() == c.self.dataCentre || c.control.Status().Leads() && !servedCentres[r.presence.DataCentre()]
}

// servedCentres returns the data centres from which another live control VM has a
// session to this one. The caller holds mu.
func (c *Cluster) servedCentres(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for _, r := range c.sessions {
		if r.alive(now) && r.presence.Address() != "" {
			out[r.presence.DataCentre()] = true
		}
	}
	return out
}
