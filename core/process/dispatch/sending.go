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
type sending struct {
	query   *query
	part    int
	lease   *placement.Lease
	cancel  context.CancelFunc
	attempt relay.Attempt
}

func (s *sending) run(ctx context.Context) {
	outcome := s.query.dispatcher.sender.Send(ctx, s.attempt, time.Now())
	if answered, ok := outcome.(relay.Answered); ok && answered.Response().Rest() != nil {
		outcome = s.streaming(ctx, answered)
	} else {
		s.end(ctx, outcome, time.Now())
		s.cancel()
	}
	s.query.deliver(arrival{part: s.part, outcome: outcome})
}

// streaming keeps the lease and the time of the send until the rest of its
// response has been read or given up.
func (s *sending) streaming(ctx context.Context, o relay.Answered) relay.Answered {
	s.lease.StreamingStarted(time.Now())
	r := o.Response()
	rest := &leasedRest{ReadCloser: r.Rest(), ended: func() {
		s.end(ctx, o, time.Now())
		s.cancel()
	}}
	return relay.NewAnswered(r.WithRest(rest, r.Length()), o.Load())
}

// leasedRest is the rest of a response whose target counts as busy until it is
// closed.
type leasedRest struct {
	io.ReadCloser
	ended func()
	once  sync.Once
}

// Close closes the rest and frees its target.
func (l *leasedRest) Close() error {
	err := l.ReadCloser.Close()
	l.once.Do(l.ended)
	return err
}

// end tells the fleet what the send showed.
func (s *sending) end(ctx context.Context, outcome relay.Outcome, now time.Time) {
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
		if ctx.Err() != nil && s.query.abandoned() {
			s.lease.Unsent(now)
			return
		}
		s.failed(o.IsOverLimit(), now)
	case relay.Lost:
		if ctx.Err() != nil && s.query.abandoned() {
			s.lease.Abandoned(now)
			return
		}
		s.failed(o.IsOverLimit(), now)
	}
}

// failed ends the lease of a send without a usable response.
func (s *sending) failed(overLimit bool, now time.Time) {
	if overLimit {
		s.lease.OverLimit(now)
		return
	}
	s.lease.NoResponse(now)
}
