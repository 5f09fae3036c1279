package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// stubTarget answers every request with the same response, which repeats the
// request's id.
type stubTarget struct{ listener net.Listener }

func (s *stubTarget) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go (&stubConn{conn: conn}).run()
	}
}

type stubConn struct{ conn net.Conn }

func (s *stubConn) run() {
	defer s.conn.Close()
	names := exchange.OwnHeaderNames()
	body := `{"records":[]}` + strings.Repeat(" ", 386)
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 400\r\nKeep-Alive: timeout=5\r\n"
	rest := names.Signature() + ": sig\r\n\r\n" + body
	idPrefix := []byte(names.Request() + ": ")
	var response []byte
	reader := bufio.NewReader(s.conn)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if bytes.HasPrefix(line, idPrefix) {
			response = append(append(append(response[:0], head...), line...), rest...)
		}
		if len(line) == 2 {
			if _, err := s.conn.Write(response); err != nil {
				return
			}
		}
	}
}

// BenchmarkQuery measures a query over 90 shards, whose targets are one listener in the
// same process. Run it with -cpu 1, as the VMs have less than one core.
func BenchmarkQuery(b *testing.B) {
	const shards = 90
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer listener.Close()
	go (&stubTarget{listener: listener}).run()
	var names []string
	var services []routing.Service
	var instances []discovery.Instance
	for n := range shards {
		names = append(names, shardName(n))
		services = append(services, routing.NewService(shardName(n), "").WithMaxConnections(100))
		instances = append(instances, discovery.NewInstance(fmt.Sprintf("i-%d", n), shardName(n), listener.Addr().String(), "dc-1", 7))
	}
	route := routing.NewRoute("search", "h", "/").WithTimeoutAndObjective(time.Second, 500*time.Millisecond).WithMaxAttempts(2).WithShards(names, 20, 0.95)
	f := placement.NewFleet("vm-1", "dc-1", placement.NewLimits(0.2, 20, 10*time.Second, 1.5, 5), time.Now().Add(-time.Minute))
	d := New(f, exchange.NewSender(upstream.NewPool(), exchange.OwnHeaderNames()))
	d.SetTable(routing.NewTable(1, []routing.Route{route}, services, routing.Limits{}))
	f.SetTargets(discovery.NewList(instances, 1, time.Now()), time.Now())
	header := http.Header{"Accept": {"application/json"}, "User-Agent": {"planner/3.1"}, "X-Trace": {"4f1c"}}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		// A connection carries an id once.
		r := relay.NewRequest(fmt.Sprintf("id-%d", n), http.MethodGet, "h", "/x/1", "/x/1", header, nil, time.Now()).WithTimeout(time.Second)
		answer, _ := d.Answer(context.Background(), r)
		if merged, ok := answer.(relay.Merged); !ok || merged.Missing() > 0 {
			b.Fatalf("%v", answer)
		}
	}
}

// BenchmarkAuthenticate measures what a table with 82 teams adds to a request: the digest of its
// key, the check on arrival and the check before the first sends.
func BenchmarkAuthenticate(b *testing.B) {
	var keys []string
	for n := range 82 {
		keys = append(keys, fmt.Sprintf("key-of-team-%d", n))
	}
	d := teamDispatcher(&scriptedSender{}, teamTable(keys...), "i-1")
	d.confirmation.SetWithin(time.Hour)
	route, _ := d.Table().Match("h", "/")
	for b.Loop() {
		req := teamRequest("key-of-team-40")
		if _, refused := d.authenticate(route, req, bootclock.Now()); refused {
			b.Fatal("refused")
		}
		if _, _, decision := d.checkAccess(route, req, bootclock.Now()); decision != accessGranted {
			b.Fatal("refused")
		}
	}
}
