package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The load of the case: roster look-ups, each on a connection of its own.
const (
	lookupLeafs    = 4
	lookupSlots    = 6
	lookupQueue    = 24
	lookupWork     = 90 * time.Millisecond
	connectTimeout = time.Second
	leaveInterval  = 20 * time.Millisecond
	leaveLoadTime  = 30 * time.Second
)

// The disruption: for 8 s, 3 in 10 clients leave within half of the objective of 400 ms.
// A client that leaves ends its side of the connection and reads until the machine has
// ended the other.
const (
	leaveShare = 0.3
	leaveFor   = 8 * time.Second
	leaveAfter = 5 * time.Second
	maxStay    = 200 * time.Millisecond
)

// leavingClient sends look-ups while some clients leave before they have an answer.
func leavingClient(e *environment, trouble bool) (int, error) {
	for i := range lookupLeafs {
		if _, err := e.newLeaf(fmt.Sprintf("i-registre-%d", i), "registre", lookupSlots, lookupQueue, lookupWork); err != nil {
			return 0, err
		}
	}
	if err := e.start("config-lookup"); err != nil {
		return 0, err
	}
	began := time.Now()
	var broken atomic.Int64
	var wg sync.WaitGroup
	for n := 0; time.Since(began) < leaveLoadTime; n++ {
		time.Sleep(e.exponential(leaveInterval))
		since := time.Since(began) - leaveAfter
		leaves := trouble && since > 0 && since < leaveFor && e.chance(leaveShare)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if e.lookUpOnce(fmt.Sprintf("look%06d", n), leaves) {
				broken.Add(1)
			}
		}()
	}
	wg.Wait()
	return int(broken.Load()), nil
}

// lookUpOnce sends one request on a new connection and reads to the end of the
// connection. It reports whether the client got a success that is no leaf's.
func (e *environment) lookUpOnce(id string, leaves bool) bool {
	n := e.names
	conn, err := net.DialTimeout("tcp", e.front, connectTimeout)
	if err != nil {
		e.rec.line("client cannot connect for %s: %v", id, err)
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadlineMillis * time.Millisecond))
	e.rec.line("client sends %s", id)
	if _, err := fmt.Fprintf(conn, "GET /roster/%s HTTP/1.1\r\nHost: club.example\r\nConnection: close\r\n%s: %s\r\n%s: %d\r\n\r\n", id,
		n.name("request-id"), id, n.name("deadline"), deadlineMillis); err != nil {
		return false
	}
	if leaves {
		left := time.AfterFunc(e.uniform(maxStay), func() {
			e.rec.line("client of %s leaves: it ends its side of the connection", id)
			_ = conn.(*net.TCPConn).CloseWrite()
		})
		defer left.Stop()
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err != nil {
		e.rec.line("client of %s got no answer: %v", id, err)
		return false
	}
	body, err := io.ReadAll(res.Body)
	signature := res.Header.Get(n.name("signature"))
	e.rec.line("client of %s got status %d, signature %q, body %.40q, error %v", id, res.StatusCode, signature, body, err)
	if err != nil || res.StatusCode < 200 || res.StatusCode > 299 || signature != "" {
		return false
	}
	e.rec.line("MIXED: the client of %s got a success without a leaf's signature", id)
	return true
}
