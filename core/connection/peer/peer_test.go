package peer_test

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/quota"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

var messages = []peer.Message{
	peer.NewHello("c", "vm-1", "dc-1", "s"),
	peer.NewHeartbeat("s", "dc-1", 3, true).WithReplica("r", true, "vm-2").WithQuorum(time.Second, 2).WithLastReceivedAge(time.Minute),
	peer.NewReplicaMessage([]byte{1, 2}),
	peer.NewConfigurationPush(4, []byte("{}")),
	peer.NewForwardedCommand(5, []byte{3}),
	peer.NewReply(5, nil),
	peer.NewTargetUpdates([]peer.TargetUpdate{peer.NewTargetUpdate("l-1", "life-1", "warm", time.Second, 3.5)}),
	peer.NewPresence("vm-1", "10.0.0.1:7", "dc-1", "s", 9).WithReplica("r", true, "10.0.0.2:7").
		WithMembers([]string{"10.0.0.1:7"}, 4).WithList(3, time.Second).
		WithFindings([]discovery.HealthFinding{discovery.NewHealthFinding("i-1", true, time.Second)}),
	peer.NewPublishedRoutes(replica.NewRoutes(2, 7, []byte("{}"), []string{"dc-2"})),
	peer.NewReadRoutes(6),
	peer.NewTargetList(true, 4, time.Second, discovery.NewDifference([]discovery.Instance{
		discovery.NewInstance("i-1", "s-1", "10.0.0.9:8", "dc-1", 2).WithLeaving(true).WithColdFor(time.Second),
	}, []string{"i-2"})),
	peer.NewLateResponses([]discovery.LateResponse{discovery.NewLateResponse("i-1", time.Second, 25*time.Millisecond)}),
	peer.NewUnchanged(4, time.Second),
	peer.NewConfirmRevision(7),
	peer.NewRevisionConfirmed(7, 3, 120*time.Millisecond),
	peer.NewTokenRequest(quota.NewAsk(7, 3, 6, []quota.TeamAsk{quota.NewTeamAsk("t-1", 1, 2, 3, 4)})).OnBehalfOf("vm-1/s"),
	peer.NewTokenGrant(quota.NewGrant(3, 8, 7, true, []quota.TeamGrant{quota.NewTeamGrant("t-1", 1, 2, true, time.Second)})).For("vm-1/s"),
	peer.NewTargetSlowness([]discovery.Slowness{discovery.NewSlowness("i-1", 2.5, 30*time.Millisecond)}),
}

// checkRoundTrip checks that a message is decoded as it was encoded, and that no truncated
// encoding of it is accepted.
func checkRoundTrip(t *testing.T, m peer.Message) {
	t.Helper()
	payload := peer.Encode(m)
	decoded, err := peer.Decode(payload)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(peer.Encode(decoded), payload), "%T", m)
	for n := range payload {
		_, err := peer.Decode(payload[:n])
		assert.Assert(t, err != nil, "%T truncated to %d bytes was decoded", m, n)
	}
}

// Guards against messages that other processes decode differently.
func TestMessageRoundTrip(t *testing.T) {
	for _, m := range messages {
		checkRoundTrip(t, m)
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range messages {
		f.Add(peer.Encode(m))
	}
	f.Fuzz(func(_ *testing.T, payload []byte) {
		_, _ = peer.Decode(payload)
	})
}

// inbox records the messages received.
type inbox struct {
	mu        sync.Mutex
	delivered []peer.Message
}

func (i *inbox) Receive(_ peer.Hello, m peer.Message, _ time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.delivered = append(i.delivered, m)
}

func (i *inbox) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.delivered)
}

// testMesh is a mesh with the socket that it accepts connections on.
type testMesh struct {
	mesh   *peer.Mesh
	socket net.Listener
}

func (m *testMesh) run(ctx context.Context) { m.mesh.Run(ctx, m.socket) }

// waitReceived waits until an inbox holds at least n messages.
func waitReceived(t *testing.T, i *inbox, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if i.count() >= n {
			return poll.Success()
		}
		return poll.Continue("%d of %d messages", i.count(), n)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

func TestMalformedInputClosesOnlyItsConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	received := &inbox{}
	receiver := &testMesh{mesh: peer.NewMesh(peer.NewHello("c", "vm-1", "dc", "s"), nil, received, zap.NewNop()), socket: socket}
	go receiver.run(ctx)

	senderSocket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	sender := &testMesh{mesh: peer.NewMesh(peer.NewHello("c", "vm-2", "dc", "s"), map[string]string{"vm-1": socket.Addr().String()}, &inbox{}, zap.NewNop()), socket: senderSocket}
	go sender.run(ctx)
	sender.mesh.Broadcast(peer.NewConfigurationPush(1, nil))
	waitReceived(t, received, 1)

	for _, malformed := range [][]byte{{0xff, 0xff, 0xff, 0xff}, {0, 0, 0, 1, 0xc1}, []byte("GET / HTTP/1.1\r\n\r\n")} {
		conn, err := net.Dial("tcp", socket.Addr().String())
		assert.NilError(t, err)
		_, err = conn.Write(malformed)
		assert.NilError(t, err)
		var one [1]byte
		_, err = conn.Read(one[:])
		assert.Assert(t, err != nil, "the connection stayed open")
	}
	// A connection from another cluster is closed. Version 9 marks the message
	// that must not be delivered.
	foreign, err := net.Dial("tcp", socket.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, frame.Write(foreign, peer.Encode(peer.NewHello("other", "vm-3", "dc", "s"))))
	_ = frame.Write(foreign, peer.Encode(peer.NewConfigurationPush(9, nil)))

	assert.Assert(t, sender.mesh.Send("vm-1", peer.NewConfigurationPush(2, nil)))
	waitReceived(t, received, 2)
	for _, m := range received.delivered {
		push, ok := m.(peer.ConfigurationPush)
		assert.Assert(t, ok && push.Version() < 9)
	}
}
