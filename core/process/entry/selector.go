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
	budgetRetryDelay = 10 * time.Millisecond
	// turnWait is how long a sub-request waits for each round of places in
	// front of it before it looks again, and maxTurnWait the longest wait.
	queueRoundDelay = 2 * time.Millisecond
	maxQueueDelay   = 20 * time.Millisecond
)

// directory answers one query's questions from the shared tables.
type targetSelector struct {
	services []*service
	hedges   *hedge.Budget
	snapshot string
	deadline time.Time
	tickets  []*admission.Ticket
}

func newTargetSelector(services []*service, hedges *hedge.Budget, snapshot string, deadline time.Time) *targetSelector {
	return &targetSelector{
		services: services,
		hedges:   hedges,
		snapshot: snapshot,
		deadline: deadline,
		tickets:  make([]*admission.Ticket, len(services)),
	}
}

// Choose acquires a target. First requests wait their turn in the queue of the
// service; others are paid for by the budget of their purpose.
func (sel *targetSelector) Choose(part int, purpose fanout.Purpose, excluded []string, now time.Time) fanout.Choice {
	if purpose == fanout.First {
		return sel.chooseFirst(part, excluded, now)
	}
	budget := sel.hedges
	if purpose == fanout.Retry {
		budget = sel.services[part].retries
	} else if sel.services[part].queue.Len() > 0 {
		// While first requests wait for room, a hedge only takes it from them.
		return fanout.NewLater(now.Add(budgetRetryDelay))
	}
	if !budget.Take() {
		return fanout.NewLater(now.Add(budgetRetryDelay))
	}
	choice := sel.acquire(part, excluded, now)
	if _, acquired := choice.(fanout.Acquired); !acquired {
		budget.Give()
	}
	return choice
}

// first acquires a target for a first request when its turn has come.
func (sel *targetSelector) chooseFirst(part int, excluded []string, now time.Time) fanout.Choice {
	s := sel.services[part]
	if sel.tickets[part] == nil && s.queue.Len() > 0 {
		sel.tickets[part] = s.queue.Join(sel.deadline)
	}
	if t := sel.tickets[part]; t != nil {
		if rounds := s.queue.Rank(t) / len(s.targets); rounds > 0 {
			return fanout.NewLater(now.Add(min(maxQueueDelay, time.Duration(rounds)*queueRoundDelay)))
		}
	}
	choice := sel.acquire(part, excluded, now)
	switch choice.(type) {
	case fanout.Acquired:
		sel.leaveQueue(part)
		s.queue.Sent(now)
		s.retries.Earn()
		sel.hedges.Earn()
	case fanout.Later:
		if sel.tickets[part] == nil {
			sel.tickets[part] = s.queue.Join(sel.deadline)
		}
	}
	return choice
}

// leave gives up the place in a queue.
func (sel *targetSelector) leaveQueue(part int) {
	if t := sel.tickets[part]; t != nil {
		sel.services[part].queue.Leave(t)
		sel.tickets[part] = nil
	}
}

// leaveAll gives up every place when the query ends.
func (sel *targetSelector) leaveAllQueues() {
	for part := range sel.tickets {
		sel.leaveQueue(part)
	}
}

// HedgeDelay returns the time after which a sub-request of the part is late.
func (sel *targetSelector) HedgeDelay(part int) time.Duration {
	return sel.services[part].latency.Delay()
}

func (sel *targetSelector) acquire(part int, excluded []string, now time.Time) fanout.Choice {
	switch c := target.Choose(sel.services[part].targets, sel.snapshot, excluded, rand.IntN, now).(type) {
	case target.Chosen:
		return fanout.NewAcquired(c.Target().Name(), c.Target())
	case target.Wait:
		return fanout.NewLater(c.Until())
	case target.None:
		return fanout.NewNever(c.Reason() == target.NoSnapshot)
	}
	return fanout.NewNever(false)
}
