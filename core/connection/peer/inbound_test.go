package peer

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// A connection that was accepted while the mesh closed the others must not stay
// open: its peer would go on sending to it.
func TestConnectionAcceptedDuringCloseIsClosed(t *testing.T) {
	m := NewMesh(NewHello("c", "vm-1", "dc", "s"), nil, nil, zap.NewNop())
	m.closeInbound()
	accepted, peerEnd := net.Pipe()
	assert.NilError(t, peerEnd.SetReadDeadline(time.Now().Add(time.Second)))
	assert.Assert(t, !m.addInbound(accepted))
	_, err := peerEnd.Read(make([]byte, 1))
	assert.Error(t, err, "EOF")
}
