package routes

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
)

// headerVia names the entry VM that a caller of the soak uses. It is passed on to targets
// like any other header.
const headerVia = "X-Via"

// wireNames are the names of the headers between VMs and targets.
var wireNames = exchange.OwnHeaderNames()

// arrival is a request that reached a run of a target.
type arrival struct {
	leaf string
	run  int
	id   string
	via  string
	at   time.Time
}

// wait is the time in which a run of a target wants nothing from an entry VM.
type wait struct {
	leaf     string
	run      int
	via      string
	from, to time.Time
}

// soakRecord is what targets have seen and done. All targets of a soak share it.
type soakRecord struct {
	mu       sync.Mutex
	rng      *rand.Rand
	arrivals []arrival
	waits    []wait
	runs     map[string]int
	// broken has the ids of requests whose response a target broke off or never sent.
	broken map[string]bool
}

// draw reports true with a probability.
func (s *soakRecord) draw(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < probability
}

// between returns a random time.
func (s *soakRecord) between(least, most time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return least + time.Duration(s.rng.Int64N(int64(most-least)))
}

// troubles are the probabilities with which a target misbehaves.
type troubles struct {
	reject, askToWait, lateCopy, cut float64
}

// soakLeaf is a target that misbehaves as its troubles say, leaves and starts again at its
// address, under the id that it had or another one.
type soakLeaf struct {
	service string
	record  *soakRecord

	mu       sync.Mutex
	id       string
	listener net.Listener
	conns    map[net.Conn]bool
	run      int
	leaving  bool
	troubles troubles
}

// open starts a run of the target.
func (l *soakLeaf) open(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener, l.leaving = listener, false
	l.conns = make(map[net.Conn]bool)
	l.run++
	go (&soakAccept{leaf: l, listener: listener}).run()
	return nil
}

// end ends the current run with its connections.
func (l *soakLeaf) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// rename gives the target another id, under which it starts next.
func (l *soakLeaf) rename() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id += "+"
}

func (l *soakLeaf) name() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

func (l *soakLeaf) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener.Addr().String()
}

func (l *soakLeaf) set(leaving bool, t troubles) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving, l.troubles = leaving, t
}

func (l *soakLeaf) state() (run int, leaving bool, t troubles) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.run, l.leaving, l.troubles
}

// soakAccept accepts the connections of one run.
type soakAccept struct {
	leaf     *soakLeaf
	listener net.Listener
}

func (a *soakAccept) run() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.leaf.mu.Lock()
		a.leaf.conns[conn] = true
		a.leaf.mu.Unlock()
		go (&soakConn{leaf: a.leaf, conn: conn}).run()
	}
}

// soakConn is one connection to a target.
type soakConn struct {
	leaf *soakLeaf
	conn net.Conn
	// copyOfLast is a second copy of the last response that is still to be sent.
	copyOfLast []byte
}

func (c *soakConn) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !c.answer(r, body) {
			return
		}
	}
}

// answer runs or rejects a request, and returns whether the connection is kept.
func (c *soakConn) answer(r *http.Request, body []byte) bool {
	l, s := c.leaf, c.leaf.record
	run, leaving, t := l.state()
	id, via, name := r.Header.Get(wireNames.Request()), r.Header.Get(headerVia), l.name()
	if r.Header.Get(wireNames.Target()) != name {
		_, err := fmt.Fprintf(c.conn, "HTTP/1.1 421 Other\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wireNames.Request(), id)
		return err == nil
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{leaf: name, run: run, id: id, via: via, at: time.Now()})
	s.mu.Unlock()
	crossed := len(c.copyOfLast) > 0
	if crossed {
		if _, err := c.conn.Write(c.copyOfLast); err != nil {
			return false
		}
		c.copyOfLast = nil
	}
	text, asked := l.response(name, id, run, leaving, t, body)
	if s.draw(t.cut) {
		s.mu.Lock()
		s.broken[id] = true
		s.mu.Unlock()
		_, _ = c.conn.Write(text[:s.between(0, time.Duration(len(text)))])
		return false
	}
	if _, err := c.conn.Write(text); err != nil {
		return false
	}
	if asked > 0 && !crossed {
		// Behind a copy of another response the VM does not read this one.
		now := time.Now()
		s.mu.Lock()
		s.waits = append(s.waits, wait{leaf: name, run: run, via: via, from: now.Add(500 * time.Millisecond), to: now.Add(asked)})
		s.mu.Unlock()
	}
	if s.draw(t.lateCopy) {
		c.copyOfLast = text
	}
	return true
}

// response returns the bytes of a rejection, or of the response after the request has run,
// and the time for which the target wants nothing more from this VM.
func (l *soakLeaf) response(name, id string, run int, leaving bool, t troubles, body []byte) (text []byte, asked time.Duration) {
	s := l.record
	header := wireNames.Request() + ": " + id + "\r\n"
	if leaving {
		header += wireNames.Leaving() + ": 1\r\n"
	}
	if s.draw(t.reject) {
		header += wireNames.NotRun() + ": 1\r\n"
		if s.draw(t.askToWait) {
			asked = s.between(600*time.Millisecond, 2*time.Second)
			header += fmt.Sprintf("Retry-After: %.3f\r\n", asked.Seconds())
		}
		return []byte("HTTP/1.1 503 Full\r\n" + header + "Content-Length: 0\r\n\r\n"), asked
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	time.Sleep(s.between(time.Millisecond, 25*time.Millisecond))
	record := fmt.Sprintf("%-16.16s", name)
	if len(body) > 0 {
		record = "done " + string(body)
	}
	header += fmt.Sprintf("%s: %s/%d/%s\r\n", wireNames.Signature(), name, run, id)
	return []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(record), record)), 0
}

// soakList is the list of targets. It shows leaving targets, and between them odd entries of
// another writer.
type soakList struct{ leafs []*soakLeaf }

func (s *soakList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	odd := []string{`"odd"`, strings.Repeat("[", 4000) + strings.Repeat("]", 4000), `{"id": "odd-1", "service": "s-1", "address": "127.0.0.1:99999", "data-centre": "oulu-2"}`, `{"id": "odd-2", "slots": 1e999}`}
	var b bytes.Buffer
	b.WriteString(`{"targets": [`)
	for n, l := range s.leafs {
		_, leaving, _ := l.state()
		fmt.Fprintf(&b, `{"id": %q, "service": %q, "address": %q, "data-centre": "oulu-2", "slots": 20, "leaving": %t},%s,`, l.name(), l.service, l.address(), leaving, odd[n%len(odd)])
	}
	b.WriteString("]}")
	_, _ = w.Write(b.Bytes())
}
