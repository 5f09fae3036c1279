package routes

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateCaller opens its connection when the process is told to stop and sends one
// request some time later.
type lateCaller struct {
	conn   net.Conn
	after  time.Duration
	done   chan struct{}
	status int
	err    error
}

// startLateCaller opens the connection of a caller, which sends a request after a
// delay.
func startLateCaller(t *testing.T, address string, after time.Duration) *lateCaller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &lateCaller{conn: conn, after: after, done: make(chan struct{})}
	go c.run()
	return c
}

func (c *lateCaller) run() {
	defer close(c.done)
	time.Sleep(c.after)
	if _, c.err = fmt.Fprintf(c.conn, "POST /redelivery/1 HTTP/1.1\r\nHost: rounds.example\r\nContent-Length: 4\r\n\r\nbody"); c.err != nil {
		return
	}
	res, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		c.err = err
		return
	}
	c.status = res.StatusCode
	c.err = res.Body.Close()
}

// Guards against a planned stop that cuts requests: some came late in the grace period,
// were passed on to a target that takes longer than what is left of it, and ended
// without an answer. With a grace period of 4 s the balancer's lag ends after 2.7 s.
func TestShutdownAnswersRequestsThatTakeTooLong(t *testing.T) {
	arrived := make(chan struct{}, 8)
	finish := make(chan struct{})
	d := newDeployment(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			arrived <- struct{}{}
			<-finish
		}
		writeLeafResponse(w, r, "sig")
	})
	t.Cleanup(func() { close(finish) })
	longer := strings.NewReplacer(`"version": 7`, `"version": 8`, `"time-limit-ms": 2000`, `"time-limit-ms": 20000`).Replace(validDocument)
	waitForStatus(t, 200, "PUT", d.operators+"/routes", "", longer)
	time.Sleep(500 * time.Millisecond)
	tests := []struct {
		name  string
		after time.Duration
		// passedOn is true if the request is sent to a target, so that it may have run.
		passedOn bool
	}{
		{"before the end of the lag", 2300 * time.Millisecond, true},
		{"after the end of the lag", 3000 * time.Millisecond, false},
	}
	address := strings.TrimPrefix(d.callers, "http://")
	assert.NilError(t, d.entry.Process.Signal(syscall.SIGTERM))
	var callers []*lateCaller
	for _, tt := range tests {
		callers = append(callers, startLateCaller(t, address, tt.after))
	}
	for n, tt := range tests {
		<-callers[n].done
		assert.NilError(t, callers[n].err, tt.name)
		if tt.passedOn {
			assert.Equal(t, callers[n].status, http.StatusBadGateway, tt.name)
			continue
		}
		assert.Equal(t, callers[n].status, http.StatusServiceUnavailable, tt.name)
	}
	assert.Equal(t, len(arrived), 1, "requests that reached the target")
	assert.NilError(t, d.entry.Wait())
}
