package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/intake"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// newLimitedServer starts an entry role within the limits of l, and returns its address.
func newLimitedServer(t *testing.T, l *intake.Limiter, table *routing.Table, instances ...discovery.Instance) string {
	t.Helper()
	s := newEntryServer(t, table, instances...)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: s.entry.Handler()}
	l.Protect(server)
	go func() { _ = server.Serve(l.Listen(socket)) }()
	t.Cleanup(func() { _ = server.Close() })
	return socket.Addr().String()
}

// post sends a request with a body and returns the response and its body.
func post(t *testing.T, address, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/x/1", strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "a.example"
	req.Close = true
	res, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res, string(text)
}

// A request without memory for its body must be refused with a 503 that is true, and one
// for which there is room must be served afterwards.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	target := newLeafServer(t, reply(200, signatureHeader, "ok"))
	l := intake.NewLimiter(100, 200<<10)
	address := newLimitedServer(t, l, routeTable(routing.NonIdempotent), target.instance("i-1", "s-1"))
	res, text := post(t, address, strings.Repeat("b", 190<<10))
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.HasPrefix(text, "213 over-capacity"), text)
	assert.Assert(t, res.Header.Get("Retry-After") != "")
	assert.Assert(t, res.Close)
	assert.Equal(t, len(target.requests()), 0)
	res, text = post(t, address, strings.Repeat("b", 60<<10))
	assert.Equal(t, res.StatusCode, http.StatusOK, text)
}

// An attempt that outlives its request keeps the body, which must stay charged until then.
func TestBodyIsChargedUntilTheLastAttemptEnds(t *testing.T) {
	const bodyBytes = 60 << 10
	slow := newLeafServer(t, func(c net.Conn, r *http.Request) {
		time.Sleep(500 * time.Millisecond)
		reply(200, signatureHeader, strings.Repeat("s", 16))(c, r)
	})
	fast := newLeafServer(t, reply(200, signatureHeader, strings.Repeat("f", 16)))
	table := routing.NewTable(1, []routing.Route{routing.NewRoute("r", "a.example", "/x/").WithKind(routing.Idempotent).
		WithTimeoutAndObjective(2*time.Second, 50*time.Millisecond).WithMaxAttempts(1).WithShards([]string{"s-1", "s-2"}, 5, 0.5)},
		[]routing.Service{routing.NewService("s-1", "").WithMaxConnections(50), routing.NewService("s-2", "").WithMaxConnections(50)}, routing.Limits{})
	l := intake.NewLimiter(100, 8<<20)
	address := newLimitedServer(t, l, table, slow.instance("i-1", "s-1"), fast.instance("i-2", "s-2"))
	res, text := post(t, address, strings.Repeat("b", bodyBytes))
	assert.Equal(t, res.StatusCode, http.StatusOK, text)
	assert.Equal(t, res.Header.Get(names.Missing()), "1")
	_, bytes := l.Use()
	assert.Assert(t, bytes >= bodyBytes, "%d", bytes)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, bytes := l.Use(); bytes != 0 {
			return poll.Continue("%d bytes", bytes)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(5*time.Second))
}

// A response for which there is no memory must be passed on as it comes, whole, and whatever
// was charged for it released.
func TestLongResponseWithoutMemoryIsPassedOn(t *testing.T) {
	const bodyBytes = 1 << 20
	target := newLeafServer(t, reply(200, signatureHeader, strings.Repeat("b", bodyBytes)))
	for _, memory := range []int64{200 << 10, 8 << 20} {
		l := intake.NewLimiter(100, memory)
		address := newLimitedServer(t, l, routeTable(routing.NonIdempotent), target.instance("i-1", "s-1"))
		res, text := post(t, address, "body")
		assert.Equal(t, res.StatusCode, http.StatusOK)
		assert.Equal(t, len(text), bodyBytes)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, bytes := l.Use(); bytes != 0 {
				return poll.Continue("%d bytes", bytes)
			}
			return poll.Success()
		}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(5*time.Second))
	}
}
