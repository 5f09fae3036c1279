package proxy

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault is what a two-way proxy does with the bytes of its connections.
type Fault int

// The faults of a two-way proxy.
const (
	// None hands every byte on.
	None Fault = iota
	// DropUpstream swallows what the dialling side sends.
	DropUpstream
	// DropDownstream swallows what comes back.
	DropDownstream
	// DropBoth swallows both; connections stay open and new ones are taken.
	DropBoth
	// Delay hands everything on after a delay.
	Delay
)

// forwardDelay is the delay of a slow proxy, each way.
const forwardDelay = 60 * time.Millisecond

// Duplex stands in front of an address and carries whole connections.
type Duplex struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]struct{}
}

// NewDuplex listens on an address and stands in front of another.
func NewDuplex(address, upstream string) (*Duplex, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	d := &Duplex{listener: listener, upstream: upstream, conns: make(map[net.Conn]struct{})}
	go d.acceptLoop()
	return d, nil
}

// Address returns where the proxy listens.
func (d *Duplex) Address() string { return d.listener.Addr().String() }

// SetFault changes the fault at once, also for open connections. Bytes that were
// swallowed are lost, so connections that lost some are reset at the end.
func (d *Duplex) SetFault(f Fault) {
	d.mu.Lock()
	dropping := d.fault == DropUpstream || d.fault == DropDownstream || d.fault == DropBoth
	d.fault = f
	d.mu.Unlock()
	if dropping {
		d.Reset()
	}
}

// Reset resets all open connections.
func (d *Duplex) Reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// A close that lingers for no time is a reset.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the proxy.
func (d *Duplex) Close() {
	_ = d.listener.Close()
	d.Reset()
}

func (d *Duplex) currentFault() Fault {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault
}

func (d *Duplex) acceptLoop() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go (&duplexConn{proxy: d, downstream: conn}).run()
	}
}

// duplexConn carries one connection both ways.
type duplexConn struct {
	proxy      *Duplex
	downstream net.Conn
}

func (c *duplexConn) run() {
	upstream, err := net.Dial("tcp", c.proxy.upstream)
	if err != nil {
		_ = c.downstream.Close()
		return
	}
	c.proxy.mu.Lock()
	c.proxy.conns[c.downstream] = struct{}{}
	c.proxy.conns[upstream] = struct{}{}
	c.proxy.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go (&direction{proxy: c.proxy, src: c.downstream, dst: upstream, dropFault: DropUpstream, wg: &wg}).run()
	go (&direction{proxy: c.proxy, src: upstream, dst: c.downstream, dropFault: DropDownstream, wg: &wg}).run()
	wg.Wait()
	c.proxy.mu.Lock()
	delete(c.proxy.conns, c.downstream)
	delete(c.proxy.conns, upstream)
	c.proxy.mu.Unlock()
}

// direction carries one direction of a connection. The swallowed fault is the one
// that silences it alone.
type direction struct {
	proxy     *Duplex
	src, dst  net.Conn
	dropFault Fault
	wg        *sync.WaitGroup
}

func (w *direction) run() {
	defer w.wg.Done()
	// Both ends close together: a half-open connection is no fault of a proxy.
	defer w.src.Close()
	defer w.dst.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := w.src.Read(buf)
		fault := w.proxy.currentFault()
		if fault == Delay {
			time.Sleep(forwardDelay)
		}
		if n > 0 && fault != w.dropFault && fault != DropBoth {
			if _, err := w.dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Upstream returns the address that the proxy stands in front of.
func (d *Duplex) Upstream() string { return d.upstream }
