package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"

	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// docs/OPERATIONS.md describes three ways from the id of a failed request to
// its cause. They require that the request has one log line with its outcome
// and the reason, and that the outcome is counted in the metrics.
func TestLogLineExplainsFailedRequest(t *testing.T) {
	silent := func(net.Conn, *http.Request) {}
	tests := []struct {
		name    string
		table   *routing.Table
		respond []func(net.Conn, *http.Request)
		status  int
		outcome string
		// wantInLog lists substrings of the fields of the log line.
		wantInLog  []string
		wantMetric string
	}{
		{
			"refused by the only target", routeTable(routing.Idempotent), []func(net.Conn, *http.Request){reply(503, "Mulberrydale-Not-Run: 1\r\n", "")},
			503, "overloaded", []string{"no target had capacity"}, "answers_overloaded 1",
		},
		{
			"a shard without a response at the response time objective", shardTable(3),
			[]func(net.Conn, *http.Request){reply(200, signatureHeader, strings.Repeat("x", 16)), reply(200, "Mulberrydale-Signature: sig-2\r\n", ""), silent},
			200, "partial", []string{"s-2: no response from i-2"}, "answers_partial 1",
		},
		{
			"outcome of a non-idempotent request unknown", routeTable(routing.NonIdempotent),
			[]func(net.Conn, *http.Request){func(c net.Conn, _ *http.Request) { _ = c.Close() }},
			502, "outcome-unknown", []string{"may have run", "s-1: lost at i-0"}, "answers_outcome_unknown 1",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			core, logs := observer.New(zapcore.InfoLevel)
			telemetry := NewTelemetry(zap.New(core))
			e := newTestEntry(telemetry, 0)
			e.dispatcher.SetTable(tt.table)
			var instances []discovery.Instance
			for n, respond := range tt.respond {
				// The services of shardTable are s-0, s-1 and so on; the only
				// service of routeTable is s-1.
				service := fmt.Sprintf("s-%d", n)
				if len(tt.respond) == 1 {
					service = "s-1"
				}
				instances = append(instances, newLeafServer(t, respond).instance(fmt.Sprintf("i-%d", n), service))
			}
			e.TargetsRead(discovery.NewList(instances, 1, time.Now()), true, time.Now())
			s := &entryServer{entry: e, server: httptest.NewServer(e.Handler())}
			defer s.server.Close()
			res, _ := s.send(t, "GET", "/x/1", "")
			assert.Equal(t, res.StatusCode, tt.status)
			found := logs.FilterField(zap.String("id", "req-1")).All()
			assert.Equal(t, len(found), 1, "want exactly one log line for the request")
			fields := found[0].ContextMap()
			assert.Equal(t, fields["outcome"], tt.outcome)
			text := fmt.Sprint(fields)
			for _, want := range append(tt.wantInLog, "version:1", "route:r") {
				assert.Assert(t, strings.Contains(text, want), "%q is not in %s", want, text)
			}
			w := httptest.NewRecorder()
			telemetry.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
			assert.Assert(t, strings.Contains(w.Body.String(), tt.wantMetric), w.Body.String())
		})
	}
}
