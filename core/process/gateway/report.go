package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/process/dispatch"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// sampleEvery is the number of plain successes of which one is logged.
const sampleEvery = 64

// latencyBuckets are the bounds of the latency histogram.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 70 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second,
}

// Telemetry writes a line for each request that did not go plainly, a sample of
// the others, and counts all.
type Telemetry struct {
	log     *zap.Logger
	scope   tally.TestScope
	latency tally.Histogram
	plain   atomic.Int64
}

// NewTelemetry returns a report that writes to a log.
func NewTelemetry(log *zap.Logger) *Telemetry {
	scope := tally.NewTestScope("mulberrydale", nil)
	return &Telemetry{log: log, scope: scope, latency: scope.Histogram("answer-latency", latencyBuckets)}
}

// answered counts an answer and logs it.
func (r *Telemetry) answered(req *relay.Request, answer relay.Answer, trace dispatch.Trace, gone bool, now time.Time) {
	took := req.Took(now)
	r.latency.RecordDuration(took)
	outcome, level := describe(answer)
	if gone {
		outcome = "caller-left"
	}
	r.scope.Counter("answers." + outcome).Inc(1)
	r.scope.Counter("hedges").Inc(int64(trace.Hedges()))
	r.scope.Counter("retries").Inc(int64(trace.Retries()))
	plain := level == "" && trace.Retries() == 0 && len(trace.Missing()) == 0
	if plain && r.plain.Add(1)%sampleEvery != 0 {
		return
	}
	fields := []zap.Field{
		zap.String("id", req.ID()), zap.Uint64("version", trace.Version()), zap.String("route", trace.Route()),
		zap.String("outcome", outcome), zap.Duration("took", took), zap.Duration("deadline", req.Allowed()),
		zap.Int("sends", trace.Sends()), zap.Int("hedges", trace.Hedges()), zap.Int("retries", trace.Retries()),
	}
	if plain {
		fields = append(fields, zap.Int("one-of", sampleEvery))
	}
	if len(trace.Missing()) > 0 {
		fields = append(fields, zap.Strings("missing", trace.Missing()))
	}
	if level != "" {
		fields = append(fields, zap.String("reason", level))
	}
	r.log.Info("request", fields...)
}

// brokenOff logs that an answer that had begun could not be finished.
func (r *Telemetry) brokenOff(req *relay.Request, trace dispatch.Trace, cause error, now time.Time) {
	r.scope.Counter("answers.broken-off").Inc(1)
	r.log.Warn("the answer broke off", zap.String("id", req.ID()), zap.Uint64("version", trace.Version()),
		zap.String("route", trace.Route()), zap.Duration("took", req.Took(now)), logsink.Cause(cause))
}

// describe names an answer, and its reason where it is no success.
func describe(answer relay.Answer) (outcome, reason string) {
	switch a := answer.(type) {
	case relay.Relayed:
		if a.Response().Status() >= http.StatusInternalServerError {
			return "target-failed", fmt.Sprintf("status %d of the target", a.Response().Status())
		}
		return "relayed", ""
	case relay.Merged:
		if a.Missing() > 0 {
			return "partial", ""
		}
		return "complete", ""
	case relay.Refused:
		return a.Code().String(), a.Reason()
	}
	return "none", ""
}

// ServeHTTP writes the metrics as text, one a line.
func (r *Telemetry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	snapshot := r.scope.Snapshot()
	for _, c := range snapshot.Counters() {
		lines = append(lines, fmt.Sprintf("%s %d", metricName(c.Name()), c.Value()))
	}
	for _, g := range snapshot.Gauges() {
		lines = append(lines, fmt.Sprintf("%s %g", metricName(g.Name()), g.Value()))
	}
	for _, h := range snapshot.Histograms() {
		total := int64(0)
		for _, bound := range sortedBounds(h.Durations()) {
			total += h.Durations()[bound]
			lines = append(lines, fmt.Sprintf("%s_bucket{le=\"%g\"} %d", metricName(h.Name()), bound.Seconds(), total))
		}
	}
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}

func sortedBounds(counts map[time.Duration]int64) []time.Duration {
	var out []time.Duration
	for bound := range counts {
		out = append(out, bound)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func metricName(name string) string {
	return strings.NewReplacer(".", "_", "-", "_").Replace(name)
}
