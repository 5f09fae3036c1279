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

// Path prefixes of the routes; the request id follows the prefix.
const (
	pathShards = "/shards/"
	pathOnce   = "/once/"
	pathLong   = "/long/"
)

const (
	shardCount     = 6
	minShards      = 4
	topRecords     = 10
	routeTimeLimit = 800 * time.Millisecond
	// callerInterval is the pause of a caller after each request, and of
	// awaitService after each round of requests.
	callerInterval = 15 * time.Millisecond
	// connectionLossWindow is the time after an entry VM was killed, paused or
	// resumed in which it is no violation if an executed request gets no
	// response.
	connectionLossWindow = 6 * time.Second
)

// outcomeCounts counts the requests of a run by outcome: served with status
// 200, refused with status 503, or failed in any other way.
type outcomeCounts struct {
	served  atomic.Int64
	refused atomic.Int64
	failed  atomic.Int64
}

// caller sends requests to the entry VMs in turn over keep-alive connections
// and checks every response.
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

// loop sends requests until ctx ends. Every fourth request, starting with
// number 0, is non-idempotent; checkExecutions relies on this numbering.
func (c *caller) loop(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("c%d-%d", c.number, n)
		v := c.entries[n%len(c.entries)]
		switch n % 4 {
		case 0:
			c.send(v, http.MethodPost, pathOnce, id)
		case 1:
			c.send(v, http.MethodGet, pathLong, id)
		default:
			c.send(v, http.MethodGet, pathShards, id)
		}
		time.Sleep(callerInterval)
	}
	c.client.CloseIdleConnections()
}

// send sends one request and checks its response.
func (c *caller) send(v *vm, method, path, id string) {
	var body io.Reader = http.NoBody
	if method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("b", 500))
	}
	req, err := http.NewRequest(method, "http://"+v.callersAddress+path+id, body)
	if err != nil {
		c.run.reportViolation("create request %s: %v", id, err)
		return
	}
	req.Host = routeHost
	req.Header.Set(headers.Request(), id)
	req.Header.Set(headers.Deadline(), "2000")
	res, err := c.client.Do(req)
	if err != nil {
		c.run.outcomes.failed.Add(1)
		if c.run.executions.count(id) > 0 && v.undisturbedFor(connectionLossWindow) {
			c.run.reportViolation("request %s was executed but got no response from %s, which was neither killed nor paused: %v", id, v.name, err)
		}
		return
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	switch {
	case res.StatusCode == http.StatusServiceUnavailable:
		c.run.recordRefusal(id)
	case err != nil || res.StatusCode != http.StatusOK:
		c.run.outcomes.failed.Add(1)
	default:
		c.run.outcomes.served.Add(1)
		if problem := checkResponse(path, id, res.Header, text); problem != "" {
			c.run.reportViolation("request %s through %s: %s", id, v.name, problem)
		}
	}
}

// checkResponse describes what is wrong with a 200 response to request id. It
// returns "" for a correct response.
func checkResponse(path, id string, h http.Header, body []byte) string {
	switch path {
	case pathOnce:
		if s := h.Get(headers.Signature()); s != signature(id, "once") || !bytes.Equal(body, partBody(s)) {
			return "the signature or the body is not that of the expected response, signature " + s
		}
	case pathLong:
		if s := h.Get(headers.Signature()); s != signature(id, "long") || !bytes.Equal(body, longBody(id)) {
			return fmt.Sprintf("the signature or the body of %d bytes is not that of the expected long response, signature %s", len(body), s)
		}
	case pathShards:
		return checkMergedResponse(id, h, body)
	}
	return ""
}

// checkMergedResponse checks a response that an entry VM merged from several
// shards. There must be at least minShards parts, each for this request and from
// a different service, and together with the missing shards they must add up to
// shardCount. The body must hold the topRecords greatest records of the parts,
// the greatest first.
func checkMergedResponse(id string, h http.Header, body []byte) string {
	parts := strings.Split(h.Get(headers.Parts()), ", ")
	missing, err := strconv.Atoi(h.Get(headers.Missing()))
	if err != nil || len(parts)+missing != shardCount || len(parts) < minShards {
		return fmt.Sprintf("too few parts, or parts and missing shards that do not add up to the number of shards: %d parts and %s missing shards", len(parts), h.Get(headers.Missing()))
	}
	var records [][]byte
	seen := make(map[string]bool)
	for _, s := range parts {
		service, ok := strings.CutPrefix(s, id+".")
		if !ok || seen[service] {
			return "a part is repeated or belongs to another request, signature " + s
		}
		seen[service] = true
		for r := range slices.Chunk(partBody(s), recordBytes) {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(records[:topRecords], nil); !bytes.Equal(body, want) {
		return "the body does not hold the greatest records of the parts"
	}
	return ""
}
