package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// settleTime is the time from the last change to the first request, longer than the time
	// in which a configuration applies and machines come in touch.
	settleTime      = 12 * time.Second
	requestCount    = 40
	requestInterval = 250 * time.Millisecond
	// publishTries bounds the attempts to publish the second configuration.
	publishTries = 20
)

// otherWriter adds a route to a service whose leafs are sound and listed, and sends as many
// requests on it as on the first route. The trouble is that the list also has an entry of
// another writer for each of these leafs, of a service that the configuration does not name.
// The rule is broken if the later route is served less than a quarter as often.
func otherWriter(d *deployment, trouble bool) (bool, error) {
	if err := d.start(); err != nil {
		return false, err
	}
	if trouble {
		d.addOtherWriter()
	}
	if !d.addLaterRoute() {
		return false, errors.New("the later route was not acknowledged")
	}
	time.Sleep(settleTime)
	first, later := 0, 0
	for n := range requestCount {
		for _, path := range []string{"/roster/1", "/agenda/1"} {
			served, err := d.isServed(fmt.Sprintf("%s-%d", path[1:7], n+1), path)
			if err != nil {
				return false, err
			}
			switch {
			case served && path == "/roster/1":
				first++
			case served:
				later++
			}
		}
		time.Sleep(requestInterval)
	}
	d.record.write("%d of %d requests served on the first route, %d on the later one", first, requestCount, later)
	if first < requestCount/2 {
		return false, errors.New("the first route is not served")
	}
	return 4*later < first, nil
}

// addLaterRoute publishes a configuration with the later route and reports whether it was
// acknowledged.
func (d *deployment) addLaterRoute() bool {
	d.laterRoute = true
	return acknowledged(d.publish)
}

// acknowledged sends a change again until it is acknowledged, and reports whether it was.
func acknowledged(publish func() int) bool {
	for range publishTries {
		if publish() == http.StatusOK {
			return true
		}
		time.Sleep(requestInterval)
	}
	return false
}

// isServed sends a request and reports whether it is answered with a leaf's success.
func (d *deployment) isServed(id, path string) (bool, error) {
	res, err := d.request(id, http.MethodGet, path)
	if err != nil {
		return false, err
	}
	return res.status == http.StatusOK && res.header.Get(d.names.Signature) != "", nil
}

// addOtherWriter adds an entry of a service without a route for each leaf of the later service.
func (d *deployment) addOtherWriter() {
	var entries []leaf
	for _, l := range d.leafs {
		if l.Service != laterService {
			continue
		}
		l.Service = "accounting"
		entries = append(entries, l)
		d.record.write("the list has an entry of another writer: id %s, service %s, address %s", l.ID, l.Service, l.Address)
	}
	d.otherWriter.Store(&entries)
}
