// Package listener opens sockets and serves HTTP on them.
package listener

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// Open returns a socket that listens on a TCP address.
func Open(address string) (net.Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, result.Wrap(err, result.ListenFailed, "address %s", address)
	}
	return socket, nil
}

// OpenAll returns a socket for each address, or none where one can't be opened.
func OpenAll(addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, address := range addresses {
		socket, err := Open(address)
		if err != nil {
			for _, opened := range out {
				// Nothing was accepted on it yet.
				_ = opened.Close()
			}
			return nil, err
		}
		out = append(out, socket)
	}
	return out, nil
}

// Start serves HTTP on a socket in the background. A failure comes on the
// channel; the end by Shutdown or Close of the server is none.
func Start(server *http.Server, socket net.Listener, errs chan<- error) {
	go (&serveLoop{server: server, socket: socket, errs: errs}).run()
}

// httpLoop serves one socket.
type serveLoop struct {
	server *http.Server
	socket net.Listener
	errs   chan<- error
}

func (l *serveLoop) run() {
	if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		l.errs <- result.Wrap(err, result.ListenFailed, "serving %s", l.socket.Addr())
	}
}
