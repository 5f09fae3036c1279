package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// The load of the case: requests on each route, one after the other.
const (
	restartLeafs    = 4
	restartSlots    = 6
	restartQueue    = 24
	restartWork     = 20 * time.Millisecond
	routeInterval   = 100 * time.Millisecond
	settleTime      = 10 * time.Second
	steadyTime      = 15 * time.Second
	requestsNeeded  = 20
	servedShareLeft = 0.25
)

// The disruption: one of the leafs leaves and starts again under the id and the address
// that it had. Once it is ready and warm again, the next one does.
const (
	drainTime  = 3500 * time.Millisecond
	downTime   = 300 * time.Millisecond
	coldTime   = 3 * time.Second
	timeForOne = listLag + drainTime + downTime + listLag + coldTime
)

// sameID restarts the leafs of a service and then compares how often requests on the
// first routes and on one that is added later are served.
func sameID(e *environment, trouble bool) (int, error) {
	var leafs []*leaf
	for _, service := range []string{"registre", "suivi"} {
		for i := range restartLeafs {
			l, err := e.newLeaf(fmt.Sprintf("i-%s-%d", service, i), service, restartSlots, restartQueue, restartWork)
			if err != nil {
				return 0, err
			}
			if service == "suivi" {
				leafs = append(leafs, l)
			}
		}
	}
	if err := e.start("config-first"); err != nil {
		return 0, err
	}
	t := &routeTraffic{env: e, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}, Timeout: deadlineMillis * time.Millisecond}}
	stop := make(chan struct{})
	for _, route := range []string{"roster", "follow"} {
		go t.run(route, stop)
	}
	time.Sleep(3 * time.Second)
	for _, l := range leafs {
		if trouble {
			go e.restart(l)
		}
		time.Sleep(timeForOne)
	}
	if ok, err := e.publish("config-later"); err != nil || !ok {
		return 0, fmt.Errorf("the later configuration was not acknowledged: %w", err)
	}
	go t.run("later", stop)
	time.Sleep(settleTime)
	e.rec.line("the steady state begins")
	t.reset()
	time.Sleep(steadyTime)
	close(stop)
	return t.judge(), nil
}

// restart lets a leaf leave and starts it again under the id and the address that it had.
func (e *environment) restart(l *leaf) {
	address := l.address()
	e.rec.line("leaf %s is about to leave", l.id)
	e.setState(l.id, e.names.name("state-draining"), time.Time{})
	time.Sleep(listLag)
	l.drain()
	time.Sleep(drainTime)
	l.end()
	e.rec.line("leaf %s has ended", l.id)
	time.Sleep(downTime)
	if err := l.open(address); err != nil {
		e.rec.line("leaf %s cannot start: %v", l.id, err)
		return
	}
	e.rec.line("leaf %s has started again", l.id)
	e.setState(l.id, e.names.name("state-ready"), time.Now().Add(coldTime))
}

// routeTraffic sends requests on routes and counts how many are served.
type routeTraffic struct {
	env    *environment
	client *http.Client

	mu     sync.Mutex
	number int
	sent   map[string]int
	served map[string]int
}

func (t *routeTraffic) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent, t.served = make(map[string]int), make(map[string]int)
}

func (t *routeTraffic) run(route string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(routeInterval):
		}
		status := t.send(route)
		t.mu.Lock()
		if t.sent != nil {
			t.sent[route]++
			if status == http.StatusOK {
				t.served[route]++
			}
		}
		t.mu.Unlock()
	}
}

// send sends one request and returns the status of the answer, 0 for none.
func (t *routeTraffic) send(route string) int {
	t.mu.Lock()
	t.number++
	id := fmt.Sprintf("%s%05d", route, t.number)
	t.mu.Unlock()
	req, err := http.NewRequest(http.MethodGet, "http://"+t.env.front+"/"+route+"/2f", http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = "club.example"
	req.Header.Set(t.env.names.name("request-id"), id)
	req.Header.Set(t.env.names.name("deadline"), fmt.Sprint(deadlineMillis))
	res, err := t.client.Do(req)
	if err != nil {
		t.env.rec.line("client got no answer to %s", id)
		return 0
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0
	}
	t.env.rec.line("client got status %d for %s: %.60q", res.StatusCode, id, text)
	return res.StatusCode
}

// judge returns 1 if the later route was served less than a quarter as often as the
// first ones.
func (t *routeTraffic) judge() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for route, n := range t.sent {
		t.env.rec.line("route %s in the steady state: %d of %d requests served", route, t.served[route], n)
	}
	first := float64(t.served["roster"]+t.served["follow"]) / float64(t.sent["roster"]+t.sent["follow"])
	later := float64(t.served["later"]) / float64(max(1, t.sent["later"]))
	if t.sent["later"] >= requestsNeeded && later < servedShareLeft*first {
		t.env.rec.line("CONFIG: the later route is served %.2f of the time, the first ones %.2f", later, first)
		return 1
	}
	return 0
}
