package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that a leaf worked on.
type run struct {
	at time.Time
	id string
	// key is the client's key if it was passed on.
	key string
}

// leaf is a server that follows the users' protocol.
type leaf struct {
	id, service, zone, address string
	record                     *record
	// work is how long a request takes.
	work time.Duration

	mu   sync.Mutex
	runs []run
	// leaving is set while the leaf is draining.
	leaving bool
}

// ServeHTTP runs a request that names this leaf.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["request"])
	h := w.Header()
	h.Set(names["request"], id)
	if want := r.Header.Get(names["expected"]); want != "" && want != l.id {
		h.Set(names["not-run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.mu.Lock()
	leaving := l.leaving
	l.runs = append(l.runs, run{at: time.Now(), id: id, key: r.Header.Get(names["key"])})
	l.mu.Unlock()
	l.record.add("run      %s at %s in %s", id, l.id, l.zone)
	time.Sleep(l.work)
	if leaving {
		h.Set(names["leaving"], "1")
	}
	h.Set(names["signature"], "sig."+id+"."+l.id)
	h.Set(names["load"], "1,0,4")
	fmt.Fprintf(w, "answer to %s", id)
}

// drain makes the leaf say that it is leaving, in the list and in all its answers.
func (l *leaf) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// state returns the state of the leaf as the list shows it.
func (l *leaf) state() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return names["state-leaving"]
	}
	return "ready"
}

// runsAfter returns the runs that began after a time.
func (l *leaf) runsAfter(t time.Time) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.runs {
		if r.at.After(t) {
			out = append(out, r)
		}
	}
	return out
}

// start listens on the address of the leaf.
func (l *leaf) start() error {
	socket, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(socket, l) }()
	return nil
}

// entry returns the leaf as the platform's list shows it.
func (l *leaf) entry() map[string]any {
	return map[string]any{
		"id": l.id, "service": l.service, "address": l.address, "zone": l.zone, "version": "v1",
		"slots": 4, "state": l.state(), names["cold"]: 0,
	}
}

// list is the platform's list of leafs.
type list struct {
	leafs []*leaf

	mu sync.Mutex
	// foreign holds entries of another writer, as they are written, which come before the
	// others.
	foreign []string
}

// setForeign replaces the entries of another writer.
func (l *list) setForeign(entries ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.foreign = entries
}

// ServeHTTP answers with one page.
func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	entries := append([]string(nil), l.foreign...)
	leafs := append([]*leaf(nil), l.leafs...)
	l.mu.Unlock()
	for _, leaf := range leafs {
		text, err := json.Marshal(leaf.entry())
		if err != nil {
			panic(err)
		}
		entries = append(entries, string(text))
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"instances":[%s],"%s":null}`, strings.Join(entries, ","), names["next"])
}

// add adds leafs to the list.
func (l *list) add(leafs ...*leaf) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leafs = append(l.leafs, leafs...)
}
