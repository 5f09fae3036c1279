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

// minRenewInterval is the shortest time between two renewals of the connections
// to a leaf, so that many requests that time out at the same time cause only
// one round of dials.
const minRenewInterval = time.Second

// subRequestGroup holds what the sub-requests of one query share. When a
// sub-request or its hedge has answered, the other one is not cancelled but may
// run until the deadline, because cancelling it would close its connection.
type subRequestGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
	// refs counts the references: one of the query and one of each sub-request
	// that has not ended.
	refs    atomic.Int64
	results chan fanout.Result
}

// newSubRequestGroup returns a group with one reference, which the query holds.
// Up to maxResults results are buffered, so that sub-requests that end after
// the query do not block.
func newSubRequestGroup(deadline time.Time, maxResults int) *subRequestGroup {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	g := &subRequestGroup{ctx: ctx, cancel: cancel, results: make(chan fanout.Result, maxResults)}
	g.refs.Add(1)
	return g
}

// release drops one reference. When the last one is dropped, the context and
// its timer are freed.
func (g *subRequestGroup) release() {
	if g.refs.Add(-1) == 0 {
		g.cancel()
	}
}

// subRequest is one sub-request that a worker sends.
type subRequest struct {
	entry   *Entry
	group   *subRequestGroup
	service *service
	target  *target.Target
	request leaf.Request
	attempt int
}

// execute sends the sub-request and passes its outcome to the target and to the
// query.
func (s *subRequest) execute() {
	defer s.group.release()
	outcome, took := s.entry.exchange(s.group.ctx, s.target, s.request)
	if _, answered := outcome.(leaf.Answered); answered {
		s.service.latency.Add(took)
	}
	s.group.results <- fanout.NewResult(s.attempt, outcome)
}

// exchange sends a sub-request to an acquired target and records the outcome on
// it. The sub-request is withheld if the configuration is stale at the moment
// of sending, for example because the process was suspended just before. If the
// leaf did not respond to a sub-request that was sent, the connections to it
// are renewed.
func (e *Entry) exchange(ctx context.Context, t *target.Target, request leaf.Request) (outcome leaf.Outcome, took time.Duration) {
	sentAt := time.Now()
	if e.freshness.Freshness(e.Version(), sentAt) == membership.Stale {
		t.RecordOutcome(leaf.Withheld{}, 0, sentAt)
		return leaf.Withheld{}, 0
	}
	outcome = t.Pool().Run(ctx, request, sentAt)
	now := time.Now()
	took = now.Sub(sentAt)
	t.RecordOutcome(outcome, took, now)
	e.counters.countOutcome(outcome)
	if failed, ok := outcome.(leaf.Failed); ok && failed.MaybeSent() && failed.TimedOut() {
		t.Pool().ReplaceConnections(now, minRenewInterval)
	}
	return outcome, took
}

// nextID returns a new id for a sub-request or for the holder of a claim. No id
// is returned twice, not even by another run of this process.
func (e *Entry) nextID() string {
	return e.idPrefix + strconv.FormatUint(e.idCount.Add(1), 36)
}
