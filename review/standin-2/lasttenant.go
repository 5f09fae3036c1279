package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	// revocationBound is revoke-ms of the settings.
	revocationBound = 5 * time.Second
	// revokedTime is how long clients go on with the keys after that.
	revokedTime = 5 * time.Second

	takenKey   = "taken-key-"
	unknownKey = "no-key-"
)

// lastTenant takes away the only key of the only tenant, with a configuration without any
// tenant, or without trouble with one that gives the tenant another key.
func lastTenant(r *record, trouble bool) (verdict, error) {
	d, err := newDeployment(r)
	if err != nil {
		return unusable, err
	}
	defer d.end()
	for _, m := range d.machines() {
		m.Strict = true
	}
	d.first = config{Version: 7, HasTenants: true, Tenants: []tenant{{"t-one", takenKey}}}
	if err := d.startAll(); err != nil {
		return unusable, err
	}
	for _, key := range []string{takenKey, unknownKey} {
		t := startTraffic(r, key, d.entries...)
		time.Sleep(2 * time.Second)
		t.end()
		r.say("%d requests with the key %s were served under the first configuration", t.served.Load(), key)
		if (key == takenKey) != (t.served.Load() > 0) {
			return unusable, nil
		}
	}

	next := config{Version: 9, HasTenants: true}
	if !trouble {
		next.Tenants = []tenant{{"t-one", "new-key-"}}
	}
	revoked, err := d.order(http.MethodPut, "/config", next.text(), d.control...)
	if err != nil {
		// A refusal would keep the rule.
		r.say("the configuration was not acknowledged: %v", err)
		return held, nil
	}
	r.say("the configuration without the key is acknowledged")
	time.Sleep(time.Until(revoked.Add(revocationBound + 500*time.Millisecond)))
	due := time.Now()
	taken, unknown := startTraffic(r, takenKey, d.entries...), startTraffic(r, unknownKey, d.entries...)
	time.Sleep(revokedTime)
	taken.end()
	unknown.end()

	ran := map[string]int{}
	passed := 0
	for _, l := range d.leafs {
		for _, request := range l.runsAfter(due) {
			for _, key := range []string{takenKey, unknownKey} {
				if strings.HasPrefix(request.id, key) {
					ran[key]++
				}
			}
			if request.key != "" {
				passed++
			}
		}
	}
	r.say("sent later than %v after the acknowledgement and run: %d requests with the key that was taken away, %d with a key that no configuration held", revocationBound, ran[takenKey], ran[unknownKey])
	r.say("the key itself reached a leaf with %d requests", passed)
	if ran[takenKey]+ran[unknownKey] > 0 {
		return broken, nil
	}
	return held, nil
}
