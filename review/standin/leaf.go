package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// linkTime is the time on the link between the process and a leaf in another zone, there
// and back: 0.5 ms each way.
const linkTime = time.Millisecond

// leaf is a leaf of one service. It runs slots requests at once and queues a few more.
// Beside the process under test it serves other entry machines, whose requests take
// their part of it.
type leaf struct {
	env     *environment
	id      string
	service string
	slots   chan struct{}
	room    int
	work    time.Duration
	// repeats reports whether the leaf sends a second copy of an answer, late.
	repeats func() bool

	mu       sync.Mutex
	present  int
	runs     map[string]int
	listener net.Listener
	conns    map[net.Conn]bool
	draining bool
}

func (e *environment) newLeaf(id, service string, slots, queue int, work time.Duration) (*leaf, error) {
	l := &leaf{env: e, id: id, service: service, slots: make(chan struct{}, slots), room: slots + queue, work: work,
		repeats: func() bool { return false }, runs: make(map[string]int), conns: make(map[net.Conn]bool)}
	if err := l.open("127.0.0.1:0"); err != nil {
		return nil, err
	}
	e.closers = append(e.closers, l.end)
	e.addInstance(id, service, l.address())
	return l, nil
}

// open starts an incarnation of the leaf at an address.
func (l *leaf) open(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = ln
	l.draining = false
	go l.accept(ln)
	return nil
}

func (l *leaf) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener.Addr().String()
}

// end ends the incarnation of the leaf with all its connections.
func (l *leaf) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// drain lets the leaf announce with each answer that it leaves.
func (l *leaf) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

func (l *leaf) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// keep records whether a connection is open.
func (l *leaf) keep(conn net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[conn] = true
		return
	}
	delete(l.conns, conn)
}

func (l *leaf) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

// serve answers the requests of one connection, one at a time. A second copy of an
// answer is sent at the point where the next answer is expected.
func (l *leaf) serve(conn net.Conn) {
	defer conn.Close()
	l.keep(conn, true)
	defer l.keep(conn, false)
	reader := bufio.NewReader(conn)
	var extra []byte
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if extra != nil {
			l.env.rec.line("leaf %s sends a second copy of its last answer, as request %s is there", l.id, req.Header.Get(l.env.names.name("request-id")))
			if _, err := conn.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer := l.answer(req, body)
		time.Sleep(linkTime)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if l.isDraining() {
			return
		}
		if l.repeats() {
			extra = answer
		}
	}
}

// enter takes a place in the leaf. It returns false if the leaf is full.
func (l *leaf) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.present >= l.room {
		return false
	}
	l.present++
	return true
}

func (l *leaf) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.present--
}

// answer runs a request, or rejects it, and returns the bytes of the answer.
func (l *leaf) answer(req *http.Request, body []byte) []byte {
	n := l.env.names
	id := req.Header.Get(n.name("request-id"))
	switch {
	case req.URL.Path == "/healthz" && l.isDraining():
		return l.encode(http.StatusServiceUnavailable, "leaving", map[string]string{n.name("instance"): l.id})
	case req.URL.Path == "/healthz":
		return l.encode(http.StatusOK, "ok", map[string]string{n.name("instance"): l.id})
	case id == "":
		return l.encode(http.StatusBadRequest, "no id", map[string]string{n.name("not-executed"): "1"})
	}
	header := map[string]string{n.name("request-id"): id}
	if expected := req.Header.Get(n.name("expected")); expected != "" && expected != l.id {
		header[n.name("not-executed")] = "1"
		return l.encode(http.StatusMisdirectedRequest, "another instance", header)
	}
	if !l.enter() {
		l.env.rec.line("leaf %s rejects %s: full", l.id, id)
		header[n.name("not-executed")] = "1"
		header[n.name("load")] = fmt.Sprintf("%d,%d,%d", cap(l.slots), l.room-cap(l.slots), cap(l.slots))
		return l.encode(http.StatusServiceUnavailable, "full", header)
	}
	defer l.leave()
	l.slots <- struct{}{}
	defer func() { <-l.slots }()
	l.mu.Lock()
	l.runs[id]++
	l.mu.Unlock()
	l.env.rec.line("leaf %s runs %s", l.id, id)
	time.Sleep(l.env.exponential(l.work))
	header[n.name("signature")] = "sig." + l.id + "." + id
	header[n.name("load")] = fmt.Sprintf("%d,0,%d", len(l.slots), cap(l.slots))
	return l.encode(http.StatusOK, "done "+string(body), header)
}

// encode returns the bytes of an answer.
func (l *leaf) encode(status int, body string, header map[string]string) []byte {
	var b bytes.Buffer
	if l.isDraining() {
		header["Connection"] = "close"
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

// serveOthers plays the requests of other entry machines until stop is closed.
func (l *leaf) serveOthers(meanInterval time.Duration, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(l.env.exponential(meanInterval)):
		}
		if !l.enter() {
			continue
		}
		go func() {
			defer l.leave()
			l.slots <- struct{}{}
			time.Sleep(l.env.exponential(l.work))
			<-l.slots
		}()
	}
}

// timesRun returns how often the leaf has run a request.
func (l *leaf) timesRun(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}
