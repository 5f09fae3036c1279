package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// routeHost is the host of all routes.
const routeHost = "soak.example"

const (
	// operatorInterval is the pause after each call in loop and after each round
	// of calls in retry.
	operatorInterval = 150 * time.Millisecond
)

// routesDocument returns the JSON document of the routes for a version. The
// documents of two versions differ only in the version.
func routesDocument(version int) string {
	var shardNames, services []string
	for n := range shardCount {
		shardNames = append(shardNames, fmt.Sprintf("%q", shardName(n)))
		services = append(services, fmt.Sprintf(`{"name": %q, "connections": 30}`, shardName(n)))
	}
	limits := fmt.Sprintf(`"time-limit-ms": %d, "objective-ms": 300, "attempts": 2`, routeTimeLimit.Milliseconds())
	return fmt.Sprintf(`{"version": %d, "routes": [
	{"name": "shards", "host": %q, "path": %q, "kind": "idempotent", %s, "shards": [%s], "top": %d, "least-share": %g},
	{"name": "once", "host": %q, "path": %q, "kind": "non-idempotent", %s, "services": [{"name": "once"}]},
	{"name": "long", "host": %q, "path": %q, "kind": "idempotent", %s, "services": [{"name": "long"}]}],
	"services": [{"name": "once", "connections": 30}, {"name": "long", "connections": 30}, %s]}`,
		version, routeHost, pathShards, limits, strings.Join(shardNames, ","), topRecords, float64(minShards)/shardCount,
		routeHost, pathOnce, limits, routeHost, pathLong, limits, strings.Join(services, ","))
}

func shardName(n int) string { return fmt.Sprintf("shard-%d", n) }

// operator publishes new versions of the routes, reads them back, and takes a
// data centre out of service and back. It reports a violation if a read returns
// routes older than an acknowledged version or routes that were never sent, and
// if a control VM answers a new version with a status other than 200 or 503.
type operator struct {
	run    *Run
	client *http.Client

	mu sync.Mutex
	// ackedVersion is the highest version that was acknowledged.
	ackedVersion int
	// sentVersion is the highest version that was sent.
	sentVersion int
}

func newOperator(r *Run) *operator {
	return &operator{run: r, client: &http.Client{Timeout: 1200 * time.Millisecond}}
}

// call sends a request to a control VM and returns the status and the body of
// the response. Without a complete response it returns 0 and the error text.
func (o *operator) call(v *vm, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+v.operatorsAddress+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	res, err := o.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(text)
}

// loop sends calls to the control VMs in turn until ctx ends, with a pause of
// operatorInterval after each. Every third call publishes a version; the others
// read.
func (o *operator) loop(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	for n := 0; ctx.Err() == nil; n++ {
		v := o.run.controls[n%len(o.run.controls)]
		if n%3 == 0 {
			o.publish(v)
		} else {
			o.read(v)
		}
		time.Sleep(operatorInterval)
	}
}

// publish sends the version after the last acknowledged one and reports whether
// it was acknowledged. A version that was not acknowledged is sent again by the
// next call.
func (o *operator) publish(v *vm) bool {
	o.mu.Lock()
	version := o.ackedVersion + 1
	o.sentVersion = max(o.sentVersion, version)
	o.mu.Unlock()
	status, text := o.call(v, http.MethodPut, "/routes", routesDocument(version))
	switch status {
	case http.StatusOK:
		o.mu.Lock()
		o.ackedVersion = version
		o.mu.Unlock()
		return true
	case 0, http.StatusServiceUnavailable:
	default:
		o.run.reportViolation("routes version %d refused by %s: status %d, want 200 or 503: %s", version, v.name, status, text)
	}
	return false
}

var versionPattern = regexp.MustCompile(`^\{"version": (\d+),`)

// read reads the routes from a control VM and reports whether it got them. A
// quorum confirms every read, so the version read must be at least the last one
// acknowledged before the read was sent.
func (o *operator) read(v *vm) bool {
	o.mu.Lock()
	acked := o.ackedVersion
	o.mu.Unlock()
	status, text := o.call(v, http.MethodGet, "/routes", "")
	if status != http.StatusOK {
		return false
	}
	match := versionPattern.FindStringSubmatch(text)
	if match == nil {
		o.run.reportViolation("%s returned routes that do not start with a version: %.100s", v.name, text)
		return false
	}
	version, err := strconv.Atoi(match[1])
	o.mu.Lock()
	sent := o.sentVersion
	o.mu.Unlock()
	if err != nil || version < acked || version > sent || text != routesDocument(version) {
		o.run.reportViolation("%s returned wrong routes: version %d, want one of the sent documents from version %d (acknowledged) to %d (sent)", v.name, version, acked, sent)
	}
	return true
}

// retry repeats a call to the control VMs in turn until one call succeeds. It
// reports false if none does within the limit.
func (o *operator) retry(limit time.Duration, call func(v *vm) bool) bool {
	for start := time.Now(); time.Since(start) < limit; time.Sleep(operatorInterval) {
		for _, v := range o.run.controls {
			if call(v) {
				return true
			}
		}
	}
	return false
}

// setOutOfService takes a data centre out of service or back into service. It
// reports false if no control VM acknowledged this within ten seconds.
func (o *operator) setOutOfService(centre string, out bool) bool {
	method := http.MethodDelete
	if out {
		method = http.MethodPut
	}
	return o.retry(10*time.Second, func(v *vm) bool {
		status, _ := o.call(v, method, "/data-centres/"+centre+"/out", "")
		return status == http.StatusOK
	})
}
