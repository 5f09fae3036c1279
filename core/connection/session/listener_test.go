package session

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// noHandler ignores the events of sessions.
type noHandler struct{}

func (noHandler) Opened(*Session, time.Time)           {}
func (noHandler) Received(*Session, []byte, time.Time) {}
func (noHandler) Closed(*Session, time.Time)           {}

// A connection that was accepted while the listener closed the others must not stay
// open: its peer would take this VM for alive.
func TestSessionAcceptedDuringCloseIsClosed(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewListener(socket, noHandler{})
	l.close()
	accepted, peerEnd := net.Pipe()
	assert.NilError(t, peerEnd.SetReadDeadline(time.Now().Add(time.Second)))
	i := &inboundSession{listener: l, session: newSession(accepted, "")}
	go i.run()
	_, err = peerEnd.Read(make([]byte, 1))
	assert.Error(t, err, "EOF")
}
