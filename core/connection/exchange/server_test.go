package exchange_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// connHandler serves one connection to a target and closes it.
type connHandler interface{ run() }

// connServer is a target that serves each connection with a handler of its own.
type connServer struct {
	listener net.Listener
	handler  func(conn net.Conn) connHandler
}

// newConnServer starts a target that listens on a free port until the test ends.
func newConnServer(t testing.TB, handler func(conn net.Conn) connHandler) *connServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &connServer{listener: listener, handler: handler}
	go s.run()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *connServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.handler(conn).run()
	}
}

// address returns the address of the target.
func (s *connServer) address() string { return s.listener.Addr().String() }
