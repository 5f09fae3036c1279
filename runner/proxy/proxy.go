// Package proxy stands between two VMs and injects faults into the connections
// that one of them dials: it passes, refuses, or falls silent. A link between
// VMs carries messages one way, so a fault here is a cut one way.
package proxy

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is what a proxy does with its connections.
type Mode int

// The modes of a proxy.
const (
	// Forward hands every byte on.
	Forward Mode = iota
	// Discard takes every byte and hands none on; connections stay open.
	Discard
	// Refuse closes connections and takes no new ones.
	Refuse
)

// modePollInterval is the time between two looks at the mode of a silent connection.
const modePollInterval = 20 * time.Millisecond

// Simplex stands in front of one address.
type Simplex struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
}

// NewSimplex listens on an address and stands in front of another.
func NewSimplex(address, upstream string) (*Simplex, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Simplex{listener: listener, upstream: upstream, conns: make(map[net.Conn]struct{})}
	go p.acceptLoop()
	return p, nil
}

// SetMode changes the mode at once, also for open connections.
func (p *Simplex) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == Refuse {
		p.closeConns()
	}
}

// Close ends the proxy.
func (p *Simplex) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConns()
}

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

func (p *Simplex) acceptLoop() {
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

// simplexConn carries one connection.
type simplexConn struct {
	proxy      *Simplex
	downstream net.Conn
}

// run hands bytes on. A connection that has been silent once loses what was
// sent meanwhile, so it is closed when the proxy passes again.
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

func (p *Simplex) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *Simplex) release(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}
