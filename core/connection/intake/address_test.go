package intake

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// admitFrom admits a connection from an address of the loopback interface.
func admitFrom(t *testing.T, l *Limiter, port int) *Conn {
	t.Helper()
	conn, other := net.Pipe()
	t.Cleanup(func() {
		_ = conn.Close()
		_ = other.Close()
	})
	c := &Conn{Conn: conn, limiter: l}
	assert.Assert(t, l.admit(c, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9), Port: port}, 1<<10, time.Now()))
	return c
}

// The entry of an address was removed when the only connection of the address was closed
// to make room for its next one, which then counted for no address.
func TestShareOfAnAddressHoldsAfterItsOnlyConnectionWasClosed(t *testing.T) {
	l := NewLimiter(2, 1<<20)
	assert.Equal(t, l.maxAddressConns, 1)
	admitFrom(t, l, 1)
	second := admitFrom(t, l, 2)
	assert.Equal(t, len(l.addresses), 1)
	assert.Equal(t, l.addresses[second.use.address], second.use)
	third := admitFrom(t, l, 3)
	assert.Equal(t, third.use, second.use)
	assert.Equal(t, third.use.conns, 1)
}

// A charge that is released after its connection was closed must not remove the entry that
// newer connections of the address use.
func TestLateReleaseKeepsTheNewEntryOfAnAddress(t *testing.T) {
	l := NewLimiter(100, 1<<20)
	c := admitFrom(t, l, 1)
	old := c.use
	l.mu.Lock()
	l.addresses[old.address] = &addressUse{address: old.address, conns: 1}
	old.conns, old.bytes = 0, 0
	l.drop(old)
	l.mu.Unlock()
	assert.Equal(t, len(l.addresses), 1)
}
