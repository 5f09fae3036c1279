package dispatch

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// subRequest is one attempt for a part of a query.
type subRequest struct {
	query   *query
	part    int
	lease   *placement.Lease
	cancel  context.CancelFunc
	attempt relay.Attempt
}

// run sends the attempt and delivers its outcome to the query.
func (s *subRequest) run(ctx context.Context) {
	outcome := s.query.dispatcher.sender.Send(ctx, s.attempt, time.Now())
	if answered, ok := outcome.(relay.Answered); ok && answered.Response().Rest() != nil {
		outcome = s.holdLease(ctx, answered)
	} else {
		s.releaseLease(ctx, outcome, time.Now())
		s.cancel()
	}
	s.query.deliver(partOutcome{part: s.part, outcome: outcome})
}

// holdLease returns a streamed outcome that keeps the lease and the context of
// the attempt until the rest of the response is closed.
func (s *subRequest) holdLease(ctx context.Context, o relay.Answered) relay.Answered {
	s.lease.StreamingStarted(time.Now())
	r := o.Response()
	body := &leasedBody{ReadCloser: r.Rest(), onClose: func() {
		s.releaseLease(ctx, o, time.Now())
		s.cancel()
	}}
	return relay.NewAnswered(r.WithRest(body, r.Length()), o.Load())
}

// leasedBody is the rest of a streamed response. Its target counts as busy
// until Close is called.
type leasedBody struct {
	io.ReadCloser
	onClose func()
	once    sync.Once
}

// Close closes the body and, on the first call, releases the lease.
func (l *leasedBody) Close() error {
	err := l.ReadCloser.Close()
	l.once.Do(l.onClose)
	return err
}

// releaseLease ends the lease with the outcome and reports the target's load.
func (s *subRequest) releaseLease(ctx context.Context, outcome relay.Outcome, now time.Time) {
	switch o := outcome.(type) {
	case relay.Answered:
		if o.Load().Known() {
			s.lease.ReportLoad(o.Load().Running(), o.Load().Waiting(), now)
		}
		if o.Response().Status() >= 500 {
			s.lease.Failed(now)
		} else {
			s.lease.Succeeded(now)
		}
	case relay.Declined:
		if o.Load().Known() {
			s.lease.ReportLoad(o.Load().Running(), o.Load().Waiting(), now)
		}
		s.lease.Refused(o.Leaving(), now)
	case relay.Unsent:
		if ctx.Err() != nil && s.query.isFinished() {
			s.lease.Unsent(now)
			return
		}
		s.releaseUnanswered(o.IsOverLimit(), now)
	case relay.Lost:
		if ctx.Err() != nil && s.query.isFinished() {
			s.lease.Abandoned(now)
			return
		}
		s.releaseUnanswered(o.IsOverLimit(), now)
	}
}

// releaseUnanswered ends the lease of an attempt that got no connection or no
// usable response. overLimit means that the target reset the connection because
// of its connection limit.
func (s *subRequest) releaseUnanswered(overLimit bool, now time.Time) {
	if overLimit {
		s.lease.OverLimit(now)
		return
	}
	s.lease.NoResponse(now)
}
