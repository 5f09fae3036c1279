package main

import (
	"encoding/json"
	"time"
)

const (
	// drainBound is drain-timeout-ms of the settings, and listLag max-lag-ms.
	drainBound = 3 * time.Second
	listLag    = 800 * time.Millisecond
	// drainingTime is how long the leaf goes on to serve while it is draining.
	drainingTime = 20 * time.Second
)

// foreignEntry drains a leaf. With trouble, the list also has an entry of another writer with
// the id and the address of the leaf, without the fields that it does not know of.
func foreignEntry(r *record, trouble bool) (verdict, error) {
	d, err := newDeployment(r)
	if err != nil {
		return unusable, err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return unusable, err
	}
	// The leafs see all machines at one loopback address, so only one gets requests.
	t := startTraffic(r, "", d.entries[0])
	defer t.end()
	time.Sleep(3 * time.Second)
	leaving := d.leafs[0]
	if len(leaving.runsAfter(time.Time{})) == 0 {
		leaving = d.leafs[1]
	}
	if trouble {
		entry, err := json.Marshal(map[string]any{"id": leaving.id, "service": leaving.service, "address": leaving.address, "zone": leaving.zone, "state": "ready"})
		if err != nil {
			return unusable, err
		}
		d.list.setForeign(string(entry))
		r.say("the list has an entry of another writer for %s, with fields missing", leaving.id)
		time.Sleep(3 * time.Second)
	}
	leaving.drain()
	began := time.Now()
	r.say("the list shows %s as leaving, and all its answers say so", leaving.id)
	due := began.Add(listLag + drainBound)
	time.Sleep(time.Until(began.Add(drainingTime)))

	late := 0
	for _, run := range leaving.runsAfter(due) {
		if sent, known := t.sentAt(run.id); known && sent.After(due) {
			late++
		}
	}
	r.say("%s ran %d requests before, and %d that a client sent later than %v after that", leaving.id, len(leaving.runsAfter(time.Time{}))-late, late, listLag+drainBound)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
