// Package driver sends requests as callers do, at a steady rate or one by one,
// and returns the answers for evaluation.
package driver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/version/document"
)

// maxAnswerBytes is the largest body that is read. A longer one is truncated,
// so that decoding it fails.
const maxAnswerBytes = 64 << 20

// Answer is the decoded response to a request, or the error if there is no
// valid response.
type Answer struct {
	callerID        string
	vm              string
	requestName     string
	sentAt          time.Time
	latency         time.Duration
	code            int
	snapshot        string
	version         int
	asked           int
	answered        int
	missingServices []string
	resultLeafs     []string
	resultCallerIDs []string
	resultSnapshots []string
	maxLeafTime     time.Duration
	err             error
}

// CallerID returns the caller id that the request carried in its parameters.
func (a Answer) CallerID() string { return a.callerID }

// VM returns the name of the VM that answered, or an empty string if the
// response doesn't state it.
func (a Answer) VM() string { return a.vm }

// SentAt returns when the request was sent.
func (a Answer) SentAt() time.Time { return a.sentAt }

// Latency returns the time from sending the request until the body was read, or
// 0 if no response came.
func (a Answer) Latency() time.Duration { return a.latency }

// Code returns the numeric result code, or 0 if there is no response or its
// body is not a document. It is 100 if the result code is missing or invalid,
// in which case Err returns an error.
func (a Answer) Code() int { return a.code }

// Snapshot returns the snapshot that the answer was computed from, as the
// answer states it.
func (a Answer) Snapshot() string { return a.snapshot }

// Coverage returns how many services were asked and how many answered. Both are
// 0 if the answer has no list of results.
func (a Answer) Coverage() (asked, answered int) { return a.asked, a.answered }

// MissingServices returns the services without a result, each as its name, a
// space and the reason.
func (a Answer) MissingServices() []string { return a.missingServices }

// ResultLeafs returns the name of the leaf in each result, as the result states
// it. ResultCallerIDs and ResultSnapshots are in the same order.
func (a Answer) ResultLeafs() []string { return a.resultLeafs }

// ResultCallerIDs returns the caller id in each result.
func (a Answer) ResultCallerIDs() []string { return a.resultCallerIDs }

// ResultSnapshots returns the snapshot in each result.
func (a Answer) ResultSnapshots() []string { return a.resultSnapshots }

// MaxLeafTime returns the longest processing time that a leaf states in its
// result, or 0 if none states one.
func (a Answer) MaxLeafTime() time.Duration { return a.maxLeafTime }

// Err returns why there is no valid answer, or nil.
func (a Answer) Err() error { return a.err }

// Caller sends requests to VMs over persistent connections.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller with a connection pool of its own.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1024,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// Request is a query or a non-idempotent request, with the address of the VM
// that it goes to.
type Request struct {
	address   string
	resource  string
	name      string
	callerID  string
	requestID string
	deadline  time.Duration
}

// NewQuery returns a query to the VM at an address. The deadline is sent to the
// VM in whole milliseconds.
func NewQuery(address, name, callerID string, deadline time.Duration) Request {
	return Request{address: address, resource: "queries", name: name, callerID: callerID, deadline: deadline}
}

// NewNonIdempotent returns a non-idempotent request to the VM at an address.
// Of all requests with the same request id, at most one may run. The deadline is
// sent as in NewQuery.
func NewNonIdempotent(address, name, callerID, requestID string, deadline time.Duration) Request {
	return Request{address: address, resource: "requests", name: name, callerID: callerID, requestID: requestID, deadline: deadline}
}

// body returns the JSON body of the request.
func (r Request) body() []byte {
	id := ""
	if r.requestID != "" {
		id = fmt.Sprintf(`,"request-id":%q`, r.requestID)
	}
	return fmt.Appendf(nil, `{"parameters":{"caller-id":%q},"deadline-ms":%d%s}`, r.callerID, r.deadline.Milliseconds(), id)
}

// Send sends a request and reads the whole answer. Failures are returned in the
// answer. Except for the time limit for dialling, only ctx limits the wait.
func (c *Caller) Send(ctx context.Context, r Request) Answer {
	a := Answer{callerID: r.callerID, requestName: r.name, sentAt: time.Now()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%s/%s", r.address, r.resource, r.name), bytes.NewReader(r.body()))
	if err != nil {
		a.err = errors.Wrap(err, "create request")
		return a
	}
	// Without GetBody the HTTP client can't retry on a broken connection, so
	// the request is sent once and a broken connection shows up as an error.
	req.GetBody = nil
	res, err := c.client.Do(req)
	if err != nil {
		a.err = errors.Wrap(err, "send request")
		return a
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	a.latency = time.Since(a.sentAt)
	if err != nil {
		a.err = errors.Wrap(err, "read response body")
		return a
	}
	a.err = a.parse(text)
	return a
}

// parse decodes the body of a response into the answer. If the body has no list
// of results, as in a refusal, the coverage stays 0.
func (a *Answer) parse(text []byte) error {
	doc, err := document.Parse(text)
	if err != nil {
		return err
	}
	o := doc.Root()
	a.code = o.Int("result-code", 100, 999)
	a.vm = o.StringOr("vm", "")
	a.snapshot = o.StringOr("snapshot", "")
	a.version = o.IntOr("configuration-version", 0, 1<<40, 0)
	if !o.Has("results") {
		return doc.Err()
	}
	a.asked = o.Int("services-asked", 0, 1<<20)
	a.answered = o.Int("services-answered", 0, 1<<20)
	for _, m := range o.Objects("services-missing") {
		a.missingServices = append(a.missingServices, m.String("service")+" "+m.String("reason"))
	}
	for _, r := range o.Objects("results") {
		for _, item := range r.Objects("result") {
			a.resultLeafs = append(a.resultLeafs, item.String("leaf"))
			a.resultCallerIDs = append(a.resultCallerIDs, item.StringOr("caller", ""))
			a.resultSnapshots = append(a.resultSnapshots, item.StringOr("snapshot", ""))
			a.maxLeafTime = max(a.maxLeafTime, time.Duration(item.IntOr("took-us", 0, 1<<40, 0))*time.Microsecond)
		}
	}
	return doc.Err()
}

// Load is an open-loop load: requests are sent at a steady rate, whether or not
// earlier ones have been answered.
type Load struct {
	caller     *Caller
	rate       float64
	newRequest func(i int) Request

	mu      sync.Mutex
	answers []Answer
	wg      sync.WaitGroup
}

// NewLoad returns a load of rate requests a second; newRequest(i) returns the
// i-th request, counted from 0.
func NewLoad(caller *Caller, rate float64, newRequest func(i int) Request) *Load {
	return &Load{caller: caller, rate: rate, newRequest: newRequest}
}

// Run sends requests for the duration d or until ctx ends, then waits for the
// answers and returns them in the order in which they arrived. It must be
// called only once for each load.
func (l *Load) Run(ctx context.Context, d time.Duration) []Answer {
	began := time.Now()
	for i := 0; ; i++ {
		due := began.Add(time.Duration(float64(i) / l.rate * float64(time.Second)))
		if due.Sub(began) >= d || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		l.wg.Add(1)
		go (&loadSender{load: l, request: l.newRequest(i)}).run(ctx)
	}
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answers
}

// loadSender sends one request of a load and stores the answer.
type loadSender struct {
	load    *Load
	request Request
}

func (s *loadSender) run(ctx context.Context) {
	defer s.load.wg.Done()
	a := s.load.caller.Send(ctx, s.request)
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	s.load.answers = append(s.load.answers, a)
}
