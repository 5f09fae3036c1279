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
	recordBytes = 16
	partRecords = 12
	// longBytes is the length of a response that is passed on as it comes in.
	longBytes = 600 << 10
	leafWork  = 4 * time.Millisecond
	leafSlots = 4
)

var names = exchange.OwnHeaderNames()

// trouble is what is wrong with a leaf itself.
type trouble int

const (
	sound trouble = iota
	slow
	shedding
	failing
	// losing leafs run a request and reset the connection.
	losing
	hanging
)

// leaf is a target that the soak plays. Its journal counts the runs of each
// request.
type leaf struct {
	service string
	centre  string
	journal *journal
	proxy   *proxy.Duplex
	server  *http.Server
	slots   chan struct{}

	mu      sync.Mutex
	trouble trouble
	start   int
	leaving bool
}

// journal is what all leafs saw.
type journal struct {
	mu   sync.Mutex
	runs map[string]int
	// lastAt is when a request last came to a data centre.
	lastAt map[string]time.Time
}

func newLeaf(service, centre string, j *journal) (*leaf, error) {
	l := &leaf{service: service, centre: centre, journal: j, slots: make(chan struct{}, leafSlots)}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.server = &http.Server{Handler: l, ReadHeaderTimeout: time.Minute}
	go (&serveLoop{server: l.server, socket: socket}).run()
	l.proxy, err = proxy.NewDuplex("127.0.0.1:0", socket.Addr().String())
	return l, err
}

type serveLoop struct {
	server *http.Server
	socket net.Listener
}

// run serves until the server is closed, which is no failure here.
func (l *serveLoop) run() { _ = l.server.Serve(l.socket) }

func (l *leaf) close() {
	l.proxy.Close()
	_ = l.server.Close()
}

// id names the present start of the leaf.
func (l *leaf) id() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%s-%s-%d", l.service, l.centre, l.start)
}

// restart gives the leaf a new id, as if it had ended and started again.
func (l *leaf) restart() {
	l.mu.Lock()
	l.start++
	l.leaving = false
	l.mu.Unlock()
	l.proxy.Reset()
}

func (l *leaf) set(t trouble) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trouble = t
}

func (l *leaf) leave(leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = leaving
}

// entry returns the leaf's entry in the list of targets.
func (l *leaf) entry() string {
	id := l.id()
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf(`{"id": %q, "service": %q, "address": %q, "data-centre": %q, "slots": %d, "leaving": %t}`,
		id, l.service, l.proxy.Address(), l.centre, leafSlots, l.leaving)
}

// ServeHTTP runs one request.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.Request())
	w.Header().Set(names.Request(), id)
	if r.Header.Get(names.Target()) != l.id() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.journal.arrived(l.centre, time.Now())
	l.mu.Lock()
	t := l.trouble
	l.mu.Unlock()
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	default:
		t = shedding
	}
	if t == shedding && rand.IntN(10) < 7 {
		w.Header().Set(names.NotRun(), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// The body was sent whole before; what is missing of it was cut.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	l.journal.ran(id)
	l.answer(w, r, id, t)
}

// answer finishes a request that runs.
func (l *leaf) answer(w http.ResponseWriter, r *http.Request, id string, t trouble) {
	work := leafWork
	switch t {
	case slow:
		work *= 20
	case hanging:
		work = time.Minute
	case failing:
		if rand.IntN(2) == 0 {
			w.Header().Set(names.Signature(), signature(id, l.service))
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	case losing:
		if rand.IntN(2) == 0 {
			panic(http.ErrAbortHandler)
		}
	case sound, shedding:
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	body := part(signature(id, l.service))
	if strings.HasPrefix(r.URL.Path, pathLong) {
		body = long(id)
	}
	w.Header().Set(names.Signature(), signature(id, l.service))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A caller that is gone needs nothing more.
	_, _ = w.Write(body)
}

// signature names the request and the service that answered it.
func signature(id, service string) string { return id + "." + service }

// part returns the records of a part, which follow from its signature.
func part(signature string) []byte {
	var out bytes.Buffer
	for n := range partRecords {
		sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(signature), uint64(n)))
		out.Write(sum[:recordBytes])
	}
	return out.Bytes()
}

// long returns a long body, which follows from the id of its request.
func long(id string) []byte {
	sum := sha256.Sum256([]byte(id))
	return bytes.Repeat(sum[:], longBytes/len(sum))
}

func (j *journal) ran(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id]++
}

func (j *journal) arrived(centre string, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastAt[centre] = now
}

// count returns how often a request ran.
func (j *journal) count(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[id]
}

// last returns when a request last came to a data centre.
func (j *journal) last(centre string) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastAt[centre]
}
