package main

import (
	"net/http"
	"time"
)

const (
	// oddEntry is an entry of another writer that can't be read: a quotation mark is missing.
	oddEntry = `{"id":"i-odd,"service":"single","state":"ready"}`
	// steadyAfter is the time after the last change of anything: contact-ms, config-apply-ms
	// and recovery-s of the settings are over by then.
	steadyAfter = 15 * time.Second
	// judgedTime is how long the requests are judged.
	judgedTime = 15 * time.Second
	// leastRequests and leastShare are those of the rule.
	leastRequests = 20
	leastShare    = 0.25
)

// unreadableEntry starts the leafs of another service and adds a route to it. With trouble,
// the list has an entry of another writer that can't be read.
func unreadableEntry(r *record, trouble bool) (verdict, error) {
	d, err := newDeployment(r)
	if err != nil {
		return unusable, err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return unusable, err
	}
	if trouble {
		d.list.setForeign(oddEntry)
		r.say("the list has an entry of another writer that can't be read")
	}
	time.Sleep(3 * time.Second)
	d.list.add(d.later...)
	r.say("the leafs of another service have started and are on the list")
	time.Sleep(3 * time.Second)
	if _, err := d.order(http.MethodPut, "/config", config{Version: 9, Later: true}.text(), d.control...); err != nil {
		return unusable, err
	}
	r.say("the configuration with a route to them is acknowledged")
	time.Sleep(steadyAfter)
	first := startTrafficOn(r, "/single/", "first-", d.entries...)
	later := startTrafficOn(r, "/later/", "later-", d.entries...)
	time.Sleep(judgedTime)
	first.end()
	later.end()
	r.say("in the steady state, %d of %d requests on the first route and %d of %d on the later one were served", first.served.Load(), first.count.Load(), later.served.Load(), later.count.Load())
	if first.served.Load() == 0 || later.count.Load() < leastRequests {
		return unusable, nil
	}
	firstShare := float64(first.served.Load()) / float64(first.count.Load())
	laterShare := float64(later.served.Load()) / float64(later.count.Load())
	if laterShare < leastShare*firstShare {
		return broken, nil
	}
	return held, nil
}
