package intake

import (
	"net/http"

	"golang.org/x/sys/unix"
)

// CallerLeft reports whether the caller of a request has ended its side of the connection.
// It asks the kernel: the context of the request ends only when net/http has read the end,
// which may be later where this process was paused.
func CallerLeft(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c := connOf(r)
	return c != nil && c.ended()
}

// ended reports whether the end of what the caller sends, or an error, is the next that a
// read of the connection returns.
func (c *Conn) ended() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch err {
		case nil:
			ended = n == 0
		case unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT:
			ended = true
		}
	})
	return ended || err != nil
}
