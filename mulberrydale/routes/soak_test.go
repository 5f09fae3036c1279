package routes

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	soakTime = 8 * time.Second
	// soakDrain is the drain timeout of targets in the soak.
	soakDrain     = 1500 * time.Millisecond
	soakCallers   = 12
	soakSeedsInCI = 1
)

// exchangeResult is one request of a caller and its answer; status 0 means that the
// connection ended without one.
type exchangeResult struct {
	id, via string
	post    bool
	// unfinished is set if the caller left in the middle of the body.
	unfinished    bool
	sentAt, gotAt time.Time
	status        int
	body          string
	signatures    string
	leaving       bool
}

// soakEntry is an entry VM of the soak.
type soakEntry struct {
	name, callers string
	process       *exec.Cmd
}

// soak is one run of real processes under drawn troubles.
type soak struct {
	record  *soakRecord
	leafs   []*soakLeaf
	entries []*soakEntry

	mu      sync.Mutex
	results []exchangeResult
}

// Runs a control VM and two entry VMs as processes, with targets that reject, ask to wait,
// send second copies late, break off, leave and return under their ids or others, and a list
// with odd entries. Callers go on over kept connections while an entry VM is stopped, some
// end their side, and some leave in the middle of a body. What callers and targets see is judged at the end. ROUTES_SOAK_SEEDS has the
// number of seeds, and ROUTES_SOAK_FROM the first one.
func TestSoakOfRoutes(t *testing.T) {
	seeds, from := soakSeedsInCI, 1
	for name, value := range map[string]*int{"ROUTES_SOAK_SEEDS": &seeds, "ROUTES_SOAK_FROM": &from} {
		if text := os.Getenv(name); text != "" {
			n, err := strconv.Atoi(text)
			assert.NilError(t, err)
			*value = n
		}
	}
	for seed := from; seed < from+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playSoak(t, uint64(seed)) })
	}
}

func playSoak(t *testing.T, seed uint64) {
	s := startSoak(t, seed)
	end := time.Now().Add(soakTime)
	var group sync.WaitGroup
	for n := range soakCallers {
		group.Add(1)
		go (&soakCaller{soak: s, number: n, rng: rand.New(rand.NewPCG(seed, uint64(n)+10)), end: end, group: &group}).run()
	}
	for n, l := range s.leafs {
		group.Add(1)
		go (&leafTrouble{leaf: l, rng: rand.New(rand.NewPCG(seed, uint64(n)+100)), end: end, group: &group}).run()
	}
	time.Sleep(soakTime / 3)
	stopped := s.entries[1].process
	assert.NilError(t, stopped.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, stopped.Wait())
	group.Wait()
	violations := s.judge()
	for _, v := range violations {
		t.Error(v)
	}
	t.Logf("%d requests, %d arrivals at targets, %d waits asked for", len(s.results), len(s.record.arrivals), len(s.record.waits))
}

// startSoak starts the targets and processes and waits until they answer.
func startSoak(t *testing.T, seed uint64) *soak {
	record := &soakRecord{rng: rand.New(rand.NewPCG(seed, 1)), runs: make(map[string]int), broken: make(map[string]bool)}
	s := &soak{record: record}
	for n := range 9 {
		l := &soakLeaf{id: fmt.Sprintf("i-%d", n), service: fmt.Sprintf("s-%d", n%3+1), record: record}
		assert.NilError(t, l.open("127.0.0.1:0"))
		t.Cleanup(l.end)
		s.leafs = append(s.leafs, l)
	}
	list := httptest.NewServer(&soakList{leafs: s.leafs})
	t.Cleanup(list.Close)
	addresses := freeAddresses(t, 9)
	common := fmt.Sprintf(`"data-centre": "oulu-1", "seeds": [%q], "first-start": true, "targets-address": %q, "further-sends": {"ratio": 0.5, "slack": 200}, "grace-ms": 4000, "list-lag-ms": 100, "target-drain-ms": %d`,
		addresses[0], strings.TrimPrefix(list.URL, "http://"), soakDrain.Milliseconds())
	startProcess(t, fmt.Sprintf(`{"vm": "control-1", %s, "operators-address": %q, "sessions-address": %q, "data-folder": %q, "losses": 0, "metrics-address": %q}`,
		common, addresses[1], addresses[0], t.TempDir(), addresses[2]))
	for n := range 2 {
		a := addresses[3+3*n:]
		e := &soakEntry{name: fmt.Sprintf("entry-%d", n+1), callers: a[0]}
		e.process = startProcess(t, fmt.Sprintf(`{"vm": %q, %s, "callers-address": %q, "readiness-address": %q, "metrics-address": %q}`, e.name, common, a[0], a[1], a[2]))
		s.entries = append(s.entries, e)
	}
	waitForStatus(t, 200, "PUT", "http://"+addresses[1]+"/routes", "", validDocument)
	for _, e := range s.entries {
		waitForStatus(t, 200, "GET", "http://"+e.callers+"/round/1", "rounds.example", "")
	}
	return s
}

// leafTrouble gives a target one trouble after the other, which overlap with those of other
// targets, and lets it leave and return.
type leafTrouble struct {
	leaf  *soakLeaf
	rng   *rand.Rand
	end   time.Time
	group *sync.WaitGroup
}

func (l *leafTrouble) run() {
	defer l.group.Done()
	kinds := []troubles{{}, {reject: 0.5}, {reject: 0.3, askToWait: 1}, {lateCopy: 0.3, reject: 0.3}, {cut: 0.15}, {lateCopy: 0.2, cut: 0.05, reject: 0.2, askToWait: 0.5}}
	for time.Now().Before(l.end) {
		l.leaf.set(false, kinds[l.rng.IntN(len(kinds))])
		time.Sleep(time.Duration(300+l.rng.IntN(1200)) * time.Millisecond)
		if l.rng.IntN(3) > 0 {
			continue
		}
		l.leaf.set(true, kinds[l.rng.IntN(len(kinds))])
		time.Sleep(soakDrain + time.Second + time.Duration(l.rng.IntN(1000))*time.Millisecond)
		address := l.leaf.address()
		l.leaf.end()
		time.Sleep(200 * time.Millisecond)
		if l.rng.IntN(2) == 0 {
			l.leaf.rename()
		}
		if l.leaf.open(address) != nil {
			return
		}
	}
}

// soakCaller sends requests over a kept connection until its end. A part of the requests
// goes over a connection whose own side the caller ends after it has sent them.
type soakCaller struct {
	soak   *soak
	number int
	rng    *rand.Rand
	end    time.Time
	group  *sync.WaitGroup
}

func (c *soakCaller) run() {
	defer c.group.Done()
	var conn net.Conn
	var reader *bufio.Reader
	entry := c.soak.entries[c.number%2]
	for n := 0; time.Now().Before(c.end); n++ {
		halfClosed := c.rng.IntN(10) == 0
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", entry.callers, time.Second); err != nil {
				// The VM has stopped; the balancer would send the caller to the other one.
				entry = c.soak.entries[0]
				conn = nil
				time.Sleep(10 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		res, keep := c.exchange(conn, reader, entry, fmt.Sprintf("c%d-%d", c.number, n), halfClosed)
		c.soak.mu.Lock()
		c.soak.results = append(c.soak.results, res)
		c.soak.mu.Unlock()
		if !keep {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(c.rng.IntN(12)) * time.Millisecond)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// exchange sends one request and reads its answer, and returns whether the connection may be
// used again.
func (c *soakCaller) exchange(conn net.Conn, reader *bufio.Reader, e *soakEntry, id string, halfClosed bool) (out exchangeResult, keep bool) {
	out = exchangeResult{id: id, via: e.name, post: c.rng.IntN(2) == 0, sentAt: time.Now()}
	method, path, body := "GET", "/round/1", ""
	if out.post {
		method, path, body = "POST", "/redelivery/1", id
	}
	length := len(body)
	if out.post && c.rng.IntN(20) == 0 {
		out.unfinished, body = true, body[:1]
	}
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: rounds.example\r\n%s: %s\r\n%s: %s\r\n%s: 1500\r\nContent-Length: %d\r\n\r\n%s",
		method, path, wireNames.Request(), id, headerVia, e.name, wireNames.Deadline(), length, body)
	if err != nil || out.unfinished {
		return out, false
	}
	if halfClosed {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return out, false
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return out, false
	}
	out.gotAt, out.status, out.body = time.Now(), res.StatusCode, string(text)
	out.signatures = res.Header.Get(wireNames.Signature()) + res.Header.Get(wireNames.Parts())
	out.leaving = res.Header.Get(wireNames.Leaving()) == "1"
	return out, !res.Close && !halfClosed
}
