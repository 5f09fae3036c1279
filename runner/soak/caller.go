package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Paths of the routes.
const (
	pathShards = "/shards/"
	pathOnce   = "/once/"
	pathLong   = "/long/"
)

const (
	shards      = 6
	leastShards = 4
	top         = 10
	routeTime   = 800 * time.Millisecond
	callerPause = 15 * time.Millisecond
	// cutSpan is how long after a process was killed or paused its callers may
	// find their connections cut.
	cutSpan = 6 * time.Second
)

// tally counts how the requests of a run went.
type tally struct {
	served  atomic.Int64
	refused atomic.Int64
	failed  atomic.Int64
}

// caller sends requests to one entry VM after another over connections that it
// keeps, and checks every answer.
type caller struct {
	run     *Run
	number  int
	client  *http.Client
	entries []*vm
}

func newCaller(r *Run, number int) *caller {
	return &caller{run: r, number: number, entries: r.entries,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}, Timeout: 5 * time.Second}}
}

// loop asks until ctx ends.
func (c *caller) loop(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("c%d-%d", c.number, n)
		v := c.entries[n%len(c.entries)]
		switch n % 4 {
		case 0:
			c.ask(v, http.MethodPost, pathOnce, id)
		case 1:
			c.ask(v, http.MethodGet, pathLong, id)
		default:
			c.ask(v, http.MethodGet, pathShards, id)
		}
		time.Sleep(callerPause)
	}
	c.client.CloseIdleConnections()
}

// ask sends one request and checks its answer.
func (c *caller) ask(v *vm, method, path, id string) {
	var body io.Reader = http.NoBody
	if method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("b", 500))
	}
	req, err := http.NewRequest(method, "http://"+v.callers+path+id, body)
	if err != nil {
		c.run.fail("request %s: %v", id, err)
		return
	}
	req.Host = routeHost
	req.Header.Set(names.Request(), id)
	req.Header.Set(names.Deadline(), "2000")
	res, err := c.client.Do(req)
	if err != nil {
		c.run.tally.failed.Add(1)
		if c.run.journal.count(id) > 0 && v.spared(cutSpan) {
			c.run.fail("request %s ran and got no answer from %s, which was not killed: %v", id, v.name, err)
		}
		return
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	switch {
	case res.StatusCode == http.StatusServiceUnavailable:
		c.run.refused(id)
	case err != nil || res.StatusCode != http.StatusOK:
		c.run.tally.failed.Add(1)
	default:
		c.run.tally.served.Add(1)
		if wrong := check(path, id, res.Header, text); wrong != "" {
			c.run.fail("request %s through %s: %s", id, v.name, wrong)
		}
	}
}

// check says what is wrong with a success, or nothing.
func check(path, id string, h http.Header, body []byte) string {
	switch path {
	case pathOnce:
		if s := h.Get(names.Signature()); s != signature(id, "once") || !bytes.Equal(body, part(s)) {
			return "not the whole response to it, signed " + s
		}
	case pathLong:
		if s := h.Get(names.Signature()); s != signature(id, "long") || !bytes.Equal(body, long(id)) {
			return fmt.Sprintf("%d bytes of a long response, signed %s", len(body), s)
		}
	case pathShards:
		return checkMerged(id, h, body)
	}
	return ""
}

func checkMerged(id string, h http.Header, body []byte) string {
	parts := strings.Split(h.Get(names.Parts()), ", ")
	missing, err := strconv.Atoi(h.Get(names.Missing()))
	if err != nil || len(parts)+missing != shards || len(parts) < leastShards {
		return fmt.Sprintf("%d parts and %s missing", len(parts), h.Get(names.Missing()))
	}
	var records [][]byte
	seen := make(map[string]bool)
	for _, s := range parts {
		service, ok := strings.CutPrefix(s, id+".")
		if !ok || seen[service] {
			return "a part that is not its own: " + s
		}
		seen[service] = true
		for r := range slices.Chunk(part(s), recordBytes) {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(records[:top], nil); !bytes.Equal(body, want) {
		return "not the greatest records of its parts"
	}
	return ""
}
