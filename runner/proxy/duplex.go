package proxy

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault is how a Duplex treats the bytes of its connections.
type Fault int

// Faults of a Duplex.
const (
	// None passes on every byte.
	None Fault = iota
	// DropUpstream drops what the dialling side sends.
	DropUpstream
	// DropDownstream drops what the upstream address sends back.
	DropDownstream
	// DropBoth drops both directions; connections stay open and new ones are
	// accepted.
	DropBoth
	// Delay passes on everything after forwardDelay.
	Delay
)

// forwardDelay is the delay of each read under the fault Delay, in either
// direction.
const forwardDelay = 60 * time.Millisecond

// Duplex is a proxy in front of one address that forwards both directions of
// each connection.
type Duplex struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]struct{}
}

// NewDuplex listens on an address and forwards connections to upstream. A
// connection is closed if upstream can't be dialled. The proxy runs until Close
// is called.
func NewDuplex(address, upstream string) (*Duplex, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the proxy")
	}
	d := &Duplex{listener: listener, upstream: upstream, conns: make(map[net.Conn]struct{})}
	go d.loop()
	return d, nil
}

// Address returns the address on which the proxy listens.
func (d *Duplex) Address() string { return d.listener.Addr().String() }

// SetFault changes the fault at once, also for open connections. Bytes that
// were dropped are missing from the stream, so all connections are reset when a
// fault that drops bytes ends.
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
			// With a linger time of zero, Close sends a TCP reset.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops listening and resets all connections.
func (d *Duplex) Close() {
	_ = d.listener.Close()
	d.Reset()
}

func (d *Duplex) currentFault() Fault {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault
}

func (d *Duplex) loop() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go (&duplexConn{proxy: d, downstream: conn}).run()
	}
}

// duplexConn forwards both directions of one connection.
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

// direction copies the bytes of one direction of a connection. Under the fault
// dropFault, as under DropBoth, it drops them.
type direction struct {
	proxy     *Duplex
	src, dst  net.Conn
	dropFault Fault
	wg        *sync.WaitGroup
}

func (d *direction) run() {
	defer d.wg.Done()
	// When one direction ends, both connections are closed, so that no
	// connection stays half open.
	defer d.src.Close()
	defer d.dst.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := d.src.Read(buf)
		fault := d.proxy.currentFault()
		if fault == Delay {
			time.Sleep(forwardDelay)
		}
		if n > 0 && fault != d.dropFault && fault != DropBoth {
			if _, err := d.dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Upstream returns the address to which connections are forwarded.
func (d *Duplex) Upstream() string { return d.upstream }
