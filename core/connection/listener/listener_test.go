package listener_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/listener"
	"github.com/mulberrydale/mulberrydale/core/result"
)

func TestOpenAllClosesSocketsOnFailure(t *testing.T) {
	used, err := listener.Open("127.0.0.1:0")
	assert.NilError(t, err)
	defer used.Close()
	free, err := listener.Open("127.0.0.1:0")
	assert.NilError(t, err)
	address := free.Addr().String()
	assert.NilError(t, free.Close())
	_, err = listener.OpenAll(address, used.Addr().String())
	assert.Equal(t, result.CodeOf(err), result.ListenFailed)
	reopened, err := net.Listen("tcp", address)
	assert.NilError(t, err, "the first socket is still open")
	assert.NilError(t, reopened.Close())
}

func TestStartReportsOnlyUnexpectedErrors(t *testing.T) {
	tests := []struct {
		name      string
		stop      func(server *http.Server, socket net.Listener) error
		wantError bool
	}{
		{"the server is closed", func(server *http.Server, _ net.Listener) error { return server.Close() }, false},
		{"the socket fails", func(_ *http.Server, socket net.Listener) error { return socket.Close() }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			socket, err := listener.Open("127.0.0.1:0")
			assert.NilError(t, err)
			errs := make(chan error, 1)
			server := &http.Server{Handler: http.NotFoundHandler()}
			listener.Start(server, socket, errs)
			res, err := http.Get("http://" + socket.Addr().String())
			assert.NilError(t, err)
			assert.NilError(t, res.Body.Close())
			assert.NilError(t, tt.stop(server, socket))
			select {
			case err := <-errs:
				assert.Assert(t, tt.wantError, "%v", err)
			case <-time.After(200 * time.Millisecond):
				assert.Assert(t, !tt.wantError)
			}
		})
	}
}

// Guards against a success that no target gave: net/http answers OPTIONS for the whole server
// by itself unless it is told not to.
func TestOptionsForTheServerReachTheHandler(t *testing.T) {
	socket, err := listener.Open("127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.NotFoundHandler()}
	listener.Start(server, socket, make(chan error, 1))
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", socket.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: a.example\r\n\r\n")
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusNotFound)
}

func ExampleStart() {
	socket, err := listener.Open("127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hello")
	})}
	listener.Start(server, socket, make(chan error, 1))
	res, err := http.Get("http://" + socket.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	text, _ := io.ReadAll(res.Body)
	fmt.Println(string(text))
	_ = res.Body.Close()
	_ = server.Close()
	// Output: hello
}
