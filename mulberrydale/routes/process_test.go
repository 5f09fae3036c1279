package routes

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/process/host"
)

// settingsEnvVar names the environment variable with the path of a settings file. If
// it is set, the test binary runs as a server process with these settings.
const settingsEnvVar = "ROUTES_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsEnvVar); path != "" {
		if err := host.Run(path, Wire{}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// freeAddresses returns n different loopback addresses on which nothing listens.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer socket.Close()
		out = append(out, socket.Addr().String())
	}
	return out
}

// startProcess starts a server process with the given settings. It is killed at the
// end of the test if it is still running.
func startProcess(t *testing.T, settings string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	program, err := os.Executable()
	assert.NilError(t, err)
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), settingsEnvVar+"="+path)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	})
	return cmd
}

// send sends a request and returns the response with its body. After a transport
// error it returns a response with status 0 and the error text.
func send(t *testing.T, method, url, host, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = host
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return &http.Response{}, err.Error()
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res, string(text)
}

// waitForStatus repeats a request until its response has the given status, for at
// most 30 s.
func waitForStatus(t *testing.T, status int, method, url, host, body string) (*http.Response, string) {
	t.Helper()
	var res *http.Response
	var text string
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if res, text = send(t, method, url, host, body); res.StatusCode != status {
			return poll.Continue("%d %s", res.StatusCode, text)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(50*time.Millisecond))
	return res, text
}

// deployment is one control VM and one entry VM, each a process of its own, and
// one target in each of three services. One handler serves all three targets. The
// strings are the base URLs of the servers.
type deployment struct {
	operators string
	callers   string
	readiness string
	metrics   string
	control   *exec.Cmd
	entry     *exec.Cmd
}

// newDeployment starts a deployment and publishes validDocument. It returns when the
// entry VM is ready and has answered a request on the path /round/.
func newDeployment(t *testing.T, leaf http.HandlerFunc) *deployment {
	t.Helper()
	leafs := httptest.NewServer(leaf)
	t.Cleanup(leafs.Close)
	targets := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var entries []string
		for n := 1; n <= 3; n++ {
			entries = append(entries, fmt.Sprintf(`{"id": "i-%d", "service": "s-%d", "address": %q, "data-centre": "oulu-2", "slots": 20}`,
				n, n, strings.TrimPrefix(leafs.URL, "http://")))
		}
		_, _ = io.WriteString(w, `{"targets": [`+strings.Join(entries, ",")+`]}`)
	}))
	t.Cleanup(targets.Close)
	addresses := freeAddresses(t, 6)
	common := fmt.Sprintf(`"data-centre": "oulu-1", "seeds": [%q], "first-start": true, "targets-address": %q, "further-sends": {"slack": 10}, "grace-ms": 4000`,
		addresses[0], strings.TrimPrefix(targets.URL, "http://"))
	control := startProcess(t, fmt.Sprintf(`{"vm": "control-1", %s, "operators-address": %q, "sessions-address": %q, "data-folder": %q, "losses": 0, "metrics-address": %q}`,
		common, addresses[1], addresses[0], t.TempDir(), addresses[2]))
	d := &deployment{operators: "http://" + addresses[1], callers: "http://" + addresses[3], readiness: "http://" + addresses[4], metrics: "http://" + addresses[5], control: control}
	d.entry = startProcess(t, fmt.Sprintf(`{"vm": "entry-1", %s, "callers-address": %q, "readiness-address": %q, "metrics-address": %q}`,
		common, addresses[3], addresses[4], addresses[5]))
	waitForStatus(t, 200, "PUT", d.operators+"/routes", "", validDocument)
	waitForStatus(t, 200, "GET", d.readiness, "", "")
	waitForStatus(t, 200, "GET", d.callers+"/round/1", "rounds.example", "")
	return d
}

// writeLeafResponse writes the response of a target: one record of 16 bytes.
func writeLeafResponse(w http.ResponseWriter, r *http.Request, signature string) {
	names := exchange.OwnHeaderNames()
	w.Header().Set(names.Request(), r.Header.Get(names.Request()))
	w.Header().Set(names.Signature(), signature)
	_, _ = io.WriteString(w, strings.Repeat("r", 16))
}

// Guards against a shutdown that loses responses. Callers keep sending requests on
// open connections until the process has exited; each request that the process has
// forwarded to a target must still be answered.
func TestShutdownAnswersPersistentCallers(t *testing.T) {
	var forwarded sync.Map
	names := exchange.OwnHeaderNames()
	d := newDeployment(t, func(w http.ResponseWriter, r *http.Request) {
		forwarded.Store(r.Header.Get(names.Request()), true)
		time.Sleep(150 * time.Millisecond)
		writeLeafResponse(w, r, "sig")
	})
	var unanswered atomic.Int64
	var callers sync.WaitGroup
	for n := range 8 {
		callers.Add(1)
		go (&persistentCaller{number: n, url: d.callers + "/redelivery/1", forwarded: &forwarded, unanswered: &unanswered, done: &callers}).run()
	}
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, d.entry.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, d.entry.Wait())
	callers.Wait()
	assert.Equal(t, unanswered.Load(), int64(0), "requests that reached a target but got no response")
}

// persistentCaller sends requests one after the other until one fails. forwarded holds
// the ids of the requests that reached a target. A failed request that reached one is
// counted in unanswered.
type persistentCaller struct {
	number     int
	url        string
	forwarded  *sync.Map
	unanswered *atomic.Int64
	done       *sync.WaitGroup
}

func (c *persistentCaller) run() {
	defer c.done.Done()
	client := &http.Client{Transport: &http.Transport{}}
	for n := 0; ; n++ {
		id := fmt.Sprintf("r%d-%d", c.number, n)
		req, err := http.NewRequest("POST", c.url, strings.NewReader("body"))
		if err != nil {
			return
		}
		req.Host = "rounds.example"
		req.Header.Set(exchange.OwnHeaderNames().Request(), id)
		res, err := client.Do(req)
		if err != nil {
			if _, reachedTarget := c.forwarded.Load(id); reachedTarget {
				c.unanswered.Add(1)
			}
			return
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}

// Runs one control VM and one entry VM as processes with this package's formats. A
// document of routes is accepted, callers are answered from shards and from one
// service, a data centre is taken out of service and put back, and the entry VM
// still answers callers while it shuts down.
func TestRoutesEndToEnd(t *testing.T) {
	names := exchange.OwnHeaderNames()
	var signature atomic.Int64
	d := newDeployment(t, func(w http.ResponseWriter, r *http.Request) {
		writeLeafResponse(w, r, fmt.Sprintf("sig-%d", signature.Add(1)))
	})
	operators, callers, entry := d.operators, d.callers, d.entry
	_, text := waitForStatus(t, 200, "GET", operators+"/routes", "", "")
	assert.Equal(t, text, validDocument)
	res, text := waitForStatus(t, 200, "GET", callers+"/round/1", "rounds.example", "")
	assert.Equal(t, text, strings.Repeat("r", 32))
	assert.Equal(t, res.Header.Get(names.Missing()), "0")
	res, _ = waitForStatus(t, 200, "POST", callers+"/redelivery/1", "rounds.example", "body")
	assert.Assert(t, res.Header.Get(names.Signature()) != "")
	res, text = send(t, "GET", callers+"/none/1", "rounds.example", "")
	assert.Equal(t, res.StatusCode, 404, text)
	res, text = send(t, "PUT", operators+"/routes", "", `{"version": 8, "routes": 3}`)
	assert.Equal(t, res.StatusCode, 400, text)
	res, text = send(t, "GET", operators+"/other", "", "")
	assert.Equal(t, res.StatusCode, 404, text)

	waitForStatus(t, 200, "PUT", operators+"/data-centres/oulu-2/out", "", "")
	waitForStatus(t, 503, "GET", callers+"/round/1", "rounds.example", "")
	waitForStatus(t, 200, "DELETE", operators+"/data-centres/oulu-2/out", "", "")
	waitForStatus(t, 200, "GET", callers+"/round/1", "rounds.example", "")

	_, text = waitForStatus(t, 200, "GET", d.metrics+"/metrics", "", "")
	assert.Assert(t, strings.Contains(text, "mulberrydale_answers_complete"), text)
	assert.NilError(t, entry.Process.Signal(syscall.SIGTERM))
	waitForStatus(t, 503, "GET", d.readiness, "", "")
	res, text = send(t, "GET", callers+"/round/1", "rounds.example", "")
	assert.Equal(t, res.StatusCode, 200, text)
	assert.NilError(t, entry.Wait())
}

// A VM without the entry role must answer the operators' calls that it has begun to
// read before it exits.
func TestControlVMAnswersOperatorsCallDuringShutdown(t *testing.T) {
	d := newDeployment(t, func(w http.ResponseWriter, r *http.Request) { writeLeafResponse(w, r, "signature") })
	document := strings.Replace(validDocument, `"version": 7`, `"version": 8`, 1)
	body, sender := io.Pipe()
	req, err := http.NewRequest(http.MethodPut, d.operators+"/routes", body)
	assert.NilError(t, err)
	call := &operatorCall{request: req, done: make(chan struct{})}
	go call.run()
	half := len(document) / 2
	_, err = io.WriteString(sender, document[:half])
	assert.NilError(t, err)
	waitForStatus(t, 200, "GET", d.operators+"/routes", "", "")
	assert.NilError(t, d.control.Process.Signal(syscall.SIGTERM))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if res, _ := send(t, "GET", d.operators+"/routes", "", ""); res.StatusCode != 0 {
			return poll.Continue("the VM still accepts calls")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	_, _ = io.WriteString(sender, document[half:])
	_ = sender.Close()
	<-call.done
	assert.NilError(t, call.err)
	assert.Equal(t, call.status, http.StatusOK)
	assert.NilError(t, d.control.Wait())
}

// operatorCall is a call of an operator that runs in the background.
type operatorCall struct {
	request *http.Request
	done    chan struct{}
	status  int
	err     error
}

func (c *operatorCall) run() {
	defer close(c.done)
	res, err := http.DefaultTransport.RoundTrip(c.request)
	if err != nil {
		c.err = err
		return
	}
	c.status = res.StatusCode
	c.err = res.Body.Close()
}
