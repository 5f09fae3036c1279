package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// leafServer is a target whose responses a test writes byte by byte.
type leafServer struct {
	socket  net.Listener
	respond func(conn net.Conn, r *http.Request)

	mu   sync.Mutex
	seen []*http.Request
}

func newLeafServer(t *testing.T, respond func(conn net.Conn, r *http.Request)) *leafServer {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &leafServer{socket: socket, respond: respond}
	go l.run()
	t.Cleanup(func() { _ = socket.Close() })
	return l
}

func (l *leafServer) run() {
	for {
		conn, err := l.socket.Accept()
		if err != nil {
			return
		}
		go (&leafConn{server: l, conn: conn}).run()
	}
}

type leafConn struct {
	server *leafServer
	conn   net.Conn
}

func (c *leafConn) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		c.server.mu.Lock()
		c.server.seen = append(c.server.seen, r)
		c.server.mu.Unlock()
		c.server.respond(c.conn, r)
	}
}

func (l *leafServer) requests() []*http.Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*http.Request(nil), l.seen...)
}

func (l *leafServer) instance(id, service string) discovery.Instance {
	return discovery.NewInstance(id, service, l.socket.Addr().String(), "dc-1", 2)
}

// tier is an entry role in front of stand-in targets, without a cluster.
type tier struct {
	entry  *Entry
	server *httptest.Server
	asked  int
}

// lastID returns the id of the request that was asked last.
func (s *tier) lastID() string { return fmt.Sprintf("req-%d", s.asked) }

func newTier(t *testing.T, table *routing.Table, instances ...discovery.Instance) *tier {
	t.Helper()
	e := newTestEntry(NewReport(zap.NewNop()), 50)
	e.dispatcher.SetTable(table)
	e.TargetsChanged(discovery.NewList(instances, 1, time.Now()), time.Now())
	s := httptest.NewServer(e.Handler())
	t.Cleanup(s.Close)
	return &tier{entry: e, server: s}
}

// newTestEntry returns an entry role that may send a number of requests more
// than their callers did.
func newTestEntry(report *Report, slack float64) *Entry {
	limits := placement.NewLimits(0.2, slack, 10*time.Second, 1.5, 5)
	return NewEntry("vm-1", "dc-1", limits, names, nil, report, zap.NewNop())
}

func (s *tier) ask(t *testing.T, method, path, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, s.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "a.example"
	s.asked++
	req.Header.Set(names.Request(), s.lastID())
	req.Header.Set(names.Deadline(), "900")
	req.Header.Set("X-Other", "kept")
	res, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res, string(text)
}

// names are the headers of the tests.
var names = exchange.OwnHeaderNames()

// config returns routes with one for requests of a kind to the service s-1.
func config(kind routing.Kind) *routing.Table {
	return routing.NewTable(1, []routing.Route{routing.NewRoute("r", "a.example", "/x/").WithKind(kind).
		WithTimes(700*time.Millisecond, 200*time.Millisecond).WithMaxAttempts(2).
		WithSplit([]routing.Share{routing.NewShare("s-1", 1)})},
		[]routing.Service{routing.NewService("s-1", "").WithMaxConnections(50)}, routing.Limits{})
}

// idOf returns the header that echoes the id of a request.
func idOf(r *http.Request) string {
	return names.Request() + ": " + r.Header.Get(names.Request()) + "\r\n"
}

// reply writes a whole response.
func reply(status int, header, body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n%s", status, idOf(r), header, len(body), body)
	}
}

const signed = "Mulberrydale-Signature: sig-1\r\n"

func TestARequestReachesTheTargetUnchanged(t *testing.T) {
	l := newLeafServer(t, reply(200, signed, "ok"))
	s := newTier(t, config(routing.NonIdempotent), l.instance("i-1", "s-1"))
	res, body := s.ask(t, "POST", "/x/a%2Fb//c?q=1&r=%20", "the body")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, body, "ok")
	assert.Equal(t, res.Header.Get(names.Signature()), "sig-1")
	r := l.requests()[0]
	got, _ := io.ReadAll(r.Body)
	assert.Equal(t, string(got), "the body")
	assert.Equal(t, r.Method, "POST")
	assert.Equal(t, r.RequestURI, "/x/a%2Fb//c?q=1&r=%20")
	assert.Equal(t, r.Host, "a.example")
	assert.Equal(t, r.Header.Get(names.Request()), "req-1")
	assert.Equal(t, r.Header.Get(names.Target()), "i-1")
	assert.Equal(t, r.Header.Get("X-Other"), "kept")
	assert.Equal(t, r.Header.Get("Connection"), "")
	left := r.Header.Get(names.Deadline())
	assert.Assert(t, left != "" && left <= "700" && left > "500", left)
}

// Whatever a target sends that is not the whole response to the request, the
// caller never gets it as one.
func TestOnlyAWholeResponseToTheRequestIsPassedOn(t *testing.T) {
	tests := []struct {
		name    string
		respond func(net.Conn, *http.Request)
		once    int
	}{
		{"of another request", func(c net.Conn, _ *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nMulberrydale-Request: other\r\n%sContent-Length: 2\r\n\r\nno", signed)
		}, 502},
		{"shorter than its length", func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%sContent-Length: 20\r\n\r\nhalf", idOf(r), signed)
			_ = c.Close()
		}, 502},
		{"a chunk is missing", func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%sTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", idOf(r), signed)
			_ = c.Close()
		}, 502},
		{"reset without a length", func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s\r\nhalf", idOf(r), signed)
			_ = c.(*net.TCPConn).SetLinger(0)
			time.Sleep(20 * time.Millisecond)
			_ = c.Close()
		}, 502},
		{"no HTTP", func(c net.Conn, _ *http.Request) { _, _ = c.Write([]byte("\x00\x01\x02\r\n\r\n")) }, 502},
		{"without a signature", reply(200, "", "no"), 502},
		{"encoded", reply(200, signed+"Content-Encoding: gzip\r\n", "no"), 502},
		{"closed without a byte", func(c net.Conn, _ *http.Request) { _ = c.Close() }, 502},
		{"none at all", func(net.Conn, *http.Request) {}, 504},
		{"503 that does not say not run", reply(503, signed, "no"), 502},
		{"429 that does not say not run", reply(429, signed, "no"), 502},
		{"408 that does not say not run", reply(408, signed, "no"), 502},
		{"a failure of the target", reply(500, signed, "broken"), 500},
		{"refused by the target", reply(503, "Mulberrydale-Not-Run: 1\r\n", ""), 503},
		{"another instance", reply(421, "", ""), 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bad := newLeafServer(t, tt.respond)
			s := newTier(t, config(routing.NonIdempotent), bad.instance("i-bad", "s-1"))
			res, _ := s.ask(t, "GET", "/x/1", "")
			assert.Equal(t, res.StatusCode, tt.once)
			if tt.once != 503 {
				assert.Equal(t, len(bad.requests()), 1, "it may run once only")
			} else {
				assert.Assert(t, res.Header.Get("Retry-After") != "")
			}
		})
		t.Run(tt.name+", repeated elsewhere", func(t *testing.T) {
			bad := newLeafServer(t, tt.respond)
			good := newLeafServer(t, reply(200, signed, "ok"))
			s := newTier(t, config(routing.Idempotent), bad.instance("i-bad", "s-1"), good.instance("i-good", "s-1"))
			for range 8 {
				res, body := s.ask(t, "GET", "/x/1", "")
				assert.Equal(t, res.StatusCode, 200)
				assert.Equal(t, body, "ok")
			}
		})
	}
}

func TestAResponseWithoutALengthIsPassedOnWhole(t *testing.T) {
	body := strings.Repeat("0123456789", 9000)
	l := newLeafServer(t, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s\r\n%s", idOf(r), signed, body)
		_ = c.Close()
	})
	s := newTier(t, config(routing.Idempotent), l.instance("i-1", "s-1"))
	res, got := s.ask(t, "GET", "/x/1", "")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, got, body)
	assert.Equal(t, res.ContentLength, int64(len(body)))
}

// Whatever comes after a whole response on the same connection, at once or when
// the next request is on its way already, belongs to no request.
func TestAnExtraResponseIsNotTakenForTheNext(t *testing.T) {
	extras := []struct{ name, text string }{
		{"with the id of its request", "HTTP/1.1 200 OK\r\nMulberrydale-Request: req-0\r\n" + signed + "Content-Length: 5\r\n\r\nextra"},
		{"without an id", "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 5\r\n\r\nextra"},
		{"a refusal without an id", "HTTP/1.1 503 X\r\nMulberrydale-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, tt := range extras {
		t.Run(tt.name+", at once", func(t *testing.T) {
			l := newLeafServer(t, func(c net.Conn, r *http.Request) {
				reply(200, signed, r.Header.Get(names.Request()))(c, r)
				_, _ = c.Write([]byte(tt.text))
			})
			s := newTier(t, config(routing.Idempotent), l.instance("i-1", "s-1"))
			for range 20 {
				res, body := s.ask(t, "GET", "/x/1", "")
				assert.Assert(t, body != "extra")
				// Sent once more over a new connection, it may still meet one.
				assert.Assert(t, res.StatusCode != 200 || body == s.lastID(), body)
			}
		})
		t.Run(tt.name+", before the next response", func(t *testing.T) {
			n := 0
			l := newLeafServer(t, func(c net.Conn, r *http.Request) {
				if n++; n > 1 {
					_, _ = c.Write([]byte(tt.text))
				}
				reply(200, signed, "right")(c, r)
			})
			s := newTier(t, config(routing.NonIdempotent), l.instance("i-1", "s-1"))
			res, _ := s.ask(t, "GET", "/x/1", "")
			assert.Equal(t, res.StatusCode, 200)
			res, body := s.ask(t, "GET", "/x/1", "")
			assert.Equal(t, res.StatusCode, 502, body)
			assert.Equal(t, len(l.requests()), 2, "what may have run is not sent again")
		})
	}
}

// shardConfig returns routes with one that asks a number of shards.
func shardConfig(n int) *routing.Table {
	var shards []string
	var services []routing.Service
	for i := range n {
		shards = append(shards, fmt.Sprintf("s-%d", i))
		services = append(services, routing.NewService(fmt.Sprintf("s-%d", i), ""))
	}
	return routing.NewTable(1, []routing.Route{routing.NewRoute("r", "a.example", "/x/").
		WithTimes(700*time.Millisecond, 200*time.Millisecond).WithMaxAttempts(2).
		WithShards(shards, 3, 0.6)}, services, routing.Limits{})
}

func TestShardsAreMerged(t *testing.T) {
	record := func(b string) string { return strings.Repeat(b, 16) }
	parts := []string{record("a") + record("e"), record("c") + "rest", record("d") + record("b")}
	var instances []discovery.Instance
	for n, part := range parts {
		l := newLeafServer(t, reply(200, fmt.Sprintf("Mulberrydale-Signature: sig-%d\r\n", n), part))
		instances = append(instances, l.instance(fmt.Sprintf("i-%d", n), fmt.Sprintf("s-%d", n)))
	}
	s := newTier(t, shardConfig(3), instances...)
	res, body := s.ask(t, "GET", "/x/1", "")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, body, record("e")+record("d")+record("c"))
	assert.Equal(t, res.Header.Get(names.Parts()), "sig-0, sig-1, sig-2")
	assert.Equal(t, res.Header.Get(names.Missing()), "0")
	// One shard has no target: the answer says that it is missing.
	s = newTier(t, shardConfig(3), instances[:2]...)
	res, body = s.ask(t, "GET", "/x/1", "")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, body, record("e")+record("c")+record("a"))
	assert.Equal(t, res.Header.Get(names.Missing()), "1")
	// Too few have one: refused at once, and truly not run.
	began := time.Now()
	s = newTier(t, shardConfig(3), instances[:1]...)
	res, _ = s.ask(t, "GET", "/x/1", "")
	assert.Equal(t, res.StatusCode, 503)
	assert.Assert(t, time.Since(began) < 150*time.Millisecond)
}

func TestWhatNoRouteAllowsIsNotFound(t *testing.T) {
	l := newLeafServer(t, reply(200, signed, "ok"))
	s := newTier(t, config(routing.Idempotent), l.instance("i-1", "s-1"))
	res, _ := s.ask(t, "GET", "/y/1", "")
	assert.Equal(t, res.StatusCode, 404)
	assert.Equal(t, len(l.requests()), 0)
	// Without any routes nothing is known, so nothing is denied.
	e := newTestEntry(NewReport(zap.NewNop()), 0)
	w := httptest.NewRecorder()
	e.gateway.ServeHTTP(w, httptest.NewRequest("GET", "/y/1", nil))
	assert.Equal(t, w.Code, 503)
}

// The caller leaves while its request is at a target: the send ends soon.
func TestTheSendEndsAfterItsCallerLeft(t *testing.T) {
	gone := make(chan time.Time, 1)
	l := newLeafServer(t, func(c net.Conn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		gone <- time.Now()
	})
	s := newTier(t, config(routing.Idempotent), l.instance("i-1", "s-1"))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", s.server.URL+"/x/1", nil)
	assert.NilError(t, err)
	req.Host = "a.example"
	_, err = http.DefaultTransport.RoundTrip(req)
	assert.Assert(t, err != nil)
	left := time.Now()
	assert.Assert(t, (<-gone).Sub(left) < 450*time.Millisecond)
}

func TestARefusedConnectionSendsNothing(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := socket.Addr().String()
	assert.NilError(t, socket.Close())
	s := newTier(t, config(routing.NonIdempotent), discovery.NewInstance("i-1", "s-1", address, "dc-1", 2))
	res, _ := s.ask(t, "POST", "/x/1", "body")
	assert.Equal(t, res.StatusCode, 503)
	assert.Equal(t, upstream.NewPool().OpenConnections(), int64(0))
}
