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
	// pushInterval is the minimum time between two pushes of the configuration to
	// the same VM.
	pushInterval = time.Second
	// redialAfter is the greatest acceptable age of the last heartbeat that a peer has
	// received from this VM. If the peer's own heartbeats report a greater age, this
	// VM's messages do not arrive, and the connection to that peer is replaced.
	redialAfter = 2 * time.Second
	// forwardTimeout limits how long the leader works on a forwarded command.
	forwardTimeout = 5 * time.Second
	// maxColdReportAge is the age from which a peer's report that a target turned
	// cold is ignored.
	maxColdReportAge = time.Minute
)

// sendHistory records what was sent to each peer: the time of the last push of the
// configuration, and the start id of the process that received the states of all
// targets. No other lock is acquired while mu is held.
type sendHistory struct {
	mu           sync.Mutex
	pushedAt     map[string]time.Time
	statesSentTo map[string]string
}

func newSendHistory() *sendHistory {
	return &sendHistory{pushedAt: make(map[string]time.Time), statesSentTo: make(map[string]string)}
}

// recordPush records a push to the VM at the time now and returns true. If the last
// push was less than pushInterval ago, it records nothing and returns false.
func (h *sendHistory) recordPush(vm string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.pushedAt[vm]) < pushInterval {
		return false
	}
	h.pushedAt[vm] = now
	return true
}

// recordStatesSent records that the process with this start id has been sent the
// states of all targets and returns true. If this is already recorded, it returns
// false. Only the last process on each VM is remembered.
func (h *sendHistory) recordStatesSent(vm, startID string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.statesSentTo[vm] == startID {
		return false
	}
	h.statesSentTo[vm] = startID
	return true
}

// Receive handles a message from a peer. A forwarded command runs in its own
// goroutine, because it waits until the replicated log has committed it.
func (v *VM) Receive(from peer.Hello, m peer.Message, now time.Time) {
	switch m := m.(type) {
	case peer.Hello:
	case peer.Heartbeat:
		v.receiveHeartbeat(from, m, now)
	case peer.ReplicaMessage:
		if v.control == nil {
			return
		}
		if err := v.control.Deliver(m.Payload()); err != nil {
			v.log.Warn("failed to decode a message of the replicated log", zap.String("from", from.VM()), logsink.Cause(err))
		}
	case peer.ConfigurationPush:
		if v.applyConfiguration(m.Version(), m.Document(), now) {
			v.sendHeartbeats(now)
		}
	case peer.ForwardedCommand:
		go (&forwardedCommand{vm: v, from: from.VM(), message: m}).run()
	case peer.Reply:
		v.calls.Resolve(m)
	case peer.TargetUpdates:
		v.receiveTargetUpdates(m, now)
	}
}

// receiveHeartbeat stores a heartbeat of a peer. It replaces the connection to the
// peer if this VM's heartbeats do not arrive there, pushes the configuration if the
// peer has an older one, and sends the states of all targets once after the peer's
// start.
func (v *VM) receiveHeartbeat(from peer.Hello, h peer.Heartbeat, now time.Time) {
	v.view.RecordHeartbeat(from.VM(), h.DataCentre(), h, now)
	if h.LastReceivedAge() > redialAfter {
		v.mesh.Reconnect(from.VM(), now)
	}
	current := v.current()
	if h.Version() < current.version && v.sendHistory.recordPush(from.VM(), now) {
		v.mesh.Send(from.VM(), peer.NewConfigurationPush(current.version, current.document))
	}
	// Before its first configuration the peer has no targets to which the states
	// could apply.
	if h.Version() > 0 && v.sendHistory.recordStatesSent(from.VM(), h.StartID()) {
		v.mesh.Send(from.VM(), v.targetStates(now))
	}
}

// receiveTargetUpdates passes the updates of a peer to the targets. It ignores updates
// of targets that this VM does not know, updates to the states unknown and gone, and
// reports of cold targets from the age maxColdReportAge on.
func (v *VM) receiveTargetUpdates(updates peer.TargetUpdates, now time.Time) {
	for _, item := range updates.Updates() {
		t := v.table.Find(item.Target())
		if t == nil {
			continue
		}
		switch item.State() {
		case target.Leaving:
			t.MarkLeaving(item.StartID(), now)
		case target.Warm:
			t.PeerReportedWarm(item.StartID(), now)
		case target.Warming:
			t.PeerReportedRate(item.StartID(), item.Rate(), now)
		case target.Cold:
			if item.Age() < maxColdReportAge {
				t.PeerReportedCold(item.StartID(), now)
			}
		}
	}
}

// forwardedCommand is a command that another VM sent to this one as the leader.
type forwardedCommand struct {
	vm      *VM
	from    string
	message peer.ForwardedCommand
}

func (f *forwardedCommand) run() {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	f.vm.mesh.Send(f.from, peer.NewReply(f.message.Number(), f.outcome(ctx)))
}

// outcome proposes the command and returns its encoded outcome, or nil if this VM
// is no control VM, the command can't be decoded or the proposal fails.
func (f *forwardedCommand) outcome(ctx context.Context) []byte {
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

// SendEnvelope sends an encoded replica.Envelope to a control VM. The message is
// dropped if the VM is unknown or the send queue to it is full.
func (v *VM) SendEnvelope(vm string, payload []byte) {
	v.mesh.Send(vm, peer.NewReplicaMessage(payload))
}

// PeerStatuses returns the status of the replica on each other control VM that the
// settings name, taken from its last heartbeat. The status is zero for a VM that is
// not alive (membership.VM.Alive) or has sent no status of its replica.
func (v *VM) PeerStatuses() map[string]control.PeerStatus {
	now := time.Now()
	statuses := make(map[string]control.PeerStatus)
	for _, name := range v.settings.ControlVMs() {
		if name != v.settings.VM() {
			statuses[name] = control.PeerStatus{}
		}
	}
	for _, vm := range v.view.VMs() {
		if _, isControl := statuses[vm.Name()]; !isControl || !vm.Alive(now) {
			continue
		}
		if id, bootstrapped, ok := vm.LastHeartbeat().Replica(); ok {
			statuses[vm.Name()] = control.NewPeerStatus(replica.ID(id), bootstrapped)
		}
	}
	return statuses
}

// MayBootstrap reports whether this VM may bootstrap the replicated log with the
// first set of voters. It is always true: the settings name all control VMs, so a
// bootstrap is safe once all of them have reported their status.
func (v *VM) MayBootstrap() bool { return true }
