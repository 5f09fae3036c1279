package routes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
)

const rolloutDocument = `{
	"version": 1,
	"routes": [{"name": "door", "host": "doors.example", "path": "/", "kind": "idempotent", "time-limit-ms": 1000, "objective-ms": 200, "attempts": 2,
		"services": [{"name": "s"}]}],
	"services": [{"name": "s"}],
}`

// versionedTargets serves the targets of two versions of a service, and their list.
type versionedTargets struct {
	mu      sync.Mutex
	listed  []string
	servers map[string]*httptest.Server
	sent    map[string]int
	failing map[string]bool
}

func newVersionedTargets(t *testing.T) *versionedTargets {
	v := &versionedTargets{servers: make(map[string]*httptest.Server), sent: make(map[string]int), failing: make(map[string]bool)}
	for _, id := range []string{"v1-a", "v1-b", "v2-a", "v2-b", "v3-a", "v3-b"} {
		version := id[:2]
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			v.mu.Lock()
			v.sent[version]++
			fails := v.failing[version]
			v.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			if fails {
				names := exchange.OwnHeaderNames()
				w.Header().Set(names.Request(), r.Header.Get(names.Request()))
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			writeLeafResponse(w, r, version)
		}))
		t.Cleanup(server.Close)
		v.servers[id] = server
	}
	return v
}

// list sets which versions are in the target list.
func (v *versionedTargets) list(versions ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = versions
}

// fail makes the targets of a version fail all requests.
func (v *versionedTargets) fail(version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failing[version] = true
}

// count returns the requests that the targets of a version have got.
func (v *versionedTargets) count(version string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sent[version]
}

// ServeHTTP serves the target list.
func (v *versionedTargets) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var entries []string
	for _, version := range v.listed {
		for _, n := range []string{"a", "b"} {
			id := version + "-" + n
			entries = append(entries, fmt.Sprintf(`{"id": %q, "service": "s", "address": %q, "data-centre": "oulu-1", "slots": 20, "version": %q}`,
				id, strings.TrimPrefix(v.servers[id].URL, "http://"), version))
		}
	}
	_, _ = io.WriteString(w, `{"targets": [`+strings.Join(entries, ",")+`]}`)
}

// rolloutDeployment is three control VMs and two entry VMs, with callers that send
// requests all the time.
type rolloutDeployment struct {
	t         *testing.T
	targets   *versionedTargets
	control   []*exec.Cmd
	settings  []string
	operators []string
	stop      chan struct{}
	callers   sync.WaitGroup
	mu        sync.Mutex
	failed    int
}

func newRolloutDeployment(t *testing.T) *rolloutDeployment {
	d := &rolloutDeployment{t: t, targets: newVersionedTargets(t), stop: make(chan struct{})}
	d.targets.list("v1")
	list := httptest.NewServer(d.targets)
	t.Cleanup(list.Close)
	a := freeAddresses(t, 15)
	common := fmt.Sprintf(`"data-centre": "oulu-1", "seeds": [%q, %q, %q], "first-start": true, "targets-address": %q, "further-sends": {"slack": 50}, "rollouts": {"exposure-share": 0.1}`,
		a[0], a[1], a[2], strings.TrimPrefix(list.URL, "http://"))
	for n := range 3 {
		d.settings = append(d.settings, fmt.Sprintf(`{"vm": "control-%d", %s, "operators-address": %q, "sessions-address": %q, "data-folder": %q, "metrics-address": %q}`,
			n, common, a[3+n], a[n], t.TempDir(), a[6+n]))
		d.operators = append(d.operators, "http://"+a[3+n])
		d.control = append(d.control, startProcess(t, d.settings[n]))
	}
	for n := range 2 {
		startProcess(t, fmt.Sprintf(`{"vm": "entry-%d", %s, "callers-address": %q, "readiness-address": %q, "metrics-address": %q}`,
			n, common, a[9+n], a[11+n], a[13+n]))
	}
	waitForStatus(t, 200, "PUT", d.operators[0]+"/routes", "", rolloutDocument)
	for n := range 2 {
		waitForStatus(t, 200, "GET", "http://"+a[9+n]+"/x", "doors.example", "")
		for range 2 {
			d.callers.Add(1)
			go (&rolloutCaller{deployment: d, url: "http://" + a[9+n] + "/x"}).run()
		}
	}
	t.Cleanup(func() {
		close(d.stop)
		d.callers.Wait()
	})
	return d
}

// rolloutCaller sends about 20 requests a second.
type rolloutCaller struct {
	deployment *rolloutDeployment
	url        string
}

func (c *rolloutCaller) run() {
	defer c.deployment.callers.Done()
	for {
		select {
		case <-time.After(45 * time.Millisecond):
		case <-c.deployment.stop:
			return
		}
		if res, _ := send(c.deployment.t, "GET", c.url, "doors.example", ""); res.StatusCode != http.StatusOK {
			c.deployment.mu.Lock()
			c.deployment.failed++
			c.deployment.mu.Unlock()
		}
	}
}

// failures returns the number of requests that failed.
func (d *rolloutDeployment) failures() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failed
}

// order orders a rollout at any control VM.
func (d *rolloutDeployment) order(version string, duration time.Duration, status int) {
	d.t.Helper()
	d.anyControl("PUT", fmt.Sprintf(`{"version": %q, "duration-ms": %d}`, version, duration.Milliseconds()), status)
}

// anyControl repeats an operators' call about the service at each control VM in turn until
// one answers with the status.
func (d *rolloutDeployment) anyControl(method, body string, status int) string {
	d.t.Helper()
	var text string
	n := 0
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		n++
		var res *http.Response
		if res, text = send(d.t, method, d.operators[n%3]+"/rollouts/s", "", body); res.StatusCode != status {
			return poll.Continue("%d %s", res.StatusCode, text)
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(50*time.Millisecond))
	return text
}

// state returns the state of the rollout.
func (d *rolloutDeployment) state() string {
	d.t.Helper()
	var answer struct{ State string }
	assert.NilError(d.t, json.Unmarshal([]byte(d.anyControl("GET", "", 200)), &answer))
	return answer.State
}

// end waits until the rollout is no longer running and returns its state.
func (d *rolloutDeployment) end() string {
	d.t.Helper()
	state := ""
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if state = d.state(); state == "running" {
			return poll.Continue("running")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	return state
}

// restartControl kills a control VM and starts it again.
func (d *rolloutDeployment) restartControl(n int) {
	assert.NilError(d.t, d.control[n].Process.Kill())
	_ = d.control[n].Wait()
	d.control[n] = startProcess(d.t, d.settings[n])
}

// restartAll kills all control VMs and starts them again.
func (d *rolloutDeployment) restartAll() {
	for n := range d.control {
		assert.NilError(d.t, d.control[n].Process.Kill())
		_ = d.control[n].Wait()
	}
	for n := range d.control {
		d.control[n] = startProcess(d.t, d.settings[n])
	}
}

// promoteIn is the duration of the rollout that succeeds.
const promoteIn = 12 * time.Second

// Guards, with processes, against a version that gets requests without an order, a good
// version that is not promoted, a bad one that is, requests lost when the old targets stop,
// and an order or state that does not survive the loss of all control VMs.
func TestRolloutsEndToEnd(t *testing.T) {
	d := newRolloutDeployment(t)
	d.anyControl("GET", "", 404)
	d.anyControl("PUT", `{"version": "v2"}`, 400)
	res, _ := send(t, "PUT", d.operators[0]+"/rollouts/none", "", `{"version": "v2", "duration-ms": 9000}`)
	assert.Equal(t, res.StatusCode, 400)
	d.targets.list("v1", "v2")
	time.Sleep(2500 * time.Millisecond)
	assert.Equal(t, d.targets.count("v2"), 0, "requests without an order")

	ordered := time.Now()
	d.order("v2", promoteIn, 200)
	d.order("v2", promoteIn, 200)
	d.order("v3", promoteIn, 409)
	assert.Equal(t, d.state(), "running")
	d.restartAll()
	d.order("v2", promoteIn, 200)
	assert.Equal(t, d.state(), "running")
	// A new configuration and a data centre out of service change nothing for a rollout.
	waitForStatus(t, 200, "PUT", d.operators[1]+"/routes", "", strings.Replace(rolloutDocument, `"version": 1`, `"version": 2`, 1))
	waitForStatus(t, 200, "PUT", d.operators[1]+"/data-centres/oulu-9/out", "", "")
	// One control VM is lost while traffic moves.
	time.Sleep(promoteIn*3/4 - time.Since(ordered))
	d.restartControl(0)
	assert.Equal(t, d.end(), "succeeded")
	assert.Assert(t, time.Since(ordered) < promoteIn+time.Second)
	// The targets of the old version stop at once.
	d.targets.servers["v1-a"].Close()
	d.targets.servers["v1-b"].Close()
	d.targets.list("v2")
	time.Sleep(time.Second)
	d.restartAll()
	assert.Equal(t, d.state(), "succeeded")

	d.targets.list("v2", "v3")
	d.targets.fail("v3")
	d.order("v3", 9*time.Second, 200)
	assert.Equal(t, d.end(), "rolled-back")
	d.restartAll()
	d.order("v3", 9*time.Second, 200)
	assert.Equal(t, d.state(), "rolled-back")
	sent := d.targets.count("v3")
	assert.Assert(t, sent > 0 && sent <= 50, "%d requests to a version that always fails", sent)
	time.Sleep(500 * time.Millisecond)
	sent = d.targets.count("v3")
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, d.targets.count("v3"), sent, "requests after the rollback")
	assert.Equal(t, d.failures(), 0, "requests of callers that failed")
}
