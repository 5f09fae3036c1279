package gateway

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/process/logsink"
)

const (
	// warmInterval is the time between two checks for connections to open.
	warmInterval = time.Second
	// warmPeriod is how long connections are held open without a request, after the
	// start and after each request. A VM that gets no requests holds none.
	warmPeriod = 30 * time.Second
	// warmRetryInterval is the time until a connection that could not be opened is
	// tried again.
	warmRetryInterval = 10 * time.Second
)

// warmLoop opens connections to the preferred targets before a request needs them.
type warmLoop struct {
	entry     *Entry
	startedAt time.Time
	// failedAt is when a connection to an address could not be opened, for those that
	// are not tried again yet.
	failedAt map[string]time.Time
}

func (l *warmLoop) run(ctx context.Context) {
	ticker := time.NewTicker(warmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.warm(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// warm opens the connections that are missing, one after the other. It stops as soon as
// a request is running, which needs the processor more.
func (l *warmLoop) warm(ctx context.Context) {
	now := time.Now()
	if !l.wanted(now) {
		return
	}
	maps.DeleteFunc(l.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= warmRetryInterval })
	failed := 0
	var lastErr error
	for _, address := range l.entry.fleet.WarmAddresses(now) {
		if l.entry.Running() > 0 || ctx.Err() != nil {
			break
		}
		if _, waits := l.failedAt[address]; waits {
			continue
		}
		if err := l.entry.pool.Warm(ctx, address, time.Now()); err != nil {
			l.failedAt[address] = now
			failed++
			lastErr = err
		}
	}
	if failed > 0 {
		l.entry.log.Warn("failed to open connections ahead of requests", zap.Int("targets", failed), logsink.Cause(lastErr))
	}
}

// wanted reports whether connections are held open without a request.
func (l *warmLoop) wanted(now time.Time) bool {
	if l.entry.dispatcher.Draining() {
		return false
	}
	return now.Sub(l.startedAt) < warmPeriod || now.Sub(l.entry.dispatcher.LastArrival()) < warmPeriod
}
