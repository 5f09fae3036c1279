package main

import (
	"net/http"
	"syscall"
	"time"
)

const (
	// startSpread is within which all machines start.
	startSpread = 300 * time.Millisecond
	// killAfter is how long the first control process runs, and restartAfter how long it is
	// down.
	killAfter    = 200 * time.Millisecond
	restartAfter = time.Second
	// firstServed is the time in which the first request should be served. Traffic starts
	// 10 s after the machines do, and recovery-s is 12 s.
	firstServed = 40 * time.Second
)

// firstStart starts the system for the first time. The process of one control machine is
// killed while the machines are starting, and is back a second later.
func firstStart(r *record, trouble bool) (verdict, error) {
	d, err := newDeployment(r)
	if err != nil {
		return unusable, err
	}
	defer d.end()
	last := d.control[len(d.control)-1]
	for _, m := range d.machines() {
		if m == last {
			continue
		}
		if err := m.start(); err != nil {
			return unusable, err
		}
		m.Bootstrap = false
	}
	time.Sleep(killAfter)
	killed := d.control[0]
	if trouble {
		r.say("%s is killed", killed.Name)
		_ = killed.signal(syscall.SIGKILL)
		_ = killed.cmd.Wait()
	}
	time.Sleep(startSpread - killAfter)
	if err := last.start(); err != nil {
		return unusable, err
	}
	last.Bootstrap = false
	if trouble {
		time.Sleep(restartAfter - startSpread + killAfter)
		r.say("%s starts again, with its disk", killed.Name)
		if err := killed.start(); err != nil {
			return unusable, err
		}
	}
	began := time.Now()
	acknowledged := false
	for time.Since(began) < firstServed && !acknowledged {
		for _, m := range d.control {
			if status, _ := d.call(m, http.MethodPut, "/config", d.first.text()); status == http.StatusOK {
				acknowledged = true
				break
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.say("the first configuration was acknowledged: %t, after %v", acknowledged, time.Since(began).Round(time.Millisecond))
	t := startTraffic(r, "", d.entries...)
	time.Sleep(10 * time.Second)
	t.end()
	r.say("%d of %d requests were served", t.served.Load(), t.count.Load())
	if t.served.Load() == 0 {
		return broken, nil
	}
	return held, nil
}
