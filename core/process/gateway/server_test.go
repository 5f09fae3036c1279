package gateway

import (
	"bufio"
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
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// leafServer is a target that passes each request to a function, which writes
// the raw bytes of the response.
type leafServer struct {
	listener net.Listener
	respond  func(conn net.Conn, r *http.Request)

	mu       sync.Mutex
	received []*http.Request
}

// newLeafServer starts a target that listens on a free port until the test
// ends.
func newLeafServer(t *testing.T, respond func(conn net.Conn, r *http.Request)) *leafServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &leafServer{listener: listener, respond: respond}
	go l.run()
	t.Cleanup(func() { _ = listener.Close() })
	return l
}

func (l *leafServer) run() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go (&leafConn{server: l, conn: conn}).run()
	}
}

// leafConn is one connection to a leafServer.
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
		c.server.received = append(c.server.received, r)
		c.server.mu.Unlock()
		c.server.respond(c.conn, r)
	}
}

// requests returns the requests received so far.
func (l *leafServer) requests() []*http.Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*http.Request(nil), l.received...)
}

// instance returns the entry of this target in the list of targets, which gives
// it 2 slots.
func (l *leafServer) instance(id, service string) discovery.Instance {
	return discovery.NewInstance(id, service, l.listener.Addr().String(), "dc-1", 2)
}

// entryServer serves an entry role without a cluster, with leafServers as
// targets.
type entryServer struct {
	entry        *Entry
	server       *httptest.Server
	requestCount int
}

// lastID returns the id of the last request sent by send.
func (s *entryServer) lastID() string { return fmt.Sprintf("req-%d", s.requestCount) }

// newEntryServer starts an entry role with a routing table and targets.
func newEntryServer(t *testing.T, table *routing.Table, instances ...discovery.Instance) *entryServer {
	t.Helper()
	e := newTestEntry(NewTelemetry(zap.NewNop()), 50)
	if table != nil {
		e.dispatcher.SetTable(table)
	}
	e.TargetsRead(discovery.NewList(instances, 1, time.Now()), true, time.Now())
	s := &entryServer{entry: e}
	s.serve(t)
	return s
}

// serve serves the entry role until the test ends.
func (s *entryServer) serve(t *testing.T) {
	t.Helper()
	s.server = httptest.NewServer(s.entry.Handler())
	t.Cleanup(s.server.Close)
}

// newTestEntry returns an entry role whose retry budget allows slack extra
// attempts, plus 0.2 per first attempt, within 10 seconds.
func newTestEntry(telemetry *Telemetry, slack float64) *Entry {
	limits := placement.NewLimits(0.2, slack, 10*time.Second, 1.5, 5)
	e := NewEntry("vm-1", "dc-1", limits, names, nil, telemetry, zap.NewNop())
	e.fleet.SetEntryVMs(1, time.Now())
	return e
}

// send sends a request with a deadline of 900 ms and returns the response and
// its body.
func (s *entryServer) send(t *testing.T, method, path, body string) (*http.Response, string) {
	t.Helper()
	return s.sendWith(t, method, path, body, nil)
}

// sendWith is send with some more header fields.
func (s *entryServer) sendWith(t *testing.T, method, path, body string, fields http.Header) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, s.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "a.example"
	s.requestCount++
	req.Header.Set(names.Request(), s.lastID())
	req.Header.Set(names.Deadline(), "900")
	req.Header.Set("X-Other", "kept")
	for name, values := range fields {
		req.Header[name] = values
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res, string(text)
}

// names are the header names that the tests use.
var names = exchange.OwnHeaderNames()

// routeTable returns a routing table with one route of the given kind to
// service s-1.
func routeTable(kind routing.Kind) *routing.Table {
	return routing.NewTable(1, []routing.Route{routing.NewRoute("r", "a.example", "/x/").WithKind(kind).
		WithTimeoutAndObjective(700*time.Millisecond, 200*time.Millisecond).WithMaxAttempts(2).
		WithSplit([]routing.WeightedService{routing.NewWeightedService("s-1", 1)})},
		[]routing.Service{routing.NewService("s-1", "").WithMaxConnections(50)}, routing.Limits{})
}

// requestIDHeader returns the header line with which a target echoes the id of
// a request.
func requestIDHeader(r *http.Request) string {
	return names.Request() + ": " + r.Header.Get(names.Request()) + "\r\n"
}

// reply returns a function that writes a complete response.
func reply(status int, header, body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n%s", status, requestIDHeader(r), header, len(body), body)
	}
}

// signatureHeader is the header line that a usable response must have.
const signatureHeader = "Mulberrydale-Signature: sig-1\r\n"
