package vm

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/control"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/process/target"
)

const (
	// pushInterval is the least time between two pushes to the same VM.
	pushInterval = time.Second
	// notHeard is the time after which a peer that does not hear this VM is
	// dialled again.
	notHeard = 2 * time.Second
	// forwardTimeout bounds a forwarded command at the leader.
	forwardTimeout = 5 * time.Second
	// staleNews is the age beyond which news about a target is ignored.
	staleNews = time.Minute
)

// relay remembers when each peer was last sent a configuration, and which life
// of it was told everything. Its lock is taken alone.
type relay struct {
	mu     sync.Mutex
	pushed map[string]time.Time
	told   map[string]string
}

func newRelay() *relay {
	return &relay{pushed: make(map[string]time.Time), told: make(map[string]string)}
}

// mayPush reports whether a push to the VM is due, and notes it.
func (r *relay) mayPush(vm string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.pushed[vm]) < pushInterval {
		return false
	}
	r.pushed[vm] = now
	return true
}

// isNew reports whether this life of the VM was not heard before.
func (r *relay) isNew(vm, startID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.told[vm] == startID {
		return false
	}
	r.told[vm] = startID
	return true
}

// Receive takes in a message of a peer.
func (v *VM) Receive(from peer.Hello, m peer.Message, now time.Time) {
	switch m := m.(type) {
	case peer.Hello:
	case peer.Heartbeat:
		v.receiveBeat(from, m, now)
	case peer.ReplicaMessage:
		if v.control == nil {
			return
		}
		if err := v.control.Deliver(m.Payload()); err != nil {
			v.log.Warn("a message of the log can't be read", zap.String("from", from.VM()), logsink.Cause(err))
		}
	case peer.ConfigurationPush:
		if v.accept(m.Version(), m.Document(), now) {
			v.beat(now)
		}
	case peer.ForwardedCommand:
		go (&forwarded{vm: v, from: from.VM(), message: m}).run()
	case peer.Reply:
		v.calls.Resolve(m)
	case peer.TargetUpdates:
		v.receiveNews(m, now)
	}
}

func (v *VM) receiveBeat(from peer.Hello, b peer.Heartbeat, now time.Time) {
	v.view.Hear(from.VM(), b.DataCentre(), b, now)
	if b.LastReceivedAge() > notHeard {
		v.mesh.Reconnect(from.VM(), now)
	}
	current := v.current()
	if b.Version() < current.version && v.relay.mayPush(from.VM(), now) {
		v.mesh.Send(from.VM(), peer.NewConfigurationPush(current.version, current.document))
	}
	// News about targets is of use once the peer knows them.
	if b.Version() > 0 && v.relay.isNew(from.VM(), b.StartID()) {
		v.mesh.Send(from.VM(), v.allNews(now))
	}
}

func (v *VM) receiveNews(n peer.TargetUpdates, now time.Time) {
	for _, item := range n.Updates() {
		t := v.table.Find(item.Target())
		if t == nil {
			continue
		}
		switch item.State() {
		case target.Leaving:
			t.Leave(item.StartID(), now)
		case target.Warm:
			t.Warmed(item.StartID(), now)
		case target.Warming:
			t.WarmedTo(item.StartID(), item.Rate(), now)
		case target.Cold:
			if item.Age() < staleNews {
				t.Cooled(item.StartID(), now)
			}
		}
	}
}

// forwarded is a command that another VM sent here as to the leader.
type forwarded struct {
	vm      *VM
	from    string
	message peer.ForwardedCommand
}

func (f *forwarded) run() {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	f.vm.mesh.Send(f.from, peer.NewReply(f.message.Number(), f.outcome(ctx)))
}

// outcome returns the encoded outcome, or nothing where there is none.
func (f *forwarded) outcome(ctx context.Context) []byte {
	if f.vm.control == nil {
		return nil
	}
	command, err := replica.DecodeCommand(f.message.Payload())
	if err != nil {
		return nil
	}
	outcome, err := f.vm.control.Propose(ctx, command)
	if err != nil {
		return nil
	}
	return replica.EncodeOutcome(outcome)
}

// SendEnvelope sends a message of the log to a VM.
func (v *VM) SendEnvelope(vm string, payload []byte) {
	v.mesh.Send(vm, peer.NewReplicaMessage(payload))
}

// PeerStatuses returns what the other control VMs say about their logs.
func (v *VM) PeerStatuses(now time.Time) map[string]control.PeerStatus {
	out := make(map[string]control.PeerStatus)
	for _, name := range v.settings.ControlVMs() {
		if name != v.settings.VM() {
			out[name] = control.PeerStatus{}
		}
	}
	for _, vm := range v.view.VMs() {
		if _, named := out[vm.Name()]; !named || !vm.Alive(now) {
			continue
		}
		if id, founded, ok := vm.Beat().Replica(); ok {
			out[vm.Name()] = control.NewPeerStatus(replica.ID(id), founded)
		}
	}
	return out
}

// MayBootstrap reports whether this VM may write the first set of voters: the
// settings name all control VMs, so it may once all were heard.
func (v *VM) MayBootstrap() bool { return true }
