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

// settingsVariable makes the test program run as a process of the tier.
const settingsVariable = "ROUTES_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsVariable); path != "" {
		if err := host.Run(path, Wire{}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// freeAddresses returns addresses on which nothing listens.
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

// start runs a process of the tier with settings.
func start(t *testing.T, settings string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	program, err := os.Executable()
	assert.NilError(t, err)
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), settingsVariable+"="+path)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	})
	return cmd
}

func do(t *testing.T, method, url, host, body string) (*http.Response, string) {
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

// waitFor repeats a call until it has a status.
func waitFor(t *testing.T, status int, method, url, host, body string) (*http.Response, string) {
	t.Helper()
	var res *http.Response
	var text string
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if res, text = do(t, method, url, host, body); res.StatusCode != status {
			return poll.Continue("%d %s", res.StatusCode, text)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(50*time.Millisecond))
	return res, text
}

// installation is one control VM and one entry VM as processes, with targets of
// three services that one handler plays.
type installation struct {
	operators string
	callers   string
	readiness string
	metrics   string
	entry     *exec.Cmd
}

func newInstallation(t *testing.T, leaf http.HandlerFunc) *installation {
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
	at := freeAddresses(t, 6)
	common := fmt.Sprintf(`"data-centre": "oulu-1", "seeds": [%q], "first-start": true, "targets-address": %q, "further-sends": {"slack": 10}, "grace-ms": 4000`,
		at[0], strings.TrimPrefix(targets.URL, "http://"))
	start(t, fmt.Sprintf(`{"vm": "control-1", %s, "operators-address": %q, "sessions-address": %q, "data-folder": %q, "losses": 0, "metrics-address": %q}`,
		common, at[1], at[0], t.TempDir(), at[2]))
	in := &installation{operators: "http://" + at[1], callers: "http://" + at[3], readiness: "http://" + at[4], metrics: "http://" + at[5]}
	in.entry = start(t, fmt.Sprintf(`{"vm": "entry-1", %s, "callers-address": %q, "readiness-address": %q, "metrics-address": %q}`,
		common, at[3], at[4], at[5]))
	waitFor(t, 200, "PUT", in.operators+"/routes", "", goodDocument)
	waitFor(t, 200, "GET", in.readiness, "", "")
	waitFor(t, 200, "GET", in.callers+"/round/1", "rounds.example", "")
	return in
}

// answerAsLeaf writes the response of a target, one record of 16 bytes.
func answerAsLeaf(w http.ResponseWriter, r *http.Request, signature string) {
	names := exchange.OwnHeaderNames()
	w.Header().Set(names.Request(), r.Header.Get(names.Request()))
	w.Header().Set(names.Signature(), signature)
	_, _ = io.WriteString(w, strings.Repeat("r", 16))
}

// The load: callers go on using their connections until the process is gone.
// What it has passed on to a target is answered all the same.
func TestLeavingCutsNoRequestOfCallersThatGoOn(t *testing.T) {
	var ran sync.Map
	names := exchange.OwnHeaderNames()
	in := newInstallation(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get(names.Request()), true)
		time.Sleep(150 * time.Millisecond)
		answerAsLeaf(w, r, "sig")
	})
	var cut atomic.Int64
	var all sync.WaitGroup
	for n := range 8 {
		all.Add(1)
		go (&persistentCaller{number: n, url: in.callers + "/redelivery/1", ran: &ran, cut: &cut, done: &all}).run()
	}
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, in.entry.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, in.entry.Wait())
	all.Wait()
	assert.Equal(t, cut.Load(), int64(0), "requests ran and got no answer")
}

// persistentCaller asks again and again until nobody listens any more.
type persistentCaller struct {
	number int
	url    string
	ran    *sync.Map
	cut    *atomic.Int64
	done   *sync.WaitGroup
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
			if _, ran := c.ran.Load(id); ran {
				c.cut.Add(1)
			}
			return
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}

// One control VM and one entry VM as processes, in the tier's own form: a
// document of routes is accepted, callers are answered from shards and from one
// service, a data centre is taken out and back in, and the entry VM leaves
// without a cut.
func TestCallersAreAnsweredByRoutes(t *testing.T) {
	names := exchange.OwnHeaderNames()
	var signature atomic.Int64
	in := newInstallation(t, func(w http.ResponseWriter, r *http.Request) {
		answerAsLeaf(w, r, fmt.Sprintf("sig-%d", signature.Add(1)))
	})
	operators, callers, entry := in.operators, in.callers, in.entry
	_, text := waitFor(t, 200, "GET", operators+"/routes", "", "")
	assert.Equal(t, text, goodDocument)
	res, text := waitFor(t, 200, "GET", callers+"/round/1", "rounds.example", "")
	assert.Equal(t, text, strings.Repeat("r", 32))
	assert.Equal(t, res.Header.Get(names.Missing()), "0")
	res, _ = waitFor(t, 200, "POST", callers+"/redelivery/1", "rounds.example", "body")
	assert.Assert(t, res.Header.Get(names.Signature()) != "")
	res, text = do(t, "GET", callers+"/none/1", "rounds.example", "")
	assert.Equal(t, res.StatusCode, 404, text)
	res, text = do(t, "PUT", operators+"/routes", "", `{"version": 8, "routes": 3}`)
	assert.Equal(t, res.StatusCode, 400, text)
	res, text = do(t, "GET", operators+"/other", "", "")
	assert.Equal(t, res.StatusCode, 404, text)

	waitFor(t, 200, "PUT", operators+"/data-centres/oulu-2/out", "", "")
	waitFor(t, 503, "GET", callers+"/round/1", "rounds.example", "")
	waitFor(t, 200, "DELETE", operators+"/data-centres/oulu-2/out", "", "")
	waitFor(t, 200, "GET", callers+"/round/1", "rounds.example", "")

	_, text = waitFor(t, 200, "GET", in.metrics+"/metrics", "", "")
	assert.Assert(t, strings.Contains(text, "mulberrydale_answers_complete"), text)
	assert.NilError(t, entry.Process.Signal(syscall.SIGTERM))
	waitFor(t, 503, "GET", in.readiness, "", "")
	res, text = do(t, "GET", callers+"/round/1", "rounds.example", "")
	assert.Equal(t, res.StatusCode, 200, text)
	assert.NilError(t, entry.Wait())
}
