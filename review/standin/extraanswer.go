package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load of the case: four kinds of request, each to a service of two leafs.
const (
	leafSlots        = 2
	leafQueue        = 2
	leafWork         = 2 * time.Millisecond
	othersInterval   = 450 * time.Microsecond
	requestsInterval = 12 * time.Millisecond
	loadTime         = 96 * time.Second
	deadlineMillis   = 2000
)

// The disruption: half of the leafs send a second copy of 4 in 100 of their answers,
// late, for 5 s at a time.
const (
	extraChance = 0.04
	extraOn     = 5 * time.Second
	extraOff    = time.Second
)

var extraServices = []string{"portail", "guichet", "registre", "suivi"}

// extraAnswer sends requests that may run at most once while leafs are often full and
// some send a second copy of an answer late.
func extraAnswer(e *environment, trouble bool) (int, error) {
	var active atomic.Bool
	var leafs []*leaf
	stop := make(chan struct{})
	defer close(stop)
	for _, service := range extraServices {
		for i := range 2 {
			l, err := e.newLeaf(fmt.Sprintf("i-%s-%d", service, i), service, leafSlots, leafQueue, leafWork)
			if err != nil {
				return 0, err
			}
			if trouble && i == 0 {
				l.repeats = func() bool { return active.Load() && e.chance(extraChance) }
			}
			leafs = append(leafs, l)
			go l.serveOthers(othersInterval, stop)
		}
	}
	if err := e.start("config"); err != nil {
		return 0, err
	}
	go func() {
		for {
			active.Store(true)
			time.Sleep(extraOn)
			active.Store(false)
			time.Sleep(extraOff)
		}
	}()
	statuses := e.sendJobs()
	return e.judgeJobs(statuses, leafs), nil
}

// sendJobs sends requests for loadTime and returns the status of each, 0 for none.
func (e *environment) sendJobs() map[string]int {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}, Timeout: deadlineMillis * time.Millisecond}
	var mu sync.Mutex
	statuses := make(map[string]int)
	var wg sync.WaitGroup
	end := time.Now().Add(loadTime)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(e.exponential(requestsInterval))
		id := fmt.Sprintf("job%06d", n)
		service := extraServices[n%len(extraServices)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			status := e.sendJob(client, id, service)
			e.rec.line("client got status %d for %s", status, id)
			mu.Lock()
			statuses[id] = status
			mu.Unlock()
		}()
	}
	wg.Wait()
	return statuses
}

func (e *environment) sendJob(client *http.Client, id, service string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.front+"/"+service+"/confirm", strings.NewReader("seat for "+id))
	if err != nil {
		return 0
	}
	req.Host = "club.example"
	req.Header.Set(e.names.name("request-id"), id)
	req.Header.Set(e.names.name("deadline"), fmt.Sprint(deadlineMillis))
	e.rec.line("client sends %s to %s", id, service)
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// promisesNotRun reports whether a status promises that the request has not run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// judgeJobs counts the requests that ran more than once, and those that were answered
// with a promise that they have not run, although they have.
func (e *environment) judgeJobs(statuses map[string]int, leafs []*leaf) int {
	time.Sleep(2 * time.Second)
	broken := 0
	counts := make(map[int]int)
	for id, status := range statuses {
		counts[status]++
		runs := 0
		for _, l := range leafs {
			runs += l.timesRun(id)
		}
		if runs > 1 {
			broken++
			e.rec.line("TWICE: %s ran %d times, answered with %d", id, runs, status)
		}
		if runs > 0 && promisesNotRun(status) {
			broken++
			e.rec.line("REFUSED: %s ran %d times, answered with %d", id, runs, status)
		}
	}
	e.rec.line("%d requests; by status: %v", len(statuses), counts)
	return broken
}
