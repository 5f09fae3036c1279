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

// silentPoll is the time between two looks at the mode of a silent connection.
const silentPoll = 20 * time.Millisecond

// Simplex stands in front of one address.
type Simplex struct {
	socket net.Listener
	to     string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
}

// NewSimplex listens on an address and stands in front of another.
func NewSimplex(address, to string) (*Simplex, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Simplex{socket: socket, to: to, conns: make(map[net.Conn]struct{})}
	go p.run()
	return p, nil
}

// SetMode changes the mode at once, also for open connections.
func (p *Simplex) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == Refuse {
		p.closeAll()
	}
}

// Close ends the proxy.
func (p *Simplex) Close() {
	_ = p.socket.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

func (p *Simplex) closeAll() {
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Simplex) current() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Simplex) run() {
	for {
		conn, err := p.socket.Accept()
		if err != nil {
			return
		}
		if p.current() == Refuse {
			_ = conn.Close()
			continue
		}
		go (&pipe{proxy: p, from: conn}).run()
	}
}

// pipe carries one connection.
type pipe struct {
	proxy *Simplex
	from  net.Conn
}

// run hands bytes on. A connection that has been silent once loses what was
// sent meanwhile, so it is closed when the proxy passes again.
func (c *pipe) run() {
	to, err := net.Dial("tcp", c.proxy.to)
	if err != nil {
		_ = c.from.Close()
		return
	}
	c.proxy.keep(c.from, to)
	defer c.proxy.drop(c.from, to)
	buffer := make([]byte, 64<<10)
	silent := false
	for {
		_ = c.from.SetReadDeadline(time.Now().Add(silentPoll))
		n, err := c.from.Read(buffer)
		mode := c.proxy.current()
		silent = silent || mode == Discard && n > 0
		if silent && mode == Forward {
			return
		}
		if n > 0 && !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			return
		}
	}
}

func (p *Simplex) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *Simplex) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}
