// Package upstream keeps the connections of this VM to targets. A connection
// carries one request at a time, and no two requests with the same id. It is
// reused only if nothing has arrived on it since the last response, because bytes
// after a complete response belong to no request.
package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout     = 400 * time.Millisecond
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the target
	// does not state its own idle timeout.
	defaultIdleTimeout = 12 * time.Second
	// idleFraction is the fraction of a target's idle timeout after which this
	// side stops using a connection, so that a request is not sent at the moment
	// at which the target closes the connection.
	idleFraction = 0.75
	// sweepInterval is the interval at which expired connections are closed.
	sweepInterval = time.Second
)

// errInputLimit is the error of reads beyond the limit that LimitInput set.
var errInputLimit = errors.New("the target sent more bytes than the limit")

// limitedInput reads from a connection up to a limit.
type limitedInput struct {
	conn net.Conn
	// remaining is the number of bytes that may still be read, negative for no
	// limit. more returns how many more may be read once it is 0.
	remaining int
	more      func() int
}

// Read implements io.Reader.
func (i *limitedInput) Read(p []byte) (int, error) {
	if i.remaining < 0 {
		return i.conn.Read(p)
	}
	if i.remaining == 0 {
		if i.remaining = max(0, i.more()); i.remaining == 0 {
			return 0, errInputLimit
		}
	}
	n, err := i.conn.Read(p[:min(len(p), i.remaining)])
	i.remaining -= n
	return n, err
}

// Conn is a connection to a target.
type Conn struct {
	net.Conn
	// raw gives access to the file descriptor, nil if there is none.
	raw     syscall.RawConn
	input   *limitedInput
	reader  *bufio.Reader
	pool    *Pool
	address string
	// idleTimeout is idleFraction of the target's idle timeout, or
	// defaultIdleTimeout; maxIdle is the limit of this side, 0 for none. The
	// shorter one applies.
	idleTimeout time.Duration
	maxIdle     time.Duration
	lastUsed    time.Time
	requests    int
	carried     carriedIDs
	// handshake is how long the TCP handshake took, 0 once FirstUse has returned it.
	handshake time.Duration
}

// Reader returns the buffered reader of the connection.
func (c *Conn) Reader() *bufio.Reader { return c.reader }

// LimitInput makes reads fail after n more bytes have been read from the network, unless
// more, which is called then, returns how many may follow.
func (c *Conn) LimitInput(n int, more func() int) {
	c.input.remaining = n
	c.input.more = more
}

// UnlimitInput removes the limit that LimitInput set.
func (c *Conn) UnlimitInput() { c.input.remaining = -1 }

// Requests returns the number of requests that the connection has completed.
func (c *Conn) Requests() int { return c.requests }

// FirstUse returns how long the TCP handshake took, and true on the first call.
func (c *Conn) FirstUse() (handshake time.Duration, first bool) {
	handshake = c.handshake
	c.handshake = 0
	return handshake, handshake > 0
}

// SetTargetIdleTimeout records how long the target keeps an idle connection
// open. This side uses the connection for idleFraction of that time only.
func (c *Conn) SetTargetIdleTimeout(d time.Duration) {
	c.idleTimeout = time.Duration(idleFraction * float64(d))
	c.pool.lastIdleTimeout.Store(int64(c.idleTimeout))
}

// SetMaxIdle sets the longest time for which this side keeps the connection
// idle, 0 for no limit beyond that of the target.
func (c *Conn) SetMaxIdle(d time.Duration) { c.maxIdle = d }

// idleExpired reports whether the connection has been idle for longer than its
// limits allow.
func (c *Conn) idleExpired(now time.Time) bool {
	age := now.Sub(c.lastUsed)
	return age > c.idleTimeout || c.maxIdle > 0 && age > c.maxIdle
}

// Release returns the connection to the pool. It closes the connection instead
// if unread bytes are buffered, if it has carried maxRequestsPerConnection, or if
// CloseAddresses was called for the address and no connection to it was dialled
// since.
func (c *Conn) Release(now time.Time) {
	c.requests++
	c.lastUsed = now
	if c.reader.Buffered() > 0 || c.carried.full() {
		c.Discard()
		return
	}
	p := c.pool
	p.mu.Lock()
	if p.closedAddresses[c.address] {
		p.mu.Unlock()
		c.Discard()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}

// Discard closes the connection. It must be called at most once, and not for a
// connection in the pool, because each call lowers the number of open
// connections.
func (c *Conn) Discard() {
	_ = c.Close()
	c.pool.open.Add(-1)
}

// inputEmpty reports whether an idle connection is still open and has received
// nothing: no byte, no end of the stream and no reset. Connections without a
// file descriptor are not checked, and the result is true.
func (c *Conn) inputEmpty() bool {
	if c.raw == nil {
		return true
	}
	empty := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// Pool holds the idle connections by address. No other lock is taken while its
// lock is held.
type Pool struct {
	hasher idHasher
	dials  atomic.Int64
	open   atomic.Int64
	// lastIdleTimeout is the idle timeout of the connection whose target stated one
	// last, in nanoseconds, 0 if none did. New connections have it until their own
	// target states one.
	lastIdleTimeout atomic.Int64

	mu              sync.Mutex
	idle            map[string][]*Conn
	closedAddresses map[string]bool
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{hasher: newIDHasher(), idle: make(map[string][]*Conn), closedAddresses: make(map[string]bool)}
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// OpenConnections returns the number of connections that are open now.
func (p *Pool) OpenConnections() int64 { return p.open.Load() }

// Get returns the most recently used idle connection to an address that has not
// carried a request with this id, or a new one. Idle connections are closed if all of
// them have carried the id, because a target limits the number of connections. If
// maxIdle is greater than 0, a connection that has been idle for longer is closed
// instead of used. Requests that must not be sent twice need this, because the target
// may be closing an idle connection at that moment.
func (p *Pool) Get(ctx context.Context, address, requestID string, maxIdle time.Duration, now time.Time) (*Conn, error) {
	hash := p.hasher.hash(requestID)
	for {
		c, fresh := p.takeIdle(address, hash)
		if c == nil {
			break
		}
		if !fresh || c.idleExpired(now) || maxIdle > 0 && now.Sub(c.lastUsed) > maxIdle || !c.inputEmpty() {
			c.Discard()
			continue
		}
		c.carried.add(hash)
		return c, nil
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.carried.add(hash)
	return c, nil
}

// takeIdle removes from the idle connections to an address the most recently used one
// that has not carried a request whose id has this hash, or if all of them have, the
// most recently used one, and fresh is false. It returns nil if there is none.
func (p *Pool) takeIdle(address string, hash uint32) (c *Conn, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil, false
	}
	for n := len(list) - 1; n >= 0; n-- {
		if c = list[n]; !c.carried.contains(hash) {
			p.idle[address] = slices.Delete(list, n, n+1)
			return c, true
		}
	}
	c = list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c, false
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	startedAt := time.Now()
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	handshake := max(1, time.Since(startedAt))
	var raw syscall.RawConn
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err = c.SyscallConn(); err != nil {
			return nil, errors.CombineErrors(err, conn.Close())
		}
	}
	p.dials.Add(1)
	p.open.Add(1)
	p.mu.Lock()
	delete(p.closedAddresses, address)
	p.mu.Unlock()
	idleTimeout := defaultIdleTimeout
	if last := p.lastIdleTimeout.Load(); last > 0 {
		idleTimeout = time.Duration(last)
	}
	input := &limitedInput{conn: conn, remaining: -1}
	return &Conn{Conn: conn, raw: raw, input: input, reader: bufio.NewReaderSize(input, readBufferBytes), pool: p, address: address, idleTimeout: idleTimeout, handshake: handshake}, nil
}

// Warm opens a connection to an address, unless the pool has one, and keeps it idle. The
// first request to the address then needs no time to connect.
func (p *Pool) Warm(ctx context.Context, address string, now time.Time) error {
	p.mu.Lock()
	warm := len(p.idle[address]) > 0
	p.mu.Unlock()
	if warm {
		return nil
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	c.lastUsed = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append([]*Conn{c}, p.idle[address]...)
	return nil
}

// CloseAddresses closes the idle connections to addresses that are no longer
// used by any target. Connections in use are closed when they are released.
// After a later dial to an address, connections to it are kept again.
func (p *Pool) CloseAddresses(addresses []string) {
	var closing []*Conn
	p.mu.Lock()
	for _, a := range addresses {
		closing = append(closing, p.idle[a]...)
		delete(p.idle, a)
		p.closedAddresses[a] = true
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.Discard()
	}
}

// Run closes expired idle connections every sweepInterval until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.closeExpired(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pool) closeExpired(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.idleExpired(now) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}
