package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/intake"
)

// get is an ordinary request.
const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

// head returns an unfinished head with n bytes of fields.
func head(n int) string { return "GET /a HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", n) }

// A head within the declared limits must be served, with as many lines as it has room
// for, and one over them must be refused without being read to its end.
func TestHeadLimits(t *testing.T) {
	const limit = 16384
	tests := []struct {
		name   string
		text   string
		status int
	}{
		{"the declared size in one line", head(limit-12) + "\r\n\r\n", http.StatusOK},
		{"the declared size in the shortest lines", "GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", limit/3-5) + "\r\n", http.StatusOK},
		{"a line without end", head(limit * 2), http.StatusRequestHeaderFieldsTooLarge},
		{"lines without end", "GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", limit/2), http.StatusRequestHeaderFieldsTooLarge},
		{"a request line without end", "GET /" + strings.Repeat("a", 2*limit), http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := intake.NewLimiter(100, 8<<20)
			l.SetLimits(intake.NewLimits(limit, time.Second))
			conn := dial(t, newServer(t, l, echo))
			write(t, conn, tt.text)
			status, _ := readResponse(t, bufio.NewReader(conn))
			assert.Equal(t, status, tt.status)
			assert.Equal(t, count(l.TakeCounts(), "head-over-limit") == 1, tt.status == http.StatusRequestHeaderFieldsTooLarge)
		})
	}
}

// Limits that an operator lowers at run time must hold for connections that are open.
func TestLimitsChangeAtRunTime(t *testing.T) {
	l := intake.NewLimiter(100, 8<<20)
	conn := dial(t, newServer(t, l, echo))
	reader := bufio.NewReader(conn)
	write(t, conn, head(50000)+"\r\n\r\n")
	status, _ := readResponse(t, reader)
	assert.Equal(t, status, http.StatusOK)
	l.SetLimits(intake.NewLimits(16384, time.Second))
	write(t, conn, head(50000)+"\r\n\r\n")
	status, _ = readResponse(t, reader)
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
}

// An unfinished head must cost its bytes only, and ordinary requests must find room when
// unfinished ones, the oldest first, have used up connections or memory.
func TestOldestUnfinishedRequestsMakeRoom(t *testing.T) {
	unfinishedBody := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 50000)
	tests := []struct {
		name    string
		limits  func() *intake.Limiter
		text    string
		callers int
	}{
		{"connections that send nothing", func() *intake.Limiter { return intake.NewLimiter(8, 8<<20) }, "", 20},
		{"unfinished heads", func() *intake.Limiter { return intake.NewLimiter(8, 8<<20) }, head(100), 20},
		{"unfinished heads, memory", func() *intake.Limiter { return intake.NewLimiter(1000, 1<<20) }, head(12000), 60},
		{"unfinished bodies, memory", func() *intake.Limiter { return intake.NewLimiter(1000, 1<<20) }, unfinishedBody, 60},
		{"idle connections", func() *intake.Limiter { return intake.NewLimiter(8, 8<<20) }, get, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := tt.limits()
			address := newServer(t, l, echo)
			for range tt.callers {
				// A caller that is closed meanwhile can't write everything.
				_, _ = io.WriteString(dial(t, address), tt.text)
				time.Sleep(time.Millisecond)
			}
			conn := dial(t, address)
			write(t, conn, get)
			status, _ := readResponse(t, bufio.NewReader(conn))
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, count(l.TakeCounts(), "evicted") > 0)
		})
	}
}

// A request that is being answered must not be closed to make room; a further one is
// refused, with a 503 that is true.
func TestRunningRequestsAreNotEvicted(t *testing.T) {
	l := intake.NewLimiter(1000, 400<<10)
	release, started := make(chan struct{}), make(chan struct{}, 100)
	served := 0
	address := newServer(t, l, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		echo(w, r)
	})
	var running []net.Conn
	for {
		conn := dial(t, address)
		write(t, conn, get)
		select {
		case <-started:
			served++
			running = append(running, conn)
			continue
		case <-time.After(200 * time.Millisecond):
		}
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, res.Header.Get("Retry-After") != "")
		break
	}
	assert.Assert(t, served > 4, "%d", served)
	close(release)
	for _, conn := range running {
		status, _ := readResponse(t, bufio.NewReader(conn))
		assert.Equal(t, status, http.StatusOK)
	}
}

// The largest legal request must be served when there is no other one, whole or in chunks.
func TestLargestRequestIsServedAlone(t *testing.T) {
	l := intake.NewLimiter(100, 4<<20)
	address := newServer(t, l, echo)
	body := strings.Repeat("b", bodyLimit)
	fields := strings.Repeat("a: b\r\n", 2200)
	for name, text := range map[string]string{
		"with a length": "POST /b HTTP/1.1\r\nHost: h\r\n" + fields + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit) + body,
		"in chunks":     "POST /b HTTP/1.1\r\nHost: h\r\n" + fields + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", bodyLimit) + body + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, address)
			write(t, conn, text)
			status, answer := readResponse(t, bufio.NewReader(conn))
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, strings.Contains(answer, fmt.Sprint(bodyLimit)), answer)
		})
	}
}

// A caller that is slow within its limits must be served, and one that is slower than
// them must be closed.
func TestOverdueConnectionsAreClosed(t *testing.T) {
	body := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 10<<10)
	tests := []struct {
		name  string
		text  string
		after time.Duration
		open  bool
	}{
		{"a head within its time", head(10), 2900 * time.Millisecond, true},
		{"a head after its time", head(10), 3100 * time.Millisecond, false},
		{"nothing, as load balancers do", "", 25 * time.Second, true},
		{"nothing for too long", "", 31 * time.Second, false},
		{"a body at a low rate", body, 39 * time.Second, true},
		{"a body below that rate", body, 41 * time.Second, false},
		{"no further request", get, time.Hour, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := intake.NewLimiter(100, 8<<20)
			l.SetLimits(intake.NewLimits(16384, 3*time.Second))
			conn := dial(t, newServer(t, l, echo))
			write(t, conn, tt.text)
			if tt.text == get {
				_, _ = readResponse(t, bufio.NewReader(conn))
			}
			time.Sleep(20 * time.Millisecond)
			l.CloseOverdue(time.Now().Add(tt.after - 20*time.Millisecond))
			n, _ := l.Use()
			assert.Equal(t, n == 1, tt.open)
			assert.Equal(t, count(l.TakeCounts(), "too-slow"), int64(1-n))
		})
	}
}

// acceptFrames returns a listener of frames until the test ends, and both ends of its first
// connection.
func acceptFrames(t *testing.T, l *intake.Limiter) (socket net.Listener, client, accepted net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	socket = l.ListenFrames(inner)
	client = dial(t, inner.Addr().String())
	accepted, err = socket.Accept()
	assert.NilError(t, err)
	return socket, client, accepted
}

// Frames must be charged while they arrive and released when they were handled; a caller
// that sends more than there is room for is closed, and so are the oldest silent ones.
func TestFramesAreCharged(t *testing.T) {
	l := intake.NewLimiter(4, 1<<20)
	socket, client, accepted := acceptFrames(t, l)
	buf := make([]byte, 16<<10)
	var err error
	for range 10 {
		write(t, client, string(buf))
		_, err = io.ReadFull(accepted, buf)
		assert.NilError(t, err)
		_, bytes := l.Use()
		assert.Assert(t, bytes >= int64(len(buf)))
		accepted.(*intake.FrameConn).MessageDone()
		waitForUse(t, l, 1, 64<<10)
	}
	for range 100 {
		if _, err = client.Write(buf); err != nil {
			break
		}
		if _, err = io.ReadFull(accepted, buf); err != nil {
			break
		}
	}
	assert.Assert(t, err != nil, "1.6 MB of one frame were read")
	assert.NilError(t, accepted.Close())
	for range 10 {
		_ = dial(t, socket.Addr().String())
		_, err := socket.Accept()
		assert.NilError(t, err)
	}
	n, _ := l.Use()
	assert.Assert(t, n <= 4)
}

// A caller that has not said who it is must not send a large frame, even if there is room.
func TestFirstFrameIsLimited(t *testing.T) {
	_, client, accepted := acceptFrames(t, intake.NewLimiter(4, 64<<20))
	buf := make([]byte, 16<<10)
	var err error
	for n := 0; err == nil; n++ {
		assert.Assert(t, n <= 64, "more than 1 MB were read")
		write(t, client, string(buf))
		_, err = io.ReadFull(accepted, buf)
	}
}

// The memory and the descriptors of the machine decide on the budget, and nothing that is
// not stated makes it empty.
func TestBudgetFollowsTheMachine(t *testing.T) {
	tests := []struct {
		name               string
		memoryMB, files    int
		minConns, maxConns int
		minMB, maxMB       int64
	}{
		{"an entry VM", 184, 4100, 1000, 3000, 50, 80},
		{"a control VM", 280, 4096, 1000, 3000, 100, 130},
		{"little of both", 10, 50, 8, 8, 4, 4},
		{"nothing stated", 0, 0, 8, 1 << 16, 2000, 2048},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conns, bytes := intake.NewBudget(int64(tt.memoryMB)<<20, tt.files).NewLimiter(1).Bounds()
			assert.Assert(t, conns >= tt.minConns && conns <= tt.maxConns, "%d", conns)
			assert.Assert(t, bytes>>20 >= tt.minMB && bytes>>20 <= tt.maxMB, "%d", bytes)
		})
	}
}

// Responses of targets must leave half of the memory to requests, and what is charged for
// them must be released with the request.
func TestResponsesLeaveRoomForRequests(t *testing.T) {
	const limit = 1 << 20
	l := intake.NewLimiter(100, limit)
	granted := make(chan bool, 8)
	server := newServer(t, l, func(w http.ResponseWriter, r *http.Request) {
		_, charge, err := intake.ReadBody(r, limit)
		if err != nil {
			granted <- false
			return
		}
		defer charge.Release()
		granted <- charge.GrowForResponse(limit / 4)
		granted <- charge.GrowForResponse(limit / 4)
		granted <- charge.GrowForResponse(1)
		charge.ShrinkForResponse(limit / 4)
		granted <- charge.GrowForResponse(1)
	})
	for range 2 {
		conn := dial(t, server)
		write(t, conn, get)
		status, _ := readResponse(t, bufio.NewReader(conn))
		assert.Equal(t, status, http.StatusOK)
		for _, want := range []bool{true, true, false, true} {
			assert.Equal(t, <-granted, want)
		}
	}
	var none *intake.Charge
	assert.Assert(t, none.GrowForResponse(limit), "a request without a limiter has no limit")
	none.ShrinkForResponse(limit)
}
