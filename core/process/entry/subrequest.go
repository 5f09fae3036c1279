package entry

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
	"github.com/mulberrydale/mulberrydale/core/process/membership"
	"github.com/mulberrydale/mulberrydale/core/process/target"
	"github.com/mulberrydale/mulberrydale/core/request/fanout"
)

// renewInterval is the least time between two renewals of the connections to
// a leaf, so that many requests that meet the same silence dial once.
const renewInterval = time.Second

// flight is what the sub-requests of one query share. Sub-requests that lose
// against a hedge go on until the deadline: cancelling one would close its
// connection.
type flight struct {
	ctx     context.Context
	cancel  context.CancelFunc
	pending atomic.Int64
	results chan fanout.Result
}

// newFlight returns a flight that holds one place for the query itself.
func newFlight(deadline time.Time, most int) *flight {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	f := &flight{ctx: ctx, cancel: cancel, results: make(chan fanout.Result, most)}
	f.pending.Add(1)
	return f
}

// release gives a place back and frees the timer after the last one.
func (f *flight) release() {
	if f.pending.Add(-1) == 0 {
		f.cancel()
	}
}

// subRequest is one sub-request on its way to a worker.
type subRequest struct {
	entry   *Entry
	flight  *flight
	service *service
	target  *target.Target
	request leaf.Request
	attempt int
}

// execute sends the sub-request, settles its target and reports to the query.
func (s *subRequest) execute() {
	defer s.flight.release()
	outcome, took := s.entry.exchange(s.flight.ctx, s.target, s.request)
	if _, answered := outcome.(leaf.Answered); answered {
		s.service.latency.Add(took)
	}
	s.flight.results <- fanout.NewResult(s.attempt, outcome)
}

// exchange sends a sub-request to an acquired target and settles the target. It
// is withheld where this VM's knowledge is stale at this very moment, as it is
// after the process was frozen.
func (e *Entry) exchange(ctx context.Context, t *target.Target, request leaf.Request) (outcome leaf.Outcome, took time.Duration) {
	began := time.Now()
	if e.gate.Freshness(e.Version(), began) == membership.Stale {
		t.Settle(leaf.Withheld{}, 0, began)
		return leaf.Withheld{}, 0
	}
	outcome = t.Pool().Run(ctx, request, began)
	now := time.Now()
	took = now.Sub(began)
	t.Settle(outcome, took, now)
	e.counters.settled(outcome)
	if failed, ok := outcome.(leaf.Failed); ok && failed.MaybeSent() && failed.TimedOut() {
		t.Pool().ReplaceConnections(now, renewInterval)
	}
	return outcome, took
}

// nextID returns an id that no other sub-request of this process has.
func (e *Entry) nextID() string {
	return e.idPrefix + strconv.FormatUint(e.idCount.Add(1), 36)
}
