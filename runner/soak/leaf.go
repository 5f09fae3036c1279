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

// recordBytes is the length of a record, partRecords the records of a part.
const (
	recordBytes    = 16
	recordsPerPart = 12
	// longBodyBytes is the length of a response that is passed on as it comes in.
	longBodyBytes   = 600 << 10
	leafServiceTime = 4 * time.Millisecond
	leafSlots       = 4
)

var headers = exchange.OwnNames()

// behaviour is what is wrong with a leaf itself.
type behaviour int

const (
	healthy behaviour = iota
	slow
	shedding
	failing
	// resetting leafs run a request and reset the connection.
	resetting
	hanging
)

// leaf is a target that the soak plays. Its journal counts the runs of each
// request.
type leaf struct {
	service    string
	centre     string
	executions *executionLog
	proxy      *proxy.Duplex
	server     *http.Server
	slots      chan struct{}

	mu        sync.Mutex
	behaviour behaviour
	restarts  int
	leaving   bool
}

// executionLog is what all leafs saw.
type executionLog struct {
	mu     sync.Mutex
	counts map[string]int
	// lastArrivals is when a request last came to a data centre.
	lastArrivals map[string]time.Time
}

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

type serveLoop struct {
	server   *http.Server
	listener net.Listener
}

// run serves until the server is closed, which is no failure here.
func (l *serveLoop) run() { _ = l.server.Serve(l.listener) }

func (l *leaf) close() {
	l.proxy.Close()
	_ = l.server.Close()
}

// id names the present start of the leaf.
func (l *leaf) id() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%s-%s-%d", l.service, l.centre, l.restarts)
}

// restart gives the leaf a new id, as if it had ended and started again.
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

// listEntry returns the leaf's entry in the list of targets.
func (l *leaf) listEntry() string {
	id := l.id()
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf(`{"id": %q, "service": %q, "address": %q, "data-centre": %q, "slots": %d, "leaving": %t}`,
		id, l.service, l.proxy.Address(), l.centre, leafSlots, l.leaving)
}

// ServeHTTP runs one request.
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
	// The body was sent whole before; what is missing of it was cut.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	l.executions.recordExecution(id)
	l.respond(w, r, id, b)
}

// respond finishes a request that runs.
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
	// A caller that is gone needs nothing more.
	_, _ = w.Write(body)
}

// signature names the request and the service that answered it.
func signature(id, service string) string { return id + "." + service }

// partBody returns the records of a part, which follow from its signature.
func partBody(signature string) []byte {
	var out bytes.Buffer
	for n := range recordsPerPart {
		sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(signature), uint64(n)))
		out.Write(sum[:recordBytes])
	}
	return out.Bytes()
}

// longBody returns a long body, which follows from the id of its request.
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

// count returns how often a request ran.
func (e *executionLog) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[id]
}

// lastArrival returns when a request last came to a data centre.
func (e *executionLog) lastArrival(centre string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastArrivals[centre]
}
