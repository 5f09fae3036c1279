package entry

import (
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/target"
	"github.com/mulberrydale/mulberrydale/core/request/fanout"
)

// budgetWait is how long a sub-request without budget waits before it asks
// again.
const budgetWait = 10 * time.Millisecond

// directory answers one query's questions from the shared tables.
type directory struct {
	services []*service
	snapshot string
}

// Choose acquires a target, paid for by the budget of the purpose.
func (d *directory) Choose(part int, purpose fanout.Purpose, excluded []string, now time.Time) fanout.Choice {
	s := d.services[part]
	switch purpose {
	case fanout.Hedge:
		if !s.budget.TakeHedge() {
			return fanout.NewLater(now.Add(budgetWait))
		}
	case fanout.Retry:
		if !s.budget.TakeRetry() {
			return fanout.NewLater(now.Add(budgetWait))
		}
	case fanout.First:
	}
	choice := translate(target.Choose(s.targets, d.snapshot, excluded, rand.IntN, now))
	if _, acquired := choice.(fanout.Acquired); acquired {
		d.spent(s, purpose)
		return choice
	}
	d.giveBack(s, purpose)
	return choice
}

// spent counts a first request, which earns parts of hedges and retries.
func (d *directory) spent(s *service, purpose fanout.Purpose) {
	if purpose == fanout.First {
		s.budget.First()
	}
}

// giveBack returns what was paid for a target that could not be acquired.
func (d *directory) giveBack(s *service, purpose fanout.Purpose) {
	switch purpose {
	case fanout.Hedge:
		s.budget.GiveHedge()
	case fanout.Retry:
		s.budget.GiveRetry()
	case fanout.First:
	}
}

// HedgeDelay returns the time after which a sub-request of the part is late.
func (d *directory) HedgeDelay(part int) time.Duration {
	return d.services[part].latency.Delay()
}

func translate(choice target.Choice) fanout.Choice {
	switch c := choice.(type) {
	case target.Chosen:
		return fanout.NewAcquired(c.Target().Name(), c.Target())
	case target.Wait:
		return fanout.NewLater(c.Until())
	case target.None:
		return fanout.NewNever(c.Reason() == target.NoSnapshot)
	}
	return fanout.NewNever(false)
}
