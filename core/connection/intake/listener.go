package intake

import (
	"context"
	"io"
	"net"
	"time"
)

const (
	// refusalTimeout limits how long a refused connection may delay the next one. Its
	// buffers are empty, so that the refusal is sent at once.
	refusalTimeout = 20 * time.Millisecond
	// maxFirstFrameBytes limits what arrives on a connection of frames until the first
	// message is complete, with which its caller says who it is.
	maxFirstFrameBytes = 1 << 20
	// checkInterval is the time between two checks for overdue connections.
	checkInterval = 250 * time.Millisecond
	// maxCheckGap is the time between two checks from which on the process was paused in
	// between, and pauseGrace the time after a pause in which nothing is overdue.
	maxCheckGap = time.Second
	pauseGrace  = time.Second
	// reportInterval is the time between two reports of what was counted.
	reportInterval = time.Second
)

// listener accepts connections within the limits of a limiter.
type listener struct {
	net.Listener
	limiter *Limiter
	frames  bool
}

// Listen returns a listener for HTTP that accepts the connections of a socket within the
// limits. Its server must be set up by Protect.
func (l *Limiter) Listen(socket net.Listener) net.Listener {
	return &listener{Listener: socket, limiter: l}
}

// ListenFrames returns a listener whose connections are FrameConns.
func (l *Limiter) ListenFrames(socket net.Listener) net.Listener {
	return &listener{Listener: socket, limiter: l, frames: true}
}

// Accept returns the next connection that is within the limits, and closes others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.frames {
			c := &FrameConn{Conn: Conn{Conn: raw, limiter: l.limiter, silent: true}}
			if l.limiter.admit(&c.Conn, raw.RemoteAddr(), frameConnBytes, time.Now()) {
				return c, nil
			}
			_ = raw.Close()
			continue
		}
		c := &Conn{Conn: raw, limiter: l.limiter, silent: true}
		if l.limiter.admit(c, raw.RemoteAddr(), httpConnBytes, time.Now()) {
			return c, nil
		}
		// A caller that does not get the refusal sees a closed connection.
		_ = raw.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(raw, responseNoMemory)
		_ = raw.Close()
	}
}

// Run closes overdue connections until ctx ends. Every reportInterval it reports what was
// counted, if anything was.
func (l *Limiter) Run(ctx context.Context, report func(Counts)) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	reported := time.Now()
	pauses := pauseDetector{checkedAt: reported}
	for {
		select {
		case <-ticker.C:
			now := time.Now()
			if pauses.ranThrough(now) {
				l.CloseOverdue(now)
			}
			if now.Sub(reported) < reportInterval {
				continue
			}
			reported = now
			if counts := l.TakeCounts(); !counts.Zero() {
				report(counts)
			}
		case <-ctx.Done():
			return
		}
	}
}

// pauseDetector tells whether the process has run without a pause for long enough to have
// read what callers sent during the last one.
type pauseDetector struct{ checkedAt, resumedAt time.Time }

// ranThrough reports whether the last pause ended at least pauseGrace ago. It is called
// every checkInterval; a much later call means that the process was paused.
func (d *pauseDetector) ranThrough(now time.Time) bool {
	if now.Sub(d.checkedAt) > maxCheckGap {
		d.resumedAt = now
	}
	d.checkedAt = now
	return d.resumedAt.IsZero() || now.Sub(d.resumedAt) >= pauseGrace
}

// FrameConn is a connection of frames with limits on what its caller sends.
type FrameConn struct{ Conn }

// Read reads and charges what has arrived of a frame. It fails if there is no memory for
// it.
func (c *FrameConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Conn.Read(p)
	if n > 0 && !c.charge(int64(n), time.Now()) {
		return 0, errOverBudget
	}
	return n, err
}

// Write sends bytes. The protocol sets its own deadlines.
func (c *FrameConn) Write(p []byte) (int, error) { return c.Conn.Conn.Write(p) }

// charge charges bytes of a frame.
func (c *FrameConn) charge(n int64, now time.Time) bool {
	l := c.limiter
	cost := frameByteCopies * n
	l.mu.Lock()
	defer l.unlock()
	if c.removed {
		return false
	}
	if c.silent && c.request+cost > frameByteCopies*maxFirstFrameBytes {
		l.counts.refusedMemory++
		return false
	}
	if !l.reserveForRequest(&c.Conn, cost) {
		return false
	}
	c.received.Add(n)
	if c.list == nil {
		c.began = now
		c.awaitsBody = true
		l.unfinished.push(&c.Conn)
	}
	return true
}

// MessageDone releases the frames that have arrived and were handled.
func (c *FrameConn) MessageDone() {
	l := c.limiter
	l.mu.Lock()
	defer l.unlock()
	if c.removed {
		return
	}
	l.releaseRequest(&c.Conn)
	c.silent = false
	c.received.Store(0)
	c.unlink()
}
