package main

import (
	"errors"
	"net/http"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the control machine stands still.
	freezeTime = 1300 * time.Millisecond
	// evacuationBound and stretchBound are evacuation-ms and max-stretch-ms of the settings.
	evacuationBound = 5 * time.Second
	stretchBound    = 12 * time.Second
	// observedTime is how long the leafs are observed after the bounds have passed.
	observedTime = 10 * time.Second
)

// staleOrder evacuates a zone, withdraws that, and evacuates it again. The control machine
// that the operator asks first to withdraw stands still meanwhile.
func staleOrder(r *record, trouble bool) (verdict, error) {
	d, err := newDeployment(r)
	if err != nil {
		return unusable, err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return unusable, err
	}
	leader := d.leader()
	if leader == nil {
		return unusable, errors.New("no leader is known")
	}
	var others []*machine
	for _, m := range d.control {
		if m != leader {
			others = append(others, m)
		}
	}
	frozen, sound := others[0], others[1]
	t := startTraffic(r, "", d.entries...)
	defer t.end()
	zone := names["evacuations"] + "zone-a"
	if _, err := d.order(http.MethodPost, zone, nil, sound); err != nil {
		return unusable, err
	}
	time.Sleep(6 * time.Second)

	if trouble {
		r.say("%s stands still for %v", frozen.Name, freezeTime)
		if err := frozen.signal(syscall.SIGSTOP); err != nil {
			return unusable, err
		}
		time.AfterFunc(freezeTime, func() {
			r.say("%s wakes", frozen.Name)
			_ = frozen.signal(syscall.SIGCONT)
		})
	}
	withdrawn, err := d.order(http.MethodDelete, zone, nil, frozen, sound)
	if err != nil {
		return unusable, err
	}
	r.say("the withdrawal is acknowledged")
	evacuated, err := d.order(http.MethodPost, zone, nil, sound)
	if err != nil {
		return unusable, err
	}
	r.say("the evacuation is acknowledged, %v after the withdrawal", evacuated.Sub(withdrawn).Round(time.Millisecond))

	due := evacuated.Add(evacuationBound + stretchBound)
	time.Sleep(time.Until(due.Add(observedTime)))
	late := 0
	for _, l := range d.leafs {
		if l.zone != "zone-a" {
			continue
		}
		n := len(l.runsAfter(due))
		r.say("%s in zone-a ran %d requests later than %v after the acknowledgement", l.id, n, evacuationBound+stretchBound)
		late += n
	}
	r.say("%d requests were served in all", t.served.Load())
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
