// Package listener opens TCP sockets and serves HTTP on them.
package listener

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// Open returns a socket that listens on a TCP address. Its error has the code
// ListenFailed.
func Open(address string) (net.Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, result.Wrap(err, result.ListenFailed, "listening on %s", address)
	}
	return socket, nil
}

// OpenAll returns a socket for each address. If one of them can't be opened, it
// closes those opened before and returns the error.
func OpenAll(addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, address := range addresses {
		socket, err := Open(address)
		if err != nil {
			for _, opened := range out {
				// The socket has accepted no connection, so an error is harmless.
				_ = opened.Close()
			}
			return nil, err
		}
		out = append(out, socket)
	}
	return out, nil
}

// Start serves HTTP on a socket in the background. If serving fails, the error
// is sent to errs; the end of the server by Shutdown or Close is not a failure.
// All requests reach the handler, also OPTIONS for the whole server, which net/http would
// answer with a success of its own.
func Start(server *http.Server, socket net.Listener, errs chan<- error) {
	server.DisableGeneralOptionsHandler = true
	go (&serveLoop{server: server, socket: socket, errs: errs}).run()
}

// serveLoop serves HTTP on one socket.
type serveLoop struct {
	server *http.Server
	socket net.Listener
	errs   chan<- error
}

func (l *serveLoop) run() {
	if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		l.errs <- result.Wrap(err, result.ListenFailed, "serving HTTP on %s", l.socket.Addr())
	}
}
