package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

const (
	// repeatTime is how long after its end the same order counts as repeated.
	repeatTime = 12 * time.Second
	// numberMemory is the number of grant numbers whose send times are kept.
	numberMemory = 64
)

// Controller follows the rollouts on a control VM. While its VM leads the log, it decides
// what each entry VM may send and how each rollout ends. On the other control VMs it
// follows the deadlines and the reports, so that it can continue at once. It is not safe
// for concurrent use.
type Controller struct {
	bounds Bounds
	random *rand.Rand
	runs   map[string]*run
	// ended has when this VM first saw the end of the latest rollout of a service.
	ended map[string]endedOrder
	leads bool
	term  uint64
	// leadsSince is when this VM became the leader.
	leadsSince bootclock.Time
	// number counts the sets of grants of this leader, and sentAt has when the latest of
	// them were made.
	number uint64
	sentAt [numberMemory]bootclock.Time
}

type endedOrder struct {
	order uint64
	at    bootclock.Time
}

// NewController returns a controller without rollouts. The random numbers choose among the
// entry VMs.
func NewController(bounds Bounds, random *rand.Rand) *Controller {
	return &Controller{bounds: bounds, random: random, runs: make(map[string]*run), ended: make(map[string]endedOrder)}
}

// Observe takes the records of the log. It is called on every control VM, often, because
// the remaining time of a rollout is counted from when this VM first saw its order or a
// later statement of the elapsed time.
func (c *Controller) Observe(records []Record, now bootclock.Time) {
	seen := make(map[string]bool, len(c.runs))
	for _, r := range records {
		switch {
		case r.state == Running:
			seen[r.service] = true
			c.observeRunning(r, now)
		case r.state != None && c.ended[r.service].order != r.order:
			c.ended[r.service] = endedOrder{order: r.order, at: now}
		}
	}
	for service := range c.runs {
		if !seen[service] {
			delete(c.runs, service)
		}
	}
}

func (c *Controller) observeRunning(r Record, now bootclock.Time) {
	current := c.runs[r.service]
	if current == nil || current.record.order != r.order {
		c.runs[r.service] = newRun(r, now)
		return
	}
	if r.elapsed > current.elapsed(now) {
		current.elapsedThen = r.elapsed
		current.seenAt = now
	}
	current.record = r
}

// MayRepeat reports whether the same order as the latest one, which has ended, starts a new
// rollout of the service.
func (c *Controller) MayRepeat(service string, now bootclock.Time) bool {
	e, ok := c.ended[service]
	return ok && now.Sub(e.at) >= repeatTime
}

// Running reports whether a rollout is running.
func (c *Controller) Running() bool { return len(c.runs) > 0 }

// SetLeader sets whether this VM leads the log, and its term. A new leader decides nothing
// from what an earlier one had granted.
func (c *Controller) SetLeader(leads bool, term uint64, now bootclock.Time) {
	if leads && (!c.leads || term != c.term) {
		c.leadsSince = now
		c.number = 0
		c.sentAt = [numberMemory]bootclock.Time{}
		for _, r := range c.runs {
			r.startLeading()
		}
	}
	c.leads = leads
	c.term = term
}

// Confirmation names the latest grants that a VM had when it made its reports.
type Confirmation struct {
	Term   uint64
	Number uint64
}

// TakeReport takes a report of one run of an entry VM, which is identified by its start id.
// The sequence number increases with the reports of a run; older ones are ignored.
func (c *Controller) TakeReport(vm, startID string, sequence uint64, r Report, confirmation Confirmation, now bootclock.Time) {
	current := c.runs[r.service]
	if current == nil || current.record.order != r.order {
		return
	}
	var confirmedAt bootclock.Time
	number := uint64(0)
	if c.leads && confirmation.Term == c.term && confirmation.Number <= c.number && c.number-confirmation.Number < numberMemory {
		number = confirmation.Number
		confirmedAt = c.sentAt[number%numberMemory]
	}
	current.takeReport(vm, startID, sequence, r, number, confirmedAt, now)
}

// DecisionKind says what the leader writes to the log.
type DecisionKind int

// The kinds of decision.
const (
	// StateElapsed: the log states how much time has passed.
	StateElapsed DecisionKind = iota + 1
	// Succeed: all traffic is at the new version and stays there.
	Succeed
	// RollBack: all traffic stays at the old versions.
	RollBack
)

// String returns the name of the kind for the log.
func (k DecisionKind) String() string {
	switch k {
	case StateElapsed:
		return "state-elapsed"
	case Succeed:
		return "succeed"
	case RollBack:
		return "roll-back"
	}
	return "unknown"
}

// Decision is what the leader writes to the log about a rollout.
type Decision struct {
	kind    DecisionKind
	service string
	order   uint64
	elapsed time.Duration
	reason  string
}

// Kind returns what is decided.
func (d Decision) Kind() DecisionKind { return d.kind }

// Service returns the name of the service.
func (d Decision) Service() string { return d.service }

// Order returns the number of the order.
func (d Decision) Order() uint64 { return d.order }

// Elapsed returns how much time has passed since the order.
func (d Decision) Elapsed() time.Duration { return d.elapsed }

// Reason describes the evidence for the log.
func (d Decision) Reason() string { return d.reason }

// Step advances all rollouts and returns what must be written to the log. vms are the entry
// VMs from which messages arrive. It does nothing unless this VM leads the log and has
// been in contact with a quorum a short time ago, which inContact says. A decision is
// returned again by later steps until the records show it.
func (c *Controller) Step(vms []string, inContact bool, now bootclock.Time) []Decision {
	if !c.leads || !inContact {
		return nil
	}
	c.number++
	c.sentAt[c.number%numberMemory] = now
	var out []Decision
	for _, service := range c.services() {
		if d, ok := c.runs[service].step(c, vms, now); ok {
			out = append(out, d)
		}
	}
	return out
}

// Grants returns the grants of the latest step for a run of an entry VM, and their number.
func (c *Controller) Grants(vm, startID string) (number uint64, grants []Grant) {
	for _, service := range c.services() {
		if g, ok := c.runs[service].grantFor(vm, startID); ok {
			grants = append(grants, g)
		}
	}
	return c.number, grants
}

// Stage returns the stage of the rollout of a service, Hold if none is running.
func (c *Controller) Stage(service string) Stage {
	if r := c.runs[service]; r != nil {
		return r.stage
	}
	return Hold
}

// Evidence describes what the leader has judged of the rollout of a service, for the log.
func (c *Controller) Evidence(service string) string {
	if r := c.runs[service]; r != nil {
		return r.judge.String()
	}
	return ""
}

func (c *Controller) services() []string {
	out := make([]string, 0, len(c.runs))
	for service := range c.runs {
		out = append(out, service)
	}
	slices.Sort(out)
	return out
}
