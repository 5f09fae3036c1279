package intake

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// addressShare is the share of the connections and of the memory that one address may
// use. It is large, since a load balancer may be the only address.
const addressShare = 0.75

// responseShare is the share of the memory that may be charged for responses of targets. The
// rest is for requests.
const responseShare = 0.5

// addressUse is what the callers at one address use.
type addressUse struct {
	address netip.Addr
	conns   int
	bytes   int64
}

// Limiter limits the connections of one listener and the memory of what they send. No
// other lock is taken while its lock is held.
type Limiter struct {
	maxBytes, maxAddressBytes int64
	maxConns, maxAddressConns int
	limits                    atomic.Pointer[Limits]

	mu    sync.Mutex
	bytes int64
	// responses is the part of bytes that is charged for responses of targets.
	responses int64
	conns     int
	addresses map[netip.Addr]*addressUse
	// unfinished holds the connections whose head or body has not arrived, oldest first;
	// idle holds those between two requests, the one that has been idle for longest first.
	unfinished, idle connList
	// evicted holds connections to close when the lock is released.
	evicted []*Conn
	counts  Counts
}

// NewLimiter returns a limiter for a number of connections and bytes.
func NewLimiter(maxConns int, maxBytes int64) *Limiter {
	l := &Limiter{
		maxBytes: maxBytes, maxAddressBytes: int64(addressShare * float64(maxBytes)),
		maxConns: maxConns, maxAddressConns: max(1, int(addressShare*float64(maxConns))),
		addresses: make(map[netip.Addr]*addressUse),
	}
	l.SetLimits(Limits{})
	return l
}

// SetLimits sets the limits on heads that begin from now on.
func (l *Limiter) SetLimits(limits Limits) { l.limits.Store(&limits) }

// TakeCounts returns what was counted since the last call.
func (l *Limiter) TakeCounts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.counts
	l.counts = Counts{}
	return out
}

// Use returns the connections that are open and the bytes that are charged.
func (l *Limiter) Use() (conns int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns, l.bytes
}

// Bounds returns the connections that may be open and the bytes that may be charged.
func (l *Limiter) Bounds() (conns int, bytes int64) { return l.maxConns, l.maxBytes }

// unlock releases the lock and closes the connections that were evicted meanwhile.
func (l *Limiter) unlock() {
	closing := l.evicted
	l.evicted = nil
	l.mu.Unlock()
	for _, c := range closing {
		_ = c.Conn.Close()
	}
}

// admit takes a new connection, and reports whether there was room for it.
func (l *Limiter) admit(c *Conn, remote net.Addr, connBytes int64, now time.Time) bool {
	l.mu.Lock()
	defer l.unlock()
	use := l.use(addressOf(remote))
	c.use = use
	if !l.makeRoom(use, connBytes, 1, nil) {
		l.counts.refusedConnections++
		l.drop(use)
		return false
	}
	// makeRoom has removed the entry if it closed the only connection of the address.
	l.addresses[use.address] = use
	l.conns++
	use.conns++
	l.add(use, connBytes)
	c.bytes = connBytes
	c.began = now
	l.unfinished.push(c)
	return true
}

// use returns the entry of an address. The caller holds mu.
func (l *Limiter) use(address netip.Addr) *addressUse {
	use := l.addresses[address]
	if use == nil {
		use = &addressUse{address: address}
		l.addresses[address] = use
	}
	return use
}

// add charges bytes, or releases them if n is negative. The caller holds mu.
func (l *Limiter) add(use *addressUse, n int64) {
	l.bytes += n
	use.bytes += n
}

// drop removes the entry of an address that uses nothing, unless a newer one has taken its
// place. The caller holds mu.
func (l *Limiter) drop(use *addressUse) {
	if use.conns == 0 && use.bytes == 0 && l.addresses[use.address] == use {
		delete(l.addresses, use.address)
	}
}

// makeRoom evicts connections until an address may use more bytes and connections, and
// reports whether it may. Unfinished connections are closed first, the oldest before the
// others, and then idle ones. If only the limits of the address are exceeded, only its own
// connections are closed. The connection c itself is never evicted: if it is the next one
// to close, there is no room for it. The caller holds mu.
func (l *Limiter) makeRoom(use *addressUse, bytes int64, conns int, c *Conn) bool {
	for {
		overAddress := use.bytes+bytes > l.maxAddressBytes || use.conns+conns > l.maxAddressConns
		if !overAddress && l.bytes+bytes <= l.maxBytes && l.conns+conns <= l.maxConns {
			return true
		}
		of := use
		if !overAddress {
			of = nil
		}
		victim := l.unfinished.first(of)
		if victim == nil {
			victim = l.idle.first(of)
		}
		if victim == nil || victim == c {
			return false
		}
		l.counts.evicted++
		l.remove(victim)
		l.evicted = append(l.evicted, victim)
	}
}

// reserve charges bytes to an address for connection c, and reports whether there was room
// for them. The caller holds mu.
func (l *Limiter) reserve(use *addressUse, n int64, c *Conn) bool {
	if !l.makeRoom(use, n, 0, c) {
		l.counts.refusedMemory++
		return false
	}
	l.add(use, n)
	return true
}

// reserveForRequest charges bytes to the request that connection c is reading, and reports
// whether there was room for them. The caller holds mu.
func (l *Limiter) reserveForRequest(c *Conn, n int64) bool {
	if !l.reserve(c.use, n, c) {
		return false
	}
	c.bytes += n
	c.request += n
	return true
}

// releaseRequest releases what is charged for the request of a connection. The caller holds
// mu.
func (l *Limiter) releaseRequest(c *Conn) {
	l.add(c.use, -c.request)
	c.bytes -= c.request
	c.request = 0
}

// remove releases everything that a connection holds. The caller holds mu.
func (l *Limiter) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	c.unlink()
	l.conns--
	c.use.conns--
	l.add(c.use, -c.bytes)
	c.bytes = 0
	l.drop(c.use)
}

// charge charges bytes to a connection, or releases them if n is negative, and reports
// whether there was room for them.
func (l *Limiter) charge(c *Conn, n int64) bool {
	l.mu.Lock()
	defer l.unlock()
	if c.removed {
		return false
	}
	if n <= 0 {
		l.add(c.use, n)
	} else if !l.reserve(c.use, n, c) {
		return false
	}
	c.bytes += n
	return true
}

// addressOf returns the address of a caller. IPv6 addresses of one network of 64 bits
// count as one, since a caller may use all of them.
func addressOf(remote net.Addr) netip.Addr {
	tcp, ok := remote.(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	address := tcp.AddrPort().Addr().Unmap()
	if !address.Is6() {
		return address
	}
	network, err := address.Prefix(64)
	if err != nil {
		return address
	}
	return network.Addr()
}
