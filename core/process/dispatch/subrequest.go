package dispatch

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
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
	// sentAfter is the time, in nanoseconds, from the arrival of the query until run
	// started to send the attempt, 0 before that. A jump of the time of day does not
	// change it.
	sentAfter atomic.Int64
}

// waitedSince returns how long the response has been awaited, 0 before the attempt is
// sent. A VM with a fraction of a core may need tens of milliseconds until it has sent
// a query to hundreds of shards.
func (s *subRequest) waitedSince(now time.Time) time.Duration {
	sentAfter := time.Duration(s.sentAfter.Load())
	if sentAfter == 0 {
		return 0
	}
	return s.query.request.Elapsed(now) - sentAfter
}

// connected records a new connection. The response is awaited from now on, and the time
// that the target needs for the connection is allowed for.
func (s *subRequest) connected(took time.Duration, now time.Time) {
	s.lease.Connected(took, now)
	s.sentAfter.Store(max(1, int64(s.query.request.Elapsed(now)+placement.ConnectTime)))
}

// run sends the attempt and delivers its outcome to the query.
func (s *subRequest) run(ctx context.Context) {
	defer s.query.request.Release()
	now := time.Now()
	s.sentAfter.Store(max(1, int64(s.query.request.Elapsed(now))))
	s.lease.Sent(now)
	outcome := s.query.dispatcher.sender.Send(ctx, s.attempt, now)
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
	now := time.Now()
	s.lease.StreamingStarted(now)
	if relay.NoticeOf(o).Leaving() {
		s.lease.Leaving(now)
	}
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

// releaseLease ends the lease with the outcome and reports the target's load, or that it
// is leaving or wants no requests for a time.
func (s *subRequest) releaseLease(ctx context.Context, outcome relay.Outcome, now time.Time) {
	notice := relay.NoticeOf(outcome)
	if notice.Leaving() {
		s.lease.Leaving(now)
	}
	if wait := notice.RetryAfter(); wait > 0 {
		s.lease.RefusedFor(wait, now)
		return
	}
	switch o := outcome.(type) {
	case relay.Answered:
		s.reportLoad(o.Load(), now)
		if o.Response().Status() >= 500 {
			s.lease.Failed(now)
		} else {
			s.lease.Succeeded(now)
		}
	case relay.Declined:
		s.reportLoad(o.Load(), now)
		s.lease.Refused(o.Misdirected(), now)
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

// reportLoad passes on what the target reported of its load and its machine.
func (s *subRequest) reportLoad(load relay.Load, now time.Time) {
	if load.Known() {
		s.lease.ReportLoad(load.Running(), load.Waiting(), now)
	}
	if factor, known := load.Slowness(); known {
		s.lease.ReportSlowness(factor, now)
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
