package untrusted

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// program is the path of the server program, which TestMain builds.
var program string

// TestMain builds the program as it is installed. The race detector, which multiplies
// the memory of a process, is not in it, so that the bounds hold for every way to run
// the tests.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "untrusted")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(folder, "mulberrydale")
	build := exec.Command("go", "build", "-o", program, "github.com/mulberrydale/mulberrydale/mulberrydale")
	build.Stderr = os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// server is a running server process.
type server struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startServer starts the program with a subcommand and the text of its settings, and
// kills it at the end of the test.
func startServer(t *testing.T, command, settings string) *server {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	cmd := exec.Command(program, command, "--settings", path)
	var output bytes.Buffer
	cmd.Stderr = &output
	assert.NilError(t, cmd.Start())
	s := &server{cmd: cmd, done: make(chan struct{})}
	go s.run()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-s.done
		if t.Failed() {
			t.Logf("the process wrote: %.2000s", output.String())
		}
	})
	return s
}

// run waits for the end of the process.
func (s *server) run() {
	_ = s.cmd.Wait()
	close(s.done)
}

// alive reports whether the process is running.
func (s *server) alive() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// peakMemory returns the largest resident memory of the process so far, in bytes, 0 if
// the process has ended.
func (s *server) peakMemory() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// openFiles returns the number of descriptors that the process has open.
func (s *server) openFiles() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
	return len(entries)
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

// ordinary is an ordinary request on a connection of its own, and the status that
// answers it.
type ordinary struct {
	method, url, host, body string
	status                  int
}

// send sends the request and returns the status, or 0 and an error.
func (o ordinary) send() (int, error) {
	req, err := http.NewRequest(o.method, o.url, strings.NewReader(o.body))
	if err != nil {
		return 0, err
	}
	req.Host = o.host
	req.Close = true
	client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// waitUntilAnswered repeats the request until it is answered as expected, for at most
// 30 s.
func (o ordinary) waitUntilAnswered(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, err := o.send()
		if err != nil || status != o.status {
			return poll.Continue("%s %s: %d %v", o.method, o.url, status, err)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(50*time.Millisecond))
}
