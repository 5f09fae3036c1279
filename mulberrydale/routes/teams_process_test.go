package routes

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
)

// revokeWithin is the bound in the settings of the tests.
const revokeWithin = 2 * time.Second

// link forwards connections to an address. While it is cut, nothing passes, and the
// connections stay open.
type link struct {
	socket net.Listener
	target string

	mu    sync.Mutex
	open  *sync.Cond
	isCut bool
}

func newLink(t *testing.T, address, target string) *link {
	t.Helper()
	socket, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	l := &link{socket: socket, target: target}
	l.open = sync.NewCond(&l.mu)
	go l.run()
	return l
}

func (l *link) run() {
	for {
		near, err := l.socket.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		go (&linkCopy{link: l, from: near, to: far}).run()
		go (&linkCopy{link: l, from: far, to: near}).run()
	}
}

func (l *link) cut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	l.open.Broadcast()
}

func (l *link) waitUntilOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.isCut {
		l.open.Wait()
	}
}

// linkCopy forwards one direction of a connection.
type linkCopy struct {
	link     *link
	from, to net.Conn
}

func (c *linkCopy) run() {
	defer c.from.Close()
	defer c.to.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := c.from.Read(buf)
		c.link.waitUntilOpen()
		if _, writeErr := c.to.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// teamsDeployment is a control VM and an entry VM, which reach each other over a link, and one
// target that records the paths of its requests.
type teamsDeployment struct {
	operators string
	callers   string
	link      *link
	entry     *exec.Cmd
	version   int

	mu       sync.Mutex
	received map[string]bool
}

func newTeamsDeployment(t *testing.T) *teamsDeployment {
	t.Helper()
	d := &teamsDeployment{received: make(map[string]bool)}
	leaf := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.received[r.URL.Path] = true
		d.mu.Unlock()
		writeLeafResponse(w, r, "sig")
	}))
	t.Cleanup(leaf.Close)
	targets := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"targets": [{"id": "i-1", "service": "s-1", "address": %q, "data-centre": "oulu-1", "slots": 20}]}`, strings.TrimPrefix(leaf.URL, "http://"))
	}))
	t.Cleanup(targets.Close)
	a := freeAddresses(t, 8)
	d.link = newLink(t, a[0], a[1])
	common := fmt.Sprintf(`"data-centre": "oulu-1", "seeds": [%q], "first-start": true, "targets-address": %q, "revocation": {"strict": true, "within-ms": %d}`,
		a[0], strings.TrimPrefix(targets.URL, "http://"), revokeWithin.Milliseconds())
	startProcess(t, fmt.Sprintf(`{"vm": "control-1", %s, "operators-address": %q, "sessions-address": %q, "sessions-reached-at": %q, "data-folder": %q, "losses": 0, "metrics-address": %q}`,
		common, a[2], a[1], a[0], t.TempDir(), a[3]))
	d.entry = startProcess(t, fmt.Sprintf(`{"vm": "entry-1", %s, "callers-address": %q, "readiness-address": %q, "metrics-address": %q}`, common, a[4], a[5], a[6]))
	d.operators, d.callers = "http://"+a[2], "http://"+a[4]
	return d
}

// publish publishes routes whose only team holds the given keys, and returns when they were
// acknowledged.
func (d *teamsDeployment) publish(t *testing.T, keys ...string) time.Time {
	t.Helper()
	d.version++
	waitForStatus(t, 200, "PUT", d.operators+"/routes", "", fmt.Sprintf(`{"version": %d, "routes": [
		{"name": "r", "host": "h.example", "path": "/r/", "time-limit-ms": 2000, "services": [{"name": "s-1"}]},
		{"name": "open", "host": "h.example", "path": "/open/", "time-limit-ms": 2000, "services": [{"name": "s-1"}], "public": true}],
		"services": [{"name": "s-1"}], "teams": [{"name": "kami", "keys": ["%s"]}]}`, d.version, strings.Join(keys, `", "`)))
	return time.Now()
}

// sendKey sends a request with a key and returns the status, 0 after a transport error.
func (d *teamsDeployment) sendKey(t *testing.T, path, key string) (int, http.Header) {
	t.Helper()
	req, err := http.NewRequest("GET", d.callers+path, nil)
	assert.NilError(t, err)
	req.Host = "h.example"
	if key != "" {
		req.Header.Set(exchange.OwnHeaderNames().Key(), key)
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Header
}

func (d *teamsDeployment) waitForKey(t *testing.T, status int, key string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got, _ := d.sendKey(t, "/r/wait", key); got != status {
			return poll.Continue("status %d", got)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (d *teamsDeployment) ran(path string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.received[path]
}

// A request that is sent to a stopped process after the bound, and read by it when it goes on,
// must not run with a key that was taken away meanwhile.
func TestKeyWithdrawnWhileTheEntryVMIsStopped(t *testing.T) {
	d := newTeamsDeployment(t)
	d.publish(t, "old", "stays")
	d.waitForKey(t, 200, "old")
	assert.NilError(t, d.entry.Process.Signal(syscall.SIGSTOP))
	acknowledged := d.publish(t, "stays")
	time.Sleep(time.Until(acknowledged.Add(revokeWithin + 50*time.Millisecond)))
	var group sync.WaitGroup
	statuses := make([]int, 8)
	for n := range statuses {
		group.Go(func() { statuses[n], _ = d.sendKey(t, "/r/late-"+strconv.Itoa(n), "old") })
	}
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, d.entry.Process.Signal(syscall.SIGCONT))
	group.Wait()
	for n, status := range statuses {
		assert.Assert(t, status == 401 || status == 503, "status %d", status)
		assert.Assert(t, !d.ran("/r/late-"+strconv.Itoa(n)), "a request ran with a key that was taken away")
	}
	d.waitForKey(t, 200, "stays")
	d.waitForKey(t, 401, "old")
}

// An entry VM that is cut off must stop to accept a key within the bound, must not refuse a key
// for good that was added meanwhile, and must go on with public routes.
func TestKeyWithdrawnWhileTheEntryVMIsCutOff(t *testing.T) {
	d := newTeamsDeployment(t)
	d.publish(t, "old", "stays")
	d.waitForKey(t, 200, "old")
	d.link.cut(true)
	acknowledged := d.publish(t, "stays", "new")
	statuses := make(map[int]int)
	for n := 0; time.Since(acknowledged) < revokeWithin+1500*time.Millisecond; n++ {
		path := "/r/cut-" + strconv.Itoa(n)
		late := time.Since(acknowledged) > revokeWithin
		status, header := d.sendKey(t, path, "old")
		statuses[status]++
		if late {
			assert.Equal(t, status, 503)
			assert.Assert(t, header.Get("Retry-After") != "")
			assert.Assert(t, !d.ran(path), "a request ran with a key that was taken away")
			status, _ = d.sendKey(t, "/open/1", "")
			assert.Equal(t, status, 200)
		}
		status, _ = d.sendKey(t, "/r/new", "new")
		if status == 401 {
			assert.Assert(t, time.Since(acknowledged) < revokeWithin, "a key that was added was refused for good")
		}
		time.Sleep(40 * time.Millisecond)
	}
	t.Logf("statuses of the key that was taken away: %v", statuses)
	assert.Assert(t, statuses[200] > 0, "the VM did not go on for a while")
	d.link.cut(false)
	d.waitForKey(t, 200, "new")
	d.waitForKey(t, 401, "old")
	d.waitForKey(t, 200, "stays")
}

// Calm, a VM in touch must never lose its confirmation: every request with a key is answered,
// also while new versions take over.
func TestKeysAreAcceptedAllTheTimeInCalm(t *testing.T) {
	d := newTeamsDeployment(t)
	d.publish(t, "stays")
	d.waitForKey(t, 200, "stays")
	began := time.Now()
	published := 0
	for n := 0; time.Since(began) < 3*revokeWithin; n++ {
		status, _ := d.sendKey(t, "/r/calm", "stays")
		assert.Equal(t, status, 200, "request %d after %v", n, time.Since(began))
		if time.Since(began) > time.Duration(published+1)*time.Second {
			published++
			d.publish(t, "stays", "added-"+strconv.Itoa(published))
		}
		time.Sleep(10 * time.Millisecond)
	}
}
