package cluster

import (
	"context"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// SetOutOfService submits the order to take a data centre out of service or, if out is
// false, to put it back; see submitOrder.
func (c *Cluster) SetOutOfService(ctx context.Context, dataCentre string, out bool, waiting func() bool) (replica.RoutesOutcome, error) {
	return submitOrder[replica.RoutesOutcome](ctx, c, replica.NewSetOutOfService(dataCentre, out), waiting)
}

// StartRollout submits the order of a rollout; see submitOrder.
func (c *Cluster) StartRollout(ctx context.Context, order replica.StartRollout, waiting func() bool) (replica.RolloutOutcome, error) {
	return submitOrder[replica.RolloutOutcome](ctx, c, order, waiting)
}

// submitOrder commits the command of an operator's order, as Submit does, while the operator
// waits for the outcome. An operator that gets none gives up and sends the same or another
// order to another VM, so a copy that was delayed here, by a pause of this VM or of the
// leader, must not be executed after that one. waiting reports whether the operator still
// waits. The error is OrderAbandoned if it does not, and nothing is submitted from then on.
func submitOrder[T replica.Outcome](ctx context.Context, c *Cluster, command replica.Command, waiting func() bool) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var out T
	var base replica.Position
	if c.control != nil {
		base = c.control.Status().Position()
	}
	err := c.retryWithLeader(ctx, func(ctx context.Context, leader string) error {
		for {
			if !waiting() {
				cancel()
				return result.New(result.OrderAbandoned, "the operator no longer waits for the outcome of this order")
			}
			outcome, err := c.submitTo(ctx, leader, c.withBase(leader, command, base))
			if err != nil {
				return err
			}
			switch outcome := outcome.(type) {
			case T:
				out = outcome
				return nil
			case replica.OrderRejected:
				base = outcome.Base()
			default:
				return result.New(result.Internal, "the outcome of the command is not of type %T", out)
			}
		}
	})
	return out, err
}

// withBase returns the order for a leader. An earlier version of the program gets only the
// command.
func (c *Cluster) withBase(leader string, command replica.Command, base replica.Position) replica.Command {
	if leader != c.self.address && !c.understandsOrders(leader, time.Now()) {
		return command
	}
	return replica.NewOrder(command, base)
}

// understandsOrders reports whether a control VM understands orders with a base.
func (c *Cluster) understandsOrders(address string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.sessions {
		if r.alive(now) && r.presence.Address() == address {
			return r.presence.UnderstandsOrders()
		}
	}
	return true
}
