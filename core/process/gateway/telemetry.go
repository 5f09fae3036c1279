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
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// sampleEvery is the sampling rate of the log: one of this many requests that
// had no error, retry or missing service is logged.
const sampleEvery = 64

// maxLoggedChanges bounds the lines about changes of targets that are logged at once.
const maxLoggedChanges = 16

// latencyBuckets are the upper bounds of the buckets of the latency histogram.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 70 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second,
}

// Telemetry counts the answers of the dispatcher and logs those that had an
// error, a retry or a missing service, with a sample of the others. It serves
// the metrics over HTTP. A request that is refused because of its body is neither
// counted nor logged here, unless there was no memory for the body.
type Telemetry struct {
	log *zap.Logger
	// scope is a TestScope because ServeHTTP has to read the values, which no
	// other kind of scope in tally allows.
	scope   tally.TestScope
	latency tally.Histogram
	// cleanAnswers counts the requests without an error, a retry or a missing
	// service, for sampling.
	cleanAnswers atomic.Int64
	refusals     refusalLines
}

// NewTelemetry returns a Telemetry without any counts that writes to a logger.
func NewTelemetry(log *zap.Logger) *Telemetry {
	scope := tally.NewTestScope("mulberrydale", nil)
	return &Telemetry{log: log, scope: scope, latency: scope.Histogram("answer-latency", latencyBuckets)}
}

// recordAnswer counts an answer and, unless sampling omits it, logs it. If the
// caller has disconnected, the outcome is "caller-left".
func (t *Telemetry) recordAnswer(req *relay.Request, answer relay.Answer, trace dispatch.Trace, callerLeft bool, now time.Time) {
	took := req.Elapsed(now)
	t.latency.RecordDuration(took)
	outcome, reason := answerOutcome(answer)
	if callerLeft {
		outcome = "caller-left"
	}
	t.scope.Counter("answers." + outcome).Inc(1)
	t.scope.Counter("hedges").Inc(int64(trace.Hedges()))
	t.scope.Counter("retries").Inc(int64(trace.Retries()))
	clean := reason == "" && trace.Retries() == 0 && len(trace.Missing()) == 0
	if clean && t.cleanAnswers.Add(1)%sampleEvery != 0 {
		return
	}
	fields := []zap.Field{
		zap.String("id", req.ID()), zap.Uint64("version", trace.Version()), zap.String("route", trace.Route()),
		zap.String("outcome", outcome), zap.Duration("took", took), zap.Duration("deadline", req.Timeout()),
		zap.Int("sends", trace.Sends()), zap.Int("hedges", trace.Hedges()), zap.Int("retries", trace.Retries()),
	}
	if trace.Team() != "" {
		fields = append(fields, zap.String("team", trace.Team()))
	}
	if clean {
		fields = append(fields, zap.Int("one-of", sampleEvery))
	}
	if len(trace.Missing()) > 0 {
		fields = append(fields, zap.Strings("missing", trace.Missing()))
	}
	if reason != "" {
		fields = append(fields, zap.String("reason", reason))
	}
	t.log.Info("request", fields...)
}

// recordTargetChanges counts changes of targets, and logs at most maxLoggedChanges of them.
func (t *Telemetry) recordTargetChanges(changes []placement.TargetChange) {
	for n, c := range changes {
		t.scope.Counter("target-changes." + string(c.Kind())).Inc(1)
		if n < maxLoggedChanges {
			t.log.Info("target changed", zap.String("target", c.ID()), zap.String("change", string(c.Kind())), zap.Duration("wait", c.Wait()), zap.String("cause", c.Cause()))
		}
	}
	if more := len(changes) - maxLoggedChanges; more > 0 {
		t.log.Info("further targets changed", zap.Int("targets", more))
	}
}

// recordRolloutRequests counts requests for services of which a rollout was running.
func (t *Telemetry) recordRolloutRequests(all, updated int64) {
	if all > 0 {
		t.scope.Counter("rollout-requests").Inc(all)
		t.scope.Counter("rollout-requests-new-version").Inc(updated)
	}
}

// recordAborted counts and logs a response that could not be completed after a
// part of it had been written. recordAnswer has counted the same request before,
// under the outcome of its answer.
func (t *Telemetry) recordAborted(req *relay.Request, trace dispatch.Trace, cause error, now time.Time) {
	t.scope.Counter("answers.broken-off").Inc(1)
	t.log.Warn("response aborted", zap.String("id", req.ID()), zap.Uint64("version", trace.Version()),
		zap.String("route", trace.Route()), zap.Duration("took", req.Elapsed(now)), logsink.Cause(cause))
}

// answerOutcome returns the name of an answer's outcome, or "none" if there is no
// answer. For a refusal or a failure of the target it also returns the reason,
// which is empty for any other answer, including a partial one.
func answerOutcome(answer relay.Answer) (outcome, reason string) {
	switch a := answer.(type) {
	case relay.Relayed:
		if a.Response().Status() >= http.StatusInternalServerError {
			return "target-failed", fmt.Sprintf("the target responded with status %d", a.Response().Status())
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

// ServeHTTP writes the metrics as sorted lines of text, each with a name and a
// value. The values of histogram buckets are cumulative; the upper bound of a
// bucket is given in seconds.
func (t *Telemetry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	snapshot := t.scope.Snapshot()
	for _, c := range snapshot.Counters() {
		lines = append(lines, fmt.Sprintf("%s %d", metricName(c.Name()), c.Value()))
	}
	for _, g := range snapshot.Gauges() {
		lines = append(lines, fmt.Sprintf("%s %g", metricName(g.Name()), g.Value()))
	}
	for _, h := range snapshot.Histograms() {
		cumulative := int64(0)
		for _, bound := range sortedBounds(h.Durations()) {
			cumulative += h.Durations()[bound]
			lines = append(lines, fmt.Sprintf("%s_bucket{le=\"%g\"} %d", metricName(h.Name()), bound.Seconds(), cumulative))
		}
	}
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}

// sortedBounds returns the bucket bounds of a histogram in ascending order.
func sortedBounds(counts map[time.Duration]int64) []time.Duration {
	var bounds []time.Duration
	for bound := range counts {
		bounds = append(bounds, bound)
	}
	sort.Slice(bounds, func(i, j int) bool { return bounds[i] < bounds[j] })
	return bounds
}

// metricName returns a name with dots and hyphens replaced by underscores, as
// the names of metrics in the text format must not contain them.
func metricName(name string) string {
	return strings.NewReplacer(".", "_", "-", "_").Replace(name)
}
