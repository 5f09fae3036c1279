package dispatch

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// sending is one send of a part.
type subRequest struct {
	query   *query
	part    int
	lease   *placement.Lease
	cancel  context.CancelFunc
	attempt relay.Attempt
}

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

// streaming keeps the lease and the time of the send until the rest of its
// response has been read or given up.
func (s *subRequest) holdLease(ctx context.Context, o relay.Answered) relay.Answered {
	s.lease.StreamingStarted(time.Now())
	r := o.Response()
	body := &leasedBody{ReadCloser: r.Rest(), onClose: func() {
		s.releaseLease(ctx, o, time.Now())
		s.cancel()
	}}
	return relay.NewAnswered(r.WithRest(body, r.Length()), o.Load())
}

// leasedRest is the rest of a response whose target counts as busy until it is
// closed.
type leasedBody struct {
	io.ReadCloser
	onClose func()
	once    sync.Once
}

// Close closes the rest and frees its target.
func (l *leasedBody) Close() error {
	err := l.ReadCloser.Close()
	l.once.Do(l.onClose)
	return err
}

// end tells the fleet what the send showed.
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

// failed ends the lease of a send without a usable response.
func (s *subRequest) releaseUnanswered(overLimit bool, now time.Time) {
	if overLimit {
		s.lease.OverLimit(now)
		return
	}
	s.lease.NoResponse(now)
}
