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

// slowBy is the delay of a slow proxy, each way.
const slowBy = 60 * time.Millisecond

// Duplex stands in front of an address and carries whole connections.
type Duplex struct {
	socket net.Listener
	to     string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]struct{}
}

// NewDuplex listens on an address and stands in front of another.
func NewDuplex(address, to string) (*Duplex, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	d := &Duplex{socket: socket, to: to, conns: make(map[net.Conn]struct{})}
	go d.run()
	return d, nil
}

// Address returns where the proxy listens.
func (d *Duplex) Address() string { return d.socket.Addr().String() }

// SetFault changes the fault at once, also for open connections. Bytes that were
// swallowed are lost, so connections that lost some are reset at the end.
func (d *Duplex) SetFault(f Fault) {
	d.mu.Lock()
	lossy := d.fault == DropUpstream || d.fault == DropDownstream || d.fault == DropBoth
	d.fault = f
	d.mu.Unlock()
	if lossy {
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
	_ = d.socket.Close()
	d.Reset()
}

func (d *Duplex) current() Fault {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault
}

func (d *Duplex) run() {
	for {
		conn, err := d.socket.Accept()
		if err != nil {
			return
		}
		go (&duplexConn{proxy: d, from: conn}).run()
	}
}

// duplexConn carries one connection both ways.
type duplexConn struct {
	proxy *Duplex
	from  net.Conn
}

func (c *duplexConn) run() {
	to, err := net.Dial("tcp", c.proxy.to)
	if err != nil {
		_ = c.from.Close()
		return
	}
	c.proxy.mu.Lock()
	c.proxy.conns[c.from] = struct{}{}
	c.proxy.conns[to] = struct{}{}
	c.proxy.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go (&way{proxy: c.proxy, from: c.from, to: to, swallowed: DropUpstream, done: &both}).run()
	go (&way{proxy: c.proxy, from: to, to: c.from, swallowed: DropDownstream, done: &both}).run()
	both.Wait()
	c.proxy.mu.Lock()
	delete(c.proxy.conns, c.from)
	delete(c.proxy.conns, to)
	c.proxy.mu.Unlock()
}

// way carries one direction of a connection. The swallowed fault is the one
// that silences it alone.
type way struct {
	proxy     *Duplex
	from, to  net.Conn
	swallowed Fault
	done      *sync.WaitGroup
}

func (w *way) run() {
	defer w.done.Done()
	// Both ends close together: a half-open connection is no fault of a proxy.
	defer w.from.Close()
	defer w.to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := w.from.Read(buffer)
		fault := w.proxy.current()
		if fault == Delay {
			time.Sleep(slowBy)
		}
		if n > 0 && fault != w.swallowed && fault != DropBoth {
			if _, err := w.to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Upstream returns the address that the proxy stands in front of.
func (d *Duplex) Upstream() string { return d.to }
