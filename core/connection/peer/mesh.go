package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
)

const (
	// readTimeout is the time without a message after which an inbound
	// connection is closed. Heartbeats arrive far more often.
	readTimeout = 5 * time.Second
	// helloTimeout limits the wait for the first message of a connection.
	helloTimeout = 2 * time.Second
)

// Handler receives the messages of peers. Calls for one connection are
// sequential; calls for different connections are concurrent, also if they are
// from the same peer.
type Handler interface {
	Receive(from Hello, m Message, now time.Time)
}

// Mesh holds the outbound links to all peers and the inbound connections from
// them.
type Mesh struct {
	hello   Hello
	links   map[string]*link
	handler Handler
	log     *zap.Logger

	mu           sync.Mutex
	inboundConns map[net.Conn]struct{}
	// stopped is true once Run ends; connections accepted later are closed.
	stopped bool
}

// NewMesh returns a mesh. The keys of addresses are VM names; the entry of this
// VM itself is ignored.
func NewMesh(hello Hello, addresses map[string]string, handler Handler, log *zap.Logger) *Mesh {
	m := &Mesh{
		hello:        hello,
		links:        make(map[string]*link),
		handler:      handler,
		log:          log,
		inboundConns: make(map[net.Conn]struct{}),
	}
	for vm, address := range addresses {
		if vm != hello.vm {
			m.links[vm] = newLink(address, hello)
		}
	}
	return m
}

// Peers returns the names of the VMs that the mesh has links to.
func (m *Mesh) Peers() []string {
	out := make([]string, 0, len(m.links))
	for vm := range m.links {
		out = append(out, vm)
	}
	return out
}

// Send queues a message for a VM. It returns false if the VM is unknown or its
// queue is full.
func (m *Mesh) Send(vm string, message Message) bool {
	l, ok := m.links[vm]
	return ok && l.send(Encode(message))
}

// Broadcast queues a message for every peer; peers with a full queue miss it.
func (m *Mesh) Broadcast(message Message) {
	payload := Encode(message)
	for _, l := range m.links {
		l.send(payload)
	}
}

// Reconnect closes the connection to a VM so that it is dialled again, unless
// the connection is younger than minReconnectAge. It is used for a VM that
// reports that it receives nothing from this one.
func (m *Mesh) Reconnect(vm string, now time.Time) {
	if l, ok := m.links[vm]; ok {
		l.reconnect(now)
	}
}

// Run sends queued messages and accepts connections on the socket until ctx
// ends.
func (m *Mesh) Run(ctx context.Context, socket net.Listener) {
	for _, l := range m.links {
		go l.run(ctx)
	}
	stop := context.AfterFunc(ctx, func() {
		_ = socket.Close()
		m.closeInbound()
	})
	defer stop()
	for {
		conn, err := socket.Accept()
		if err != nil && ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(minRedialDelay)
			continue
		}
		if m.addInbound(conn) {
			go (&inbound{mesh: m, conn: conn}).run()
		}
	}
}

// addInbound adds a connection to those that closeInbound closes. If that was
// called already, addInbound closes the connection and returns false.
func (m *Mesh) addInbound(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		_ = conn.Close()
		return false
	}
	m.inboundConns[conn] = struct{}{}
	return true
}

func (m *Mesh) closeInbound() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	for conn := range m.inboundConns {
		_ = conn.Close()
	}
}

// inbound is a connection that a peer opened to this process.
type inbound struct {
	mesh *Mesh
	conn net.Conn
}

// run reads messages until the connection fails, no message arrives in time, or
// a message is malformed. The limit is helloTimeout for the first message and
// readTimeout for later ones. A first message other than a Hello with the name
// of this cluster ends the connection too. Each of these closes this connection
// only.
func (i *inbound) run() {
	defer i.close()
	reader := bufio.NewReader(i.conn)
	first, err := i.read(reader, helloTimeout)
	if err != nil {
		return
	}
	i.messageDone()
	hello, ok := first.(Hello)
	if !ok || hello.cluster != i.mesh.hello.cluster {
		i.mesh.log.Warn("closing an inbound connection: its first message is not a Hello with the name of this cluster", zap.String("vm", hello.vm))
		return
	}
	for {
		message, err := i.read(reader, readTimeout)
		if err != nil {
			return
		}
		i.mesh.handler.Receive(hello, message, time.Now())
		i.messageDone()
	}
}

func (i *inbound) read(reader *bufio.Reader, timeout time.Duration) (Message, error) {
	if err := i.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	payload, err := frame.Read(reader)
	if err != nil {
		return nil, err
	}
	return Decode(payload)
}

// messageDone releases what was charged for the messages that were handled, if the
// connection charges for them.
func (i *inbound) messageDone() {
	if c, ok := i.conn.(interface{ MessageDone() }); ok {
		c.MessageDone()
	}
}

func (i *inbound) close() {
	_ = i.conn.Close()
	i.mesh.mu.Lock()
	delete(i.mesh.inboundConns, i.conn)
	i.mesh.mu.Unlock()
}
