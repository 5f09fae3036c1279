// Package proxy injects faults into TCP connections. A Simplex forwards bytes
// in one direction only, for the links between VMs: a VM sends its messages to
// another VM over connections that it dials itself, so a fault of a Simplex
// affects one direction of the link. A Duplex forwards bytes in both
// directions.
package proxy

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is how a Simplex treats its connections.
type Mode int

// Modes of a Simplex.
const (
	// Forward passes on every byte.
	Forward Mode = iota
	// Discard reads every byte and passes none on. Connections stay open; one
	// that lost bytes is closed when the mode is Forward again.
	Discard
	// Refuse closes open connections and every new one at once.
	Refuse
)

// modePollInterval is the read timeout after which an idle connection checks
// the mode again.
const modePollInterval = 20 * time.Millisecond

// Simplex is a proxy in front of one address. It copies bytes from the dialling
// side to that address and none back.
type Simplex struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
}

// NewSimplex listens on an address and forwards connections to upstream. A
// connection is closed if upstream can't be dialled. The proxy runs until Close
// is called.
func NewSimplex(address, upstream string) (*Simplex, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the proxy")
	}
	p := &Simplex{listener: listener, upstream: upstream, conns: make(map[net.Conn]struct{})}
	go p.loop()
	return p, nil
}

// SetMode changes the mode, also for open connections. Refuse closes all of them
// at once. Forward closes those that lost bytes under Discard, each after its
// next read, which takes at most modePollInterval.
func (p *Simplex) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == Refuse {
		p.closeConns()
	}
}

// Close stops listening and closes all connections.
func (p *Simplex) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConns()
}

// closeConns closes all connections. The caller holds mu.
func (p *Simplex) closeConns() {
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Simplex) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Simplex) loop() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == Refuse {
			_ = conn.Close()
			continue
		}
		go (&simplexConn{proxy: p, downstream: conn}).run()
	}
}

// simplexConn forwards one connection.
type simplexConn struct {
	proxy      *Simplex
	downstream net.Conn
}

// run copies bytes upstream until the downstream side closes or a write
// upstream fails. It never reads from upstream, so it doesn't notice that
// upstream has closed before the next write. Bytes that were discarded are
// missing from the stream, so a connection that lost some is closed once the
// mode is Forward again.
func (c *simplexConn) run() {
	upstream, err := net.Dial("tcp", c.proxy.upstream)
	if err != nil {
		_ = c.downstream.Close()
		return
	}
	c.proxy.track(c.downstream, upstream)
	defer c.proxy.release(c.downstream, upstream)
	buf := make([]byte, 64<<10)
	discarded := false
	for {
		_ = c.downstream.SetReadDeadline(time.Now().Add(modePollInterval))
		n, err := c.downstream.Read(buf)
		mode := c.proxy.currentMode()
		discarded = discarded || mode == Discard && n > 0
		if discarded && mode == Forward {
			return
		}
		if n > 0 && !discarded {
			if _, err := upstream.Write(buf[:n]); err != nil {
				return
			}
		}
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			return
		}
	}
}

// track adds connections to those that closeConns closes.
func (p *Simplex) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

// release closes connections and stops tracking them.
func (p *Simplex) release(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}
