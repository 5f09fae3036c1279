package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// traffic sends requests to all entry machines at a steady rate.
type traffic struct {
	record *record
	// path is the beginning of the path of each request.
	path string
	// mark is the beginning of each id.
	mark string
	// key is the key of the clients, empty for none.
	key    string
	count  atomic.Int64
	served atomic.Int64
	group  sync.WaitGroup
	stop   chan struct{}

	mu   sync.Mutex
	sent map[string]time.Time
}

const (
	requestInterval = 50 * time.Millisecond
	requestDeadline = 2 * time.Second
)

// startTraffic sends one request to each entry machine in each requestInterval.
func startTraffic(r *record, key string, entries ...*machine) *traffic {
	t := &traffic{record: r, path: "/single/", key: key, stop: make(chan struct{}), sent: make(map[string]time.Time)}
	t.start(entries)
	return t
}

func (t *traffic) start(entries []*machine) {
	for _, m := range entries {
		t.group.Add(1)
		go t.loop(m)
	}
}

func (t *traffic) loop(m *machine) {
	defer t.group.Done()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.group.Add(1)
			go t.send(client, m)
		case <-t.stop:
			return
		}
	}
}

// send sends one request and records the answer.
func (t *traffic) send(client *http.Client, m *machine) {
	defer t.group.Done()
	id := fmt.Sprintf("%s%s%08x", t.mark, t.key, t.count.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Front+t.path+id, http.NoBody)
	if err != nil {
		return
	}
	req.Host = "one.example"
	req.Header.Set(names["request"], id)
	req.Header.Set(names["deadline"], fmt.Sprint(requestDeadline.Milliseconds()))
	if t.key != "" {
		req.Header.Set(names["key"], t.key)
	}
	t.mu.Lock()
	t.sent[id] = time.Now()
	t.mu.Unlock()
	t.record.add("request  %s to %s", id, m.Name)
	res, err := client.Do(req)
	if err != nil {
		t.record.add("answer   %s from %s: none", id, m.Name)
		return
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	t.record.add("answer   %s from %s: %d", id, m.Name, res.StatusCode)
	if res.StatusCode == http.StatusOK {
		t.served.Add(1)
	}
}

// sentAt returns when the client sent a request.
func (t *traffic) sentAt(id string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, known := t.sent[id]
	return at, known
}

// startTrafficOn is startTraffic on another route. Its ids begin with a mark.
func startTrafficOn(r *record, path, mark string, entries ...*machine) *traffic {
	t := &traffic{record: r, path: path, mark: mark, stop: make(chan struct{}), sent: make(map[string]time.Time)}
	t.start(entries)
	return t
}

// end stops the requests and waits for the answers.
func (t *traffic) end() {
	close(t.stop)
	t.group.Wait()
}
