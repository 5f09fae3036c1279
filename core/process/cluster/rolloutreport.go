package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
)

const (
	// reportInterval is the time between two reports of an entry VM while a rollout runs.
	reportInterval = 150 * time.Millisecond
	// reportAllEvery is the number of reports of which one goes to all control VMs, so
	// that the next leader has counts, and the others to the leader.
	reportAllEvery = 4
	// leaderSilence is the time without grants after which all reports go to all control
	// VMs.
	leaderSilence = 500 * time.Millisecond
)

// RolloutGate is the part of an entry VM that counts its requests for rollouts and applies
// the grants of the leader, which are valid until a time. TakeRolloutGrant reports whether
// the stage of the rollout has changed.
type RolloutGate interface {
	RolloutReports(now time.Time) []rollout.Report
	TakeRolloutGrant(grant rollout.Grant, until bootclock.Time, now time.Time) bool
}

// reporterState is what an entry VM knows of its reports and of the leader's grants.
type reporterState struct {
	number uint64
	// sentAt has when the reports were sent that may still be answered by valid grants.
	sentAt map[uint64]bootclock.Time
	// latest names the latest grants, which came on the session at grantedAt.
	latest    rollout.Confirmation
	session   *session.Session
	grantedAt bootclock.Time
}

// reportLoop sends the reports of an entry VM.
type reportLoop struct{ cluster *Cluster }

func (l *reportLoop) run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.cluster.sendRolloutReports(time.Now(), bootclock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// sendRolloutReports sends what this VM has counted of the rollouts that are running. It
// sends nothing if there is none.
func (c *Cluster) sendRolloutReports(now time.Time, bootNow bootclock.Time) {
	reports := c.rollouts.gate.RolloutReports(now)
	if len(reports) == 0 {
		return
	}
	r := &c.rollouts
	r.mu.Lock()
	state := &r.reporter
	state.number++
	state.sentAt[state.number] = bootNow
	for number, at := range state.sentAt {
		if bootNow.Sub(at) > r.bounds.GrantTTL(rollout.Test) {
			delete(state.sentAt, number)
		}
	}
	needsRelay := bootNow.Sub(state.grantedAt) > leaderSilence
	m := peer.NewRolloutReports(c.self.startID, state.number, state.latest, reports).WithNeedsRelay(needsRelay)
	only := state.session
	if state.number%reportAllEvery == 0 || needsRelay {
		only = nil
	}
	r.mu.Unlock()
	if c.control != nil {
		c.takeRolloutReports(c.self.vm, nil, m, bootNow)
	}
	payload := peer.Encode(m)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.sessions[only]; !open {
		only = nil
	}
	for s, r := range c.sessions {
		if r.presence.UnderstandsRollouts() && (only == nil || s == only) {
			s.Send(payload)
		}
	}
}

// receiveRolloutGrants applies grants of the leader unless they are older than the latest
// ones, or answer reports of another run of this VM or too old ones. A VM confirms another
// stage at once. The session is nil if this VM is the leader.
func (c *Cluster) receiveRolloutGrants(s *session.Session, m peer.RolloutGrants, now time.Time, bootNow bootclock.Time) {
	if m.VM() != "" && c.control != nil {
		c.passOn(m.VM(), m)
		return
	}
	if c.rollouts.gate == nil || m.StartID() != c.self.startID {
		return
	}
	r := &c.rollouts
	r.mu.Lock()
	state := &r.reporter
	sentAt, known := state.sentAt[m.Answers()]
	older := m.Term() < state.latest.Term || m.Term() == state.latest.Term && m.Number() < state.latest.Number
	if known && !older {
		state.latest = rollout.Confirmation{Term: m.Term(), Number: m.Number()}
		if m.VM() == "" {
			state.session = s
			state.grantedAt = bootNow
		}
	}
	r.mu.Unlock()
	if !known || older {
		return
	}
	changed := false
	for _, g := range m.Grants() {
		if !r.gate.TakeRolloutGrant(g, sentAt.Add(r.bounds.GrantTTL(g.Stage())), now) {
			continue
		}
		changed = true
		c.log.Info("rollout grant", zap.String("service", g.Service()), zap.Uint64("order", g.Order()), zap.Stringer("stage", g.Stage()), zap.Duration("age", bootNow.Sub(sentAt)))
	}
	if changed {
		c.sendRolloutReports(now, bootNow)
	}
}

// passOn sends grants to an entry VM that has no link to the leader.
func (c *Cluster) passOn(vm string, m peer.RolloutGrants) {
	c.mu.Lock()
	defer c.mu.Unlock()
	payload := peer.Encode(m)
	for s, r := range c.sessions {
		if r.identified && r.presence.VM() == vm && r.presence.Address() == "" {
			s.Send(payload)
		}
	}
}
