package cluster_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/connection/peer"
)

// rawSession is the session of an entry VM of which a test sends and reads each message.
type rawSession struct {
	t    *testing.T
	vm   string
	conn net.Conn
}

// dialRaw opens a session to a control VM and sends a presence. Everything must be received
// within the given time.
func dialRaw(t *testing.T, address string, presence peer.Presence, within time.Duration) *rawSession {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	s := &rawSession{t: t, vm: presence.VM(), conn: conn}
	s.send(presence)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(within)))
	return s
}

func (s *rawSession) send(m peer.Message) {
	s.t.Helper()
	assert.NilError(s.t, frame.Write(s.conn, peer.Encode(m)))
}

// receive returns the next message and its size in bytes.
func (s *rawSession) receive() (peer.Message, int) {
	s.t.Helper()
	payload, err := frame.Read(s.conn)
	assert.NilError(s.t, err, "%s did not receive what it waits for", s.vm)
	m, err := peer.Decode(payload)
	assert.NilError(s.t, err)
	return m, len(payload)
}
