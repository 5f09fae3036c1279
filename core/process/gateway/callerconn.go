package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxRoundTrip bounds the round-trip time that is taken from a caller's connection. A
// longer one says that packets were lost, not how far away the caller is.
const maxRoundTrip = 100 * time.Millisecond

// callerConnKey is the context key of the *callerConn of a request.
type callerConnKey struct{}

// callerConn is what is known of the connection of a caller.
type callerConn struct {
	conn net.Conn
	// requests counts the requests on the connection.
	requests atomic.Int64
	// roundTrip is the round-trip time in nanoseconds, 0 if it is not known. The first
	// request sets it.
	roundTrip atomic.Int64
}

// ConnContext attaches the connection of a caller to the context of its requests. It is
// meant for http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{conn: conn})
}

// networkTime returns the part of the time measured by the caller of a request, the next
// one on its connection, that passes outside of this VM: the way of the request and of its
// answer and, for the first request, the set-up of the connection. It returns false if
// the round-trip time is not known. The context is that of the request.
func networkTime(ctx context.Context) (time.Duration, bool) {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return 0, false
	}
	first := c.requests.Add(1) == 1
	if first {
		c.roundTrip.Store(int64(roundTripOf(c.conn)))
	}
	roundTrip := min(time.Duration(c.roundTrip.Load()), maxRoundTrip)
	if first {
		return 2 * roundTrip, roundTrip > 0
	}
	return roundTrip, roundTrip > 0
}

// roundTripOf returns the shortest round-trip time that the kernel has measured on a
// connection, 0 if it has none. On a new connection this is the time that the caller took
// to acknowledge the handshake.
func roundTripOf(conn net.Conn) time.Duration {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	var roundTrip time.Duration
	// An error leaves the round-trip time unknown.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			roundTrip = time.Duration(shortest(info.Rtt, info.Min_rtt)) * time.Microsecond
		}
	})
	return roundTrip
}

// shortest returns the smaller of two numbers, of which 0 means that it is not known.
func shortest(a, b uint32) uint32 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
