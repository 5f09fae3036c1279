package dispatch

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// maxLoggedMissing bounds the number of missing services named in the log.
const maxLoggedMissing = 8

// deliver passes an outcome to run, or discards it if the query has finished.
// The channel's buffer holds the outcomes of all attempts, so sending does not
// block.
func (q *query) deliver(o partOutcome) {
	q.cancelMu.Lock()
	defer q.cancelMu.Unlock()
	if q.finished {
		o.discard()
		return
	}
	q.outcomes <- o
}

// discard closes the response of an outcome that is not used.
func (o partOutcome) discard() {
	if answered, ok := o.outcome.(relay.Answered); ok {
		answered.Response().Close()
	}
}

// discardPending closes the responses that arrived too late to be used. The
// caller holds cancelMu, so no outcome can be delivered concurrently.
func (q *query) discardPending() {
	for {
		select {
		case o := <-q.outcomes:
			o.discard()
		default:
			return
		}
	}
}

// finish removes the query from the queues, discards pending outcomes and
// records the missing services in the trace. Attempts in flight continue, so
// that their connections can be reused. If the caller has left they are
// cancelled after callerLeftGrace. For a request that is sent at most once and
// whose caller has left, attempts are not cancelled and no missing services are
// recorded.
func (q *query) finish(callerLeft bool) {
	now := time.Now()
	for n, w := range q.waiters {
		if w != nil {
			q.leaveQueue(n, now)
		}
	}
	q.cancelMu.Lock()
	defer q.cancelMu.Unlock()
	q.finished = true
	q.discardPending()
	if q.state.AtMostOnce() && callerLeft {
		return
	}
	if callerLeft {
		time.AfterFunc(callerLeftGrace, q.cancelAll)
	}
	for n := range q.state.NumParts() {
		if q.state.Missing(n) && len(q.trace.missing) < maxLoggedMissing {
			q.trace.missing = append(q.trace.missing, q.state.Describe(n))
		}
	}
}

// leaveQueue removes the queued part n from its queue, or ends the lease that it was given
// meanwhile.
func (q *query) leaveQueue(n int, now time.Time) {
	if !q.dispatcher.fleet.Dequeue(q.waiters[n]) {
		(<-q.leases[n]).Unsent(now)
	}
}

// cancelAll cancels all attempts.
func (q *query) cancelAll() {
	q.cancelMu.Lock()
	defer q.cancelMu.Unlock()
	for _, cancel := range q.cancels {
		cancel()
	}
}

// isFinished reports whether the query has finished. An attempt that fails
// after that because its context has ended does not count as a failure of its
// target.
func (q *query) isFinished() bool {
	q.cancelMu.Lock()
	defer q.cancelMu.Unlock()
	return q.finished
}
