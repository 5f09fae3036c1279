package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/intake"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// maxRefusalLines bounds the lines about requests refused for lack of memory in each
// refusalPeriod.
const (
	maxRefusalLines = 16
	refusalPeriod   = time.Second
)

// refusalLines counts the lines about refused requests in the current period.
type refusalLines struct {
	mu    sync.Mutex
	began time.Time
	lines int
}

// admits reports whether another line may be logged.
func (r *refusalLines) admits(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.began) >= refusalPeriod {
		r.began = now
		r.lines = 0
	}
	r.lines++
	return r.lines <= maxRefusalLines
}

// RecordIntake counts and logs what the limiter of a listener has refused or closed, and
// what the callers of the listener use now.
func (t *Telemetry) RecordIntake(listener string, counts intake.Counts, conns int, bytes int64) {
	fields := []zap.Field{zap.String("listener", listener), zap.Int("connections", conns), zap.Int64("bytes", bytes)}
	for _, c := range counts.List() {
		t.scope.Counter("intake." + listener + "." + c.Name()).Inc(c.Value())
		fields = append(fields, zap.Int64(c.Name(), c.Value()))
	}
	t.log.Warn("callers over the limits", fields...)
}

// recordOverCapacity counts a request that was refused because there is no memory for its
// body, and logs it if few were logged lately.
func (t *Telemetry) recordOverCapacity(id string, length int64, now time.Time) {
	t.scope.Counter("answers." + result.OverCapacity.String()).Inc(1)
	if t.refusals.admits(now) {
		t.log.Warn("request refused for lack of memory", zap.String("id", id), zap.Int64("content-length", length))
	}
}
