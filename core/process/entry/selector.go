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
	// budgetRetryDelay is how long a retry or a hedge waits before it tries
	// again, if its budget is used up or, for a hedge, if the queue of the
	// service is not empty.
	budgetRetryDelay = 10 * time.Millisecond
	// A queued sub-request checks its place in the queue again after
	// queueRoundDelay for each full round ahead of it, but after at most
	// maxQueueDelay. A round is as many sub-requests as the service has
	// targets.
	queueRoundDelay = 2 * time.Millisecond
	maxQueueDelay   = 20 * time.Millisecond
)

// targetSelector implements fanout.Directory for one query. It selects targets
// from the state that all queries share.
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

// Choose acquires a target for a sub-request to a part of the query, which is
// the service with that index. The first sub-request to a service waits in the
// queue of the service. Retries and hedges do not queue but are limited by
// their budgets, and there are no hedges while the queue is not empty.
func (sel *targetSelector) Choose(part int, purpose fanout.Purpose, excluded []string, now time.Time) fanout.Choice {
	if purpose == fanout.First {
		return sel.chooseFirst(part, excluded, now)
	}
	budget := sel.hedges
	if purpose == fanout.Retry {
		budget = sel.services[part].retries
	} else if sel.services[part].queue.Len() > 0 {
		// While first sub-requests wait for capacity, a hedge would take it
		// from them.
		return fanout.NewLater(now.Add(budgetRetryDelay))
	}
	if !budget.TryWithdraw() {
		return fanout.NewLater(now.Add(budgetRetryDelay))
	}
	choice := sel.acquire(part, excluded, now)
	if _, acquired := choice.(fanout.Acquired); !acquired {
		budget.Refund()
	}
	return choice
}

// chooseFirst acquires a target for the first sub-request to a service. The
// sub-request joins the queue if others are queued or if no target has
// capacity. Once queued, it tries to acquire a target only while fewer
// sub-requests are ahead of it than the service has targets.
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
		s.queue.RecordDeparture(now)
		s.retries.Deposit()
		sel.hedges.Deposit()
	case fanout.Later:
		if sel.tickets[part] == nil {
			sel.tickets[part] = s.queue.Join(sel.deadline)
		}
	}
	return choice
}

// leaveQueue removes the sub-request for a part from the queue of its service,
// if it is queued.
func (sel *targetSelector) leaveQueue(part int) {
	if t := sel.tickets[part]; t != nil {
		sel.services[part].queue.Leave(t)
		sel.tickets[part] = nil
	}
}

// leaveAllQueues removes all sub-requests of the query from their queues when
// the query ends.
func (sel *targetSelector) leaveAllQueues() {
	for part := range sel.tickets {
		sel.leaveQueue(part)
	}
}

// HedgeDelay returns the time after which a sub-request for the part counts as
// late.
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
		return fanout.NewUnavailable(c.Reason() == target.NoSnapshot)
	}
	return fanout.NewUnavailable(false)
}
