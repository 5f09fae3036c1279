package main

import (
	"fmt"
	"time"
)

const (
	// restartDelay is how long a killed process is down.
	restartDelay = time.Second
	// serviceTimeout is how long the deployment has to come into service, far longer than
	// recovery takes.
	serviceTimeout = 40 * time.Second
)

// firstStart starts the deployment for the first time. The trouble is that the process of the
// control VM with the lowest address is killed as it starts, and is started again with the
// settings of a later start. The rule is broken if no request is served.
func firstStart(d *deployment, trouble bool) (bool, error) {
	for n, m := range d.machines() {
		cmd, err := d.startProcess(m)
		if err != nil {
			return false, err
		}
		if n > 0 || !trouble {
			continue
		}
		d.record.write("killing %s", m.Name)
		if err := cmd.Process.Kill(); err != nil {
			return false, err
		}
	}
	if trouble {
		time.Sleep(restartDelay)
		again := d.controls[0]
		again.FirstStart = false
		if _, err := d.startProcess(again); err != nil {
			return false, err
		}
	}
	if !d.awaitService(serviceTimeout) {
		d.record.write("no configuration was acknowledged in %s", serviceTimeout)
	}
	served := 0
	for n := range requestCount {
		ok, err := d.isServed(fmt.Sprintf("roster-%d", n+1), "/roster/1")
		if err != nil {
			return false, err
		}
		if ok {
			served++
		}
		time.Sleep(requestInterval)
	}
	d.record.write("%d of %d requests served", served, requestCount)
	return served == 0, nil
}
