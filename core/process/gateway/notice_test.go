package gateway

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// While all targets of a service want no requests for a time, a request is refused at
// once, without being sent, and its caller is told the time that is left.
func TestRequestIsRefusedWhileAllTargetsWait(t *testing.T) {
	for _, kind := range []routing.Kind{routing.Idempotent, routing.NonIdempotent} {
		l := newLeafServer(t, reply(503, "Mulberrydale-Not-Run: 1\r\nRetry-After: 1.5\r\n", ""))
		s := newEntryServer(t, routeTable(kind), l.instance("i-1", "s-1"))
		for n := range 3 {
			began := time.Now()
			res, body := s.send(t, "GET", "/x/1", "")
			assert.Equal(t, res.StatusCode, 503, body)
			wait, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, wait > 1 && wait < 2, "%v", wait)
			assert.Equal(t, len(l.requests()), 1, "request %d reached the target", n)
			assert.Assert(t, time.Since(began) < 200*time.Millisecond)
		}
	}
}

// A query over shards is refused at once if too few of them have a target that does not
// wait, and otherwise answered without the others.
func TestQueryLeavesOutWaitingShards(t *testing.T) {
	waiting := newLeafServer(t, reply(503, "Mulberrydale-Not-Run: 1\r\nRetry-After: 60\r\n", ""))
	good := newLeafServer(t, reply(200, signatureHeader, "0123456789abcdef"))
	s := newEntryServer(t, shardTable(3), waiting.instance("i-0", "s-0"), good.instance("i-1", "s-1"), good.instance("i-2", "s-2"))
	for range 3 {
		res, _ := s.send(t, "GET", "/x/1", "")
		assert.Equal(t, res.StatusCode, 200)
		assert.Equal(t, res.Header.Get(names.Missing()), "1")
	}
	assert.Equal(t, len(waiting.requests()), 1)
	s = newEntryServer(t, shardTable(3), waiting.instance("i-0", "s-0"), waiting.instance("i-1", "s-1"), good.instance("i-2", "s-2"))
	// The first query finds out, after one shard has run its part.
	res, _ := s.send(t, "GET", "/x/1", "")
	assert.Equal(t, res.StatusCode, 502)
	before := len(good.requests())
	res, _ = s.send(t, "GET", "/x/1", "")
	assert.Equal(t, res.StatusCode, 503)
	wait, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, wait > 50, "%v", wait)
	assert.Equal(t, len(good.requests()), before, "a query that can't be answered was sent")
}

// A target that says in any answer that it is about to end gets no further request while
// there is another, and none at all after the drain timeout.
func TestTargetThatSaysItIsLeavingIsAvoided(t *testing.T) {
	leavingHeader := names.Leaving() + ": 1\r\n"
	tests := []struct {
		name    string
		respond func(net.Conn, *http.Request)
	}{
		{"in a success", reply(200, signatureHeader+leavingHeader, "ok")},
		{"in a failure", reply(500, signatureHeader+leavingHeader, "broken")},
		{"in a rejection", reply(503, "Mulberrydale-Not-Run: 1\r\n"+leavingHeader, "")},
		{"in a response that is not usable", reply(503, leavingHeader, "")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const drainTimeout = 400 * time.Millisecond
			leaving := newLeafServer(t, tt.respond)
			s := newEntryServer(t, routeTable(routing.Idempotent), leaving.instance("i-1", "s-1"))
			s.entry.SetTargetTimes(placement.NewTargetTimes(time.Second, drainTimeout))
			s.send(t, "GET", "/x/1", "")
			s.send(t, "GET", "/x/1", "")
			assert.Assert(t, len(leaving.requests()) >= 2, "the only target of the service was not used as a last resort")
			time.Sleep(drainTimeout)
			before := len(leaving.requests())
			res, _ := s.send(t, "GET", "/x/1", "")
			assert.Equal(t, res.StatusCode, 503)
			assert.Equal(t, len(leaving.requests()), before)
		})
		t.Run(tt.name+", beside another target", func(t *testing.T) {
			leaving := newLeafServer(t, tt.respond)
			good := newLeafServer(t, reply(200, signatureHeader, "ok"))
			s := newEntryServer(t, routeTable(routing.Idempotent), leaving.instance("i-1", "s-1"), good.instance("i-2", "s-1"))
			for range 40 {
				s.send(t, "GET", "/x/1", "")
			}
			assert.Assert(t, len(leaving.requests()) <= 1, "%d requests", len(leaving.requests()))
		})
	}
}
