package entry

import (
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/target"
	"github.com/mulberrydale/mulberrydale/core/request/admission"
	"github.com/mulberrydale/mulberrydale/core/request/fanout"
	"github.com/mulberrydale/mulberrydale/core/request/hedge"
)

const (
	// budgetWait is how long a sub-request without budget waits before it asks
	// again.
	budgetWait = 10 * time.Millisecond
	// turnWait is how long a sub-request waits for each round of places in
	// front of it before it looks again, and maxTurnWait the longest wait.
	turnWait    = 2 * time.Millisecond
	maxTurnWait = 20 * time.Millisecond
)

// directory answers one query's questions from the shared tables.
type directory struct {
	services []*service
	hedges   *hedge.Budget
	snapshot string
	deadline time.Time
	tickets  []*admission.Ticket
}

func newDirectory(services []*service, hedges *hedge.Budget, snapshot string, deadline time.Time) *directory {
	return &directory{
		services: services,
		hedges:   hedges,
		snapshot: snapshot,
		deadline: deadline,
		tickets:  make([]*admission.Ticket, len(services)),
	}
}

// Choose acquires a target. First requests wait their turn in the queue of the
// service; others are paid for by the budget of their purpose.
func (d *directory) Choose(part int, purpose fanout.Purpose, excluded []string, now time.Time) fanout.Choice {
	if purpose == fanout.First {
		return d.first(part, excluded, now)
	}
	budget := d.hedges
	if purpose == fanout.Retry {
		budget = d.services[part].retries
	} else if d.services[part].queue.Len() > 0 {
		// While first requests wait for room, a hedge only takes it from them.
		return fanout.NewLater(now.Add(budgetWait))
	}
	if !budget.TryWithdraw() {
		return fanout.NewLater(now.Add(budgetWait))
	}
	choice := d.acquire(part, excluded, now)
	if _, acquired := choice.(fanout.Acquired); !acquired {
		budget.Refund()
	}
	return choice
}

// first acquires a target for a first request when its turn has come.
func (d *directory) first(part int, excluded []string, now time.Time) fanout.Choice {
	s := d.services[part]
	if d.tickets[part] == nil && s.queue.Len() > 0 {
		d.tickets[part] = s.queue.Join(d.deadline)
	}
	if t := d.tickets[part]; t != nil {
		if rounds := s.queue.Rank(t) / len(s.targets); rounds > 0 {
			return fanout.NewLater(now.Add(min(maxTurnWait, time.Duration(rounds)*turnWait)))
		}
	}
	choice := d.acquire(part, excluded, now)
	switch choice.(type) {
	case fanout.Acquired:
		d.leave(part)
		s.queue.RecordDeparture(now)
		s.retries.Deposit()
		d.hedges.Deposit()
	case fanout.Later:
		if d.tickets[part] == nil {
			d.tickets[part] = s.queue.Join(d.deadline)
		}
	}
	return choice
}

// leave gives up the place in a queue.
func (d *directory) leave(part int) {
	if t := d.tickets[part]; t != nil {
		d.services[part].queue.Leave(t)
		d.tickets[part] = nil
	}
}

// leaveAll gives up every place when the query ends.
func (d *directory) leaveAll() {
	for part := range d.tickets {
		d.leave(part)
	}
}

// HedgeDelay returns the time after which a sub-request of the part is late.
func (d *directory) HedgeDelay(part int) time.Duration {
	return d.services[part].latency.Delay()
}

func (d *directory) acquire(part int, excluded []string, now time.Time) fanout.Choice {
	switch c := target.Choose(d.services[part].targets, d.snapshot, excluded, rand.IntN, now).(type) {
	case target.Chosen:
		return fanout.NewAcquired(c.Target().Name(), c.Target())
	case target.Wait:
		return fanout.NewLater(c.Until())
	case target.None:
		return fanout.NewUnavailable(c.Reason() == target.NoSnapshot)
	}
	return fanout.NewUnavailable(false)
}
