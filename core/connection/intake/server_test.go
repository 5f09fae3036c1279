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
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/intake"
)

const bodyLimit = 64 << 10

// echo answers with the method, the path, a header field and the size of the body.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	body, charge, err := intake.ReadBody(r, bodyLimit)
	defer charge.Release()
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %d %v", r.Method, r.URL.Path, r.Header.Get("X-Field"), len(body), len(r.Header))
}

// newServer serves a handler within the limits until the test ends.
func newServer(t testing.TB, l *intake.Limiter, handler http.HandlerFunc) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: handler}
	if l != nil {
		l.Protect(server)
		socket = l.Listen(socket)
	}
	go func() { _ = server.Serve(socket) }()
	t.Cleanup(func() { _ = server.Close() })
	return socket.Addr().String()
}

// dial opens a connection until the test ends.
func dial(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// write writes a text to a connection.
func write(t testing.TB, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

// readResponse reads a response and its body.
func readResponse(t testing.TB, reader *bufio.Reader) (int, string) {
	t.Helper()
	res, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, string(body)
}

// waitForUse waits until a limiter has a number of connections and charges at most so many
// bytes for each.
func waitForUse(t testing.TB, l *intake.Limiter, conns int, bytesEach int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n, bytes := l.Use(); n != conns || bytes > int64(conns)*bytesEach {
			return poll.Continue("%d connections, %d bytes", n, bytes)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

// count returns the number of events of one kind.
func count(c intake.Counts, name string) int64 {
	for _, n := range c.List() {
		if n.Name() == name {
			return n.Value()
		}
	}
	return -1
}

// sendAll sends a text, cut into pieces that are sent one after the other, and returns
// everything that the server sends until it closes the connection.
func sendAll(t testing.TB, address string, pieces ...string) string {
	t.Helper()
	conn := dial(t, address)
	for n, piece := range pieces {
		if n > 0 {
			time.Sleep(2 * time.Millisecond)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			break
		}
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	text, _ := io.ReadAll(conn)
	return string(text)
}

// The server must answer as it does without a limiter, however what a caller sends is cut,
// also several requests at once.
func TestRequestsAreAnsweredAsWithoutALimiter(t *testing.T) {
	get := "GET /a HTTP/1.1\r\nHost: h\r\nX-Field: v\r\n\r\n"
	post := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX-Field: w\r\n\r\nhello"
	inChunks := "POST /c HTTP/1.1\r\nHost: h\r\ntransfer-encoding: CHUNKED\r\n\r\n5\r\nhello\r\n3;ext=1\r\nbye\r\n0\r\nX-Trailer: t\r\n\r\n"
	last := "GET /z HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	tests := map[string]string{
		"one request":                    last,
		"pipelined requests":             get + post + inChunks + get + last,
		"bare line feeds":                "GET /a HTTP/1.1\nHost: h\n\n" + last,
		"an empty line before a request": "\r\n" + get + last,
		"an empty line after a body":     post + "\r\n" + last,
		"a body of length 0":             "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + last,
		"two equal lengths":              "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello" + last,
		"two lengths":                    "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello" + last,
		"a negative length":              "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n" + last,
		"a length and chunks":            "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + last,
		"another encoding":               "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n" + last,
		"a field without a colon":        "GET /a HTTP/1.1\r\nHost: h\r\nnothing\r\n\r\n" + last,
		"a space before the colon":       "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\nhello" + last,
		"a folded field":                 "GET /a HTTP/1.1\r\nHost: h\r\nX-Field: a\r\n b\r\n\r\n" + last,
		"HTTP/1.0":                       "GET /a HTTP/1.0\r\nHost: h\r\n\r\n",
		"no request":                     "nothing\r\n\r\n",
		"an end within a head":           "GET /a HT",
		"a chunk without a size":         "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n\r\n",
		"a body larger than declared":    "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello!" + last,
		"a body of one buffer and more":  "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000) + last,
		"an expectation":                 "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello" + last,
	}
	plain := newServer(t, nil, echo)
	limiter := intake.NewLimiter(100, 8<<20)
	limited := newServer(t, limiter, echo)
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			want := sendAll(t, plain, text)
			assert.Equal(t, sendAll(t, limited, text), want)
			for cut := 1; cut < min(len(text), 260); cut += 3 {
				assert.Equal(t, sendAll(t, limited, text[:cut], text[cut:]), sendAll(t, plain, text[:cut], text[cut:]), "cut after %d bytes", cut)
			}
		})
	}
}

// Everything that is charged must be released when a request has been answered and when
// its connection is closed, so that the budget does not shrink.
func TestChargesAreReleased(t *testing.T) {
	l := intake.NewLimiter(100, 8<<20)
	address := newServer(t, l, echo)
	for n := range 30 {
		conn := dial(t, address)
		reader := bufio.NewReader(conn)
		for range 3 {
			write(t, conn, "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"+strings.Repeat("b", 10000))
			time.Sleep(time.Millisecond)
			write(t, conn, strings.Repeat("b", 10000))
			status, _ := readResponse(t, reader)
			assert.Equal(t, status, http.StatusOK)
		}
		waitForUse(t, l, 1, 24<<10)
		write(t, conn, []string{"", "GET /a", "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\nbbb"}[n%3])
		assert.NilError(t, conn.Close())
		waitForUse(t, l, 0, 0)
	}
}
