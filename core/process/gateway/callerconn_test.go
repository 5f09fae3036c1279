package gateway

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// A caller on a new connection has waited for the set-up of the connection before this VM
// sees its request. Its answers were late by this time, while answers on kept connections
// left earlier than needed.
func TestNetworkTimeIncludesConnectionSetUp(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer socket.Close()
	caller, err := net.Dial("tcp", socket.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	conn, err := socket.Accept()
	assert.NilError(t, err)
	defer conn.Close()
	ctx := ConnContext(context.Background(), conn)
	first, known := networkTime(ctx)
	assert.Assert(t, known)
	for range 2 {
		later, known := networkTime(ctx)
		assert.Assert(t, known)
		assert.Equal(t, first, 2*later)
	}
	assert.Assert(t, first > 0 && first < maxRoundTrip, "%v", first)
}

func TestNetworkTimeIsUnknownWithoutSocket(t *testing.T) {
	_, known := networkTime(context.Background())
	assert.Assert(t, !known)
	pipe, other := net.Pipe()
	defer pipe.Close()
	defer other.Close()
	_, known = networkTime(ConnContext(context.Background(), pipe))
	assert.Assert(t, !known)
}

func TestShortestRoundTrip(t *testing.T) {
	tests := []struct{ smoothed, lowest, want uint32 }{{0, 0, 0}, {900, 0, 900}, {0, 800, 800}, {900, 800, 800}}
	for _, tt := range tests {
		assert.Equal(t, shortest(tt.smoothed, tt.lowest), tt.want)
	}
}
