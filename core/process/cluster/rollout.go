package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// rolloutStepInterval is the time between two steps of the leader.
	rolloutStepInterval = 100 * time.Millisecond
	// grantContactLimit is the greatest age of the leader's last contact with a quorum at
	// which it sends grants.
	grantContactLimit = time.Second
	// rolloutPeerTimeout is the time without a presence after which a rollout no longer
	// waits for an entry VM, whose grants have expired by then.
	rolloutPeerTimeout = 1500 * time.Millisecond
	// relayAfter is the time without reports on a VM's own session after which its grants
	// take the way on which its reports come.
	relayAfter = 400 * time.Millisecond
	// rolloutProposalTimeout bounds the wait for the outcome of a decision. A decision
	// without one is proposed again.
	rolloutProposalTimeout = time.Second
)

// rolloutRole holds the part of a process in rollouts. No other lock is taken while mu is
// held.
type rolloutRole struct {
	bounds rollout.Bounds
	// gate is nil on a VM that answers no callers.
	gate RolloutGate

	mu sync.Mutex
	// controller, reporters, stages and proposing are used on control VMs only. controller
	// is nil until the replica has caught up.
	controller *rollout.Controller
	// reporters has the entry VMs by name, and stages the latest stage by service.
	reporters map[string]rolloutReporter
	stages    map[string]rollout.Stage
	// proposing has the names of what was proposed to the log and has no outcome yet.
	proposing map[string]bool
	// reporter is used on VMs that answer callers.
	reporter reporterState
}

// rolloutReporter is an entry VM that has sent reports.
type rolloutReporter struct {
	startID string
	// session is that on which its reports come: its own, or that of a control VM which
	// passes them on if none came on its own for relayAfter. It is nil for this VM.
	session  *session.Session
	relayed  bool
	directAt bootclock.Time
	// number is that of its latest reports, and answered that of the latest ones that
	// were answered with grants.
	number, answered uint64
	grants           []rollout.Grant
}

// SetRollouts sets the bounds of rollouts and, on a VM that answers callers, what counts
// its requests. It is called before Run and before EnableControl.
func (c *Cluster) SetRollouts(bounds rollout.Bounds, gate RolloutGate) {
	c.rollouts.bounds = bounds
	c.rollouts.gate = gate
}

// newRolloutRole returns the role of a process with the default bounds.
func newRolloutRole() rolloutRole {
	return rolloutRole{
		bounds:    rollout.DefaultBounds(),
		reporters: make(map[string]rolloutReporter),
		stages:    make(map[string]rollout.Stage),
		proposing: make(map[string]bool),
		reporter:  reporterState{sentAt: make(map[uint64]bootclock.Time)},
	}
}

// HasTargets reports whether the target list of this VM has a target of a service.
func (c *Cluster) HasTargets(service string) bool { return len(c.listedVersions()[service]) > 0 }

// propose commits a command to the log if this VM is the leader. To the order of a rollout
// it adds what only the leader knows.
func (c *Cluster) propose(ctx context.Context, command replica.Command) (replica.Outcome, error) {
	order, isOrder := command.(replica.Order)
	inner := command
	if isOrder {
		inner = order.Command()
	}
	if start, ok := inner.(replica.StartRollout); ok {
		if !c.controlVMsUnderstandRollouts(time.Now()) {
			return nil, result.New(result.NoQuorum, "a control VM runs an earlier version of the program")
		}
		command = c.withLeaderView(start)
		if isOrder {
			command = order.WithCommand(command)
		}
	}
	return c.control.Propose(ctx, command)
}

// withLeaderView adds to the order of a rollout what only the leader knows.
func (c *Cluster) withLeaderView(start replica.StartRollout) replica.StartRollout {
	listed := c.listedVersions()[start.Service()]
	c.rollouts.mu.Lock()
	defer c.rollouts.mu.Unlock()
	renewed := c.rollouts.controller != nil && c.rollouts.controller.MayRepeat(start.Service(), bootclock.Now())
	return start.WithLeaderView(listed, renewed)
}

// listedVersions returns the versions of the targets in the list by service.
func (c *Cluster) listedVersions() map[string][]string {
	c.mu.Lock()
	list := c.list
	c.mu.Unlock()
	out := make(map[string][]string)
	for _, i := range list.Instances() {
		if !slices.Contains(out[i.Service()], i.Version()) {
			out[i.Service()] = append(out[i.Service()], i.Version())
		}
	}
	return out
}

// rolloutLoop follows the rollouts on a control VM and decides them while it leads.
type rolloutLoop struct{ cluster *Cluster }

func (l *rolloutLoop) run(ctx context.Context) {
	ticker := time.NewTicker(rolloutStepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.cluster.stepRollouts(ctx, time.Now(), bootclock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// stepRollouts observes the log, and advances the rollouts if this VM leads it.
func (c *Cluster) stepRollouts(ctx context.Context, now time.Time, bootNow bootclock.Time) {
	status := c.control.Status()
	if !status.CaughtUp() {
		return
	}
	vms := c.presentEntryVMs(now)
	// The clock is read after the status: a suspension in between must make the contact old.
	age, known := status.Leadership().QuorumAge(bootclock.Now())
	inContact := status.Leads() && known && age < grantContactLimit
	r := &c.rollouts
	r.mu.Lock()
	if r.controller == nil {
		r.controller = rollout.NewController(r.bounds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	}
	r.controller.Observe(status.Routes().Rollouts(), bootNow)
	r.controller.SetLeader(status.Leads(), status.Term(), bootNow)
	decisions := r.controller.Step(vms, inContact, bootNow)
	c.logStages(status.Routes().Rollouts(), inContact)
	r.mu.Unlock()
	if !inContact {
		return
	}
	c.sendRolloutGrants(status.Term(), now, bootNow)
	for _, d := range decisions {
		c.proposeDecision(ctx, d)
	}
	if c.controlVMsUnderstandRollouts(now) {
		c.recordVersions(ctx, status)
	}
}

// logStages logs the rollouts whose stage has changed, if this VM decides them. The caller
// holds rollouts.mu.
func (c *Cluster) logStages(records []rollout.Record, decides bool) {
	for _, record := range records {
		stage := c.rollouts.controller.Stage(record.Service())
		if decides && stage != c.rollouts.stages[record.Service()] {
			c.log.Info("rollout stage changed", zap.String("service", record.Service()), zap.Uint64("order", record.Order()),
				zap.String("version", record.Version()), zap.Stringer("stage", stage), zap.String("evidence", c.rollouts.controller.Evidence(record.Service())))
		}
		c.rollouts.stages[record.Service()] = stage
	}
}

// presentEntryVMs returns the names of the entry VMs from which messages arrive.
func (c *Cluster) presentEntryVMs(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, r := range c.sessions {
		if r.identified && r.presence.Address() == "" && now.Sub(r.lastSeen) < rolloutPeerTimeout {
			out = append(out, r.presence.VM())
		}
	}
	return out
}

// receiveRolloutReports passes the reports of an entry VM to the controller, and those of a
// VM that gets no grants on to the leader: only the link between the two may be lost.
func (c *Cluster) receiveRolloutReports(s *session.Session, m peer.RolloutReports, bootNow bootclock.Time) {
	c.mu.Lock()
	r := c.sessions[s]
	identified := r != nil && r.identified
	vm := m.VM()
	if identified && vm == "" {
		vm = r.presence.VM()
	}
	c.mu.Unlock()
	if !identified || c.control == nil {
		return
	}
	c.takeRolloutReports(vm, s, m, bootNow)
	if leader := c.control.Status().Leader(); m.NeedsRelay() && m.VM() == "" && leader != "" && leader != c.self.address {
		c.send(leader, m.PassedOn(vm))
	}
}

// takeRolloutReports takes the reports of a VM, which is this one if the session is nil.
func (c *Cluster) takeRolloutReports(vm string, s *session.Session, m peer.RolloutReports, bootNow bootclock.Time) {
	r := &c.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.controller == nil {
		return
	}
	for _, report := range m.Reports() {
		r.controller.TakeReport(vm, m.StartID(), m.Number(), report, m.Confirmation(), bootNow)
	}
	known := r.reporters[vm]
	if known.startID != m.StartID() {
		known = rolloutReporter{startID: m.StartID()}
	}
	relayed := m.VM() != ""
	if !relayed {
		known.directAt = bootNow
	}
	if !relayed || bootNow.Sub(known.directAt) >= relayAfter {
		known.session = s
		known.relayed = relayed
	}
	known.number = max(known.number, m.Number())
	r.reporters[vm] = known
}

// sendRolloutGrants sends grants to the VMs whose latest reports were not answered yet, or
// whose grants have changed.
func (c *Cluster) sendRolloutGrants(term uint64, now time.Time, bootNow bootclock.Time) {
	r := &c.rollouts
	r.mu.Lock()
	var local *peer.RolloutGrants
	for vm, known := range r.reporters {
		number, grants := r.controller.Grants(vm, known.startID)
		if len(grants) == 0 || known.answered == known.number && slices.Equal(grants, known.grants) {
			continue
		}
		m := peer.NewRolloutGrants(known.startID, term, number, known.number, grants)
		switch {
		case known.session == nil:
			local = &m
		case known.relayed:
			known.session.Send(peer.Encode(m.Through(vm)))
		default:
			known.session.Send(peer.Encode(m))
		}
		known.answered = known.number
		known.grants = grants
		r.reporters[vm] = known
	}
	r.mu.Unlock()
	if local != nil {
		c.receiveRolloutGrants(nil, *local, now, bootNow)
	}
}
