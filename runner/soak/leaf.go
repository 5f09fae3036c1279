package soak

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/runner/proxy"
)

const (
	// recordBytes is the length of a record.
	recordBytes = 16
	// recordsPerPart is the number of records in a response to a shard request.
	recordsPerPart = 12
	// longBodyBytes is the length of a response that entry VMs stream to the
	// caller while they receive it.
	longBodyBytes   = 600 << 10
	leafServiceTime = 4 * time.Millisecond
	leafSlots       = 4
)

var headers = exchange.OwnHeaderNames()

// behaviour is how a leaf handles requests.
type behaviour int

const (
	// healthy leafs answer every request while they have a free slot.
	healthy behaviour = iota
	// slow leafs take 20 times leafServiceTime.
	slow
	// shedding leafs refuse 70% of the requests.
	shedding
	// failing leafs execute every request and answer half of them with
	// status 500.
	failing
	// resetting leafs execute every request and reset the connections of half
	// of them.
	resetting
	// hanging leafs answer after a minute.
	hanging
)

// leaf is a fake target. It adds every request that it executes to a log that
// all leafs of a run share.
type leaf struct {
	service    string
	centre     string
	executions *executionLog
	proxy      *proxy.Duplex
	server     *http.Server
	slots      chan struct{}

	mu        sync.Mutex
	behaviour behaviour
	// restarts counts the restarts; it is a part of the leaf's id.
	restarts int
	leaving  bool
}

// executionLog records how often the leafs executed each request and when the
// last request arrived at each data centre. Requests that a leaf refuses with
// status 421 do not count as arrivals.
type executionLog struct {
	mu sync.Mutex
	// counts holds how often each request was executed, by request id.
	counts map[string]int
	// lastArrivals holds the time of the last request to each data centre.
	lastArrivals map[string]time.Time
}

// newLeaf starts a leaf that serves HTTP behind a proxy.
func newLeaf(service, centre string, executions *executionLog) (*leaf, error) {
	l := &leaf{service: service, centre: centre, executions: executions, slots: make(chan struct{}, leafSlots)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.server = &http.Server{Handler: l, ReadHeaderTimeout: time.Minute}
	go (&serveLoop{server: l.server, listener: listener}).run()
	l.proxy, err = proxy.NewDuplex("127.0.0.1:0", listener.Addr().String())
	return l, err
}

// serveLoop serves the connections of a listener.
type serveLoop struct {
	server   *http.Server
	listener net.Listener
}

// run serves until the server is closed. The error that Serve then returns is
// expected.
func (l *serveLoop) run() { _ = l.server.Serve(l.listener) }

func (l *leaf) close() {
	l.proxy.Close()
	_ = l.server.Close()
}

// id returns the leaf's target id, which changes with every restart.
func (l *leaf) id() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%s-%s-%d", l.service, l.centre, l.restarts)
}

// restart simulates a restart of the leaf's process: the leaf gets a new id
// and its connections are reset.
func (l *leaf) restart() {
	l.mu.Lock()
	l.restarts++
	l.leaving = false
	l.mu.Unlock()
	l.proxy.Reset()
}

func (l *leaf) setBehaviour(b behaviour) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.behaviour = b
}

func (l *leaf) setLeaving(leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = leaving
}

// listEntry returns the leaf's JSON entry in the list of targets.
func (l *leaf) listEntry() string {
	id := l.id()
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf(`{"id": %q, "service": %q, "address": %q, "data-centre": %q, "slots": %d, "leaving": %t}`,
		id, l.service, l.proxy.Address(), l.centre, leafSlots, l.leaving)
}

// ServeHTTP executes one request, or refuses it without executing it. It
// refuses every request that names another target id, with status 421. While
// the leaf is shedding or has no free slot, it refuses 70% of the requests, with
// status 503 and the not-run header.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.Request())
	w.Header().Set(headers.Request(), id)
	if r.Header.Get(headers.Target()) != l.id() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.executions.recordArrival(l.centre, time.Now())
	l.mu.Lock()
	b := l.behaviour
	l.mu.Unlock()
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	default:
		b = shedding
	}
	if b == shedding && rand.IntN(10) < 7 {
		w.Header().Set(headers.NotRun(), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// Entry VMs send a body only after they have received all of it, so an
	// incomplete body means a broken connection.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	l.executions.recordExecution(id)
	l.respond(w, r, id, b)
}

// respond answers a request that was recorded as executed.
func (l *leaf) respond(w http.ResponseWriter, r *http.Request, id string, b behaviour) {
	serviceTime := leafServiceTime
	switch b {
	case slow:
		serviceTime *= 20
	case hanging:
		serviceTime = time.Minute
	case failing:
		if rand.IntN(2) == 0 {
			w.Header().Set(headers.Signature(), signature(id, l.service))
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	case resetting:
		if rand.IntN(2) == 0 {
			panic(http.ErrAbortHandler)
		}
	case healthy, shedding:
	}
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
		return
	}
	body := partBody(signature(id, l.service))
	if strings.HasPrefix(r.URL.Path, pathLong) {
		body = longBody(id)
	}
	w.Header().Set(headers.Signature(), signature(id, l.service))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A write fails only if the client has closed the connection.
	_, _ = w.Write(body)
}

// signature returns the signature of a response: the request id and the name
// of the service that answered.
func signature(id, service string) string { return id + "." + service }

// partBody returns the records of a response, derived from its signature.
func partBody(signature string) []byte {
	var out bytes.Buffer
	for n := range recordsPerPart {
		sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(signature), uint64(n)))
		out.Write(sum[:recordBytes])
	}
	return out.Bytes()
}

// longBody returns a body of longBodyBytes, derived from the request id.
func longBody(id string) []byte {
	sum := sha256.Sum256([]byte(id))
	return bytes.Repeat(sum[:], longBodyBytes/len(sum))
}

func (e *executionLog) recordExecution(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[id]++
}

func (e *executionLog) recordArrival(centre string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastArrivals[centre] = now
}

// count returns how often a request was executed.
func (e *executionLog) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[id]
}

// lastArrival returns when the last request arrived at a data centre.
func (e *executionLog) lastArrival(centre string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastArrivals[centre]
}
