package vm

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/control"
	"github.com/mulberrydale/mulberrydale/core/process/entry"
	"github.com/mulberrydale/mulberrydale/core/process/membership"
	"github.com/mulberrydale/mulberrydale/core/process/target"
)

// tickInterval is the period of heartbeatLoop, which broadcasts the changes of target
// states on every tick.
const tickInterval = 100 * time.Millisecond

// meshLoop runs the connections to and from the peers.
type meshLoop struct {
	vm     *VM
	socket net.Listener
}

func (l *meshLoop) run(ctx context.Context) { l.vm.mesh.Run(ctx, l.socket) }

// probeLoop probes the targets.
type probeLoop struct{ vm *VM }

func (l *probeLoop) run(ctx context.Context) { entry.NewProber(l.vm.table).Run(ctx) }

// controlLoop runs the control role and cancels the VM's context if it fails.
type controlLoop struct {
	vm     *VM
	cancel context.CancelCauseFunc
}

func (l *controlLoop) run(ctx context.Context) {
	if err := l.vm.control.Run(ctx); err != nil {
		l.cancel(err)
	}
}

// applyLoop applies the configurations that the replicated log accepts. If several
// are accepted in quick succession, it may apply only the newest. On the leader it
// also sends the configuration to all peers.
type applyLoop struct{ vm *VM }

func (l *applyLoop) run(ctx context.Context) {
	for {
		select {
		case <-l.vm.control.Accepted():
		case <-ctx.Done():
			return
		}
		s := l.vm.control.Status()
		now := time.Now()
		if !s.CaughtUp() || s.Version() == 0 || !l.vm.applyConfiguration(s.Version(), s.Document(), now) {
			continue
		}
		if s.Leads() {
			l.vm.mesh.Broadcast(peer.NewConfigurationPush(s.Version(), s.Document()))
		}
		l.vm.sendHeartbeats(now)
	}
}

// heartbeatLoop sends the changes of target states to the peers every tickInterval and
// updates the view of the peers, the exclusion of data centres and the gauge of
// connections. It sends heartbeats on the first tick that is at least
// membership.HeartbeatInterval after the tick of the previous ones.
type heartbeatLoop struct{ vm *VM }

func (l *heartbeatLoop) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var heartbeatSentAt time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		l.vm.view.Tick(now)
		l.vm.broadcastTargetChanges()
		if now.Sub(heartbeatSentAt) >= membership.HeartbeatInterval {
			heartbeatSentAt = now
			l.vm.sendHeartbeats(now)
		}
		l.vm.excludeUnreachableDataCentres(now)
		l.vm.updateDialsGauge()
	}
}

// sendHeartbeats sends every peer a heartbeat with this VM's configuration version,
// the last quorum confirmation that it knows of, the age of the last heartbeat it
// received from that peer and, on a control VM, the state of its replica. On a
// control VM it first records the replica's last contact with a quorum and updates
// the gauge control_voter.
func (v *VM) sendHeartbeats(now time.Time) {
	version := v.current().version
	heartbeat := peer.NewHeartbeat(v.startID, v.settings.DataCentre(), version, v.leaving.Load())
	if v.control != nil {
		s := v.control.Status()
		heartbeat = heartbeat.WithReplica(string(s.Member().ID()), s.Bootstrapped(), s.Leader())
		v.view.RecordQuorum(s.QuorumAge(bootclock.Now()), s.Version(), now)
		v.updateVoterGauge(s)
	}
	age, confirmed := v.view.LastQuorum(now)
	heartbeat = heartbeat.WithQuorum(age, confirmed)
	for _, vm := range v.mesh.Peers() {
		v.mesh.Send(vm, heartbeat.WithLastReceivedAge(v.view.HeartbeatAge(vm, now)))
	}
}

// updateVoterGauge sets the gauge control_voter to 1 if this VM's replica is a
// voter, and to 0 otherwise.
func (v *VM) updateVoterGauge(s control.Status) {
	isVoter := 0.0
	if s.Voters().Has(s.Member().ID()) {
		isVoter = 1
	}
	v.voterGauge.Update(isVoter)
}

// broadcastTargetChanges sends the peers the state changes of targets (leaving,
// cold, warm) that this VM has observed since the last call.
func (v *VM) broadcastTargetChanges() {
	var updates []peer.TargetUpdate
	for _, c := range v.table.TakeChanges() {
		updates = append(updates, peer.NewTargetUpdate(c.Target(), c.StartID(), c.State(), 0, 0))
		v.log.Info("target state changed", zap.String("target", c.Target()), zap.String("start-id", c.StartID()), zap.String("state", c.State()))
	}
	if len(updates) > 0 {
		v.mesh.Broadcast(peer.NewTargetUpdates(updates))
	}
}

// targetStates returns the states of all targets that are warm, warming or leaving,
// with the age of the state and this VM's allowance in sub-requests a second. The
// result is sent to each peer once after the peer's start. Targets that are unknown,
// cold or gone are left out.
func (v *VM) targetStates(now time.Time) peer.TargetUpdates {
	var updates []peer.TargetUpdate
	for _, t := range v.table.Targets() {
		state, startID, age, rate := t.Status(now)
		switch state {
		case target.Warm, target.Warming, target.Leaving:
			updates = append(updates, peer.NewTargetUpdate(t.Name(), startID, state, age, rate))
		}
	}
	return peer.NewTargetUpdates(updates)
}

// excludeUnreachableDataCentres stops an isolated VM from using targets in data
// centres from which it receives no heartbeats: such a data centre may have been
// taken out of service without this VM being notified. A VM is isolated if the last
// contact with a quorum that it knows of is too long ago (membership.Isolated). It
// may always use the targets in its own data centre, and all targets while it is not
// isolated.
func (v *VM) excludeUnreachableDataCentres(now time.Time) {
	isolated := v.view.Freshness(v.current().version, now) == membership.Isolated
	reachable := v.view.ReachableDataCentres(now)
	reachable[v.settings.DataCentre()] = true
	for _, t := range v.table.Targets() {
		t.SetDataCentreReachable(!isolated || reachable[t.DataCentre()])
	}
}

// updateDialsGauge sets the gauge leaf_dials to the number of connections opened
// to the present targets so far.
func (v *VM) updateDialsGauge() {
	dials := int64(0)
	for _, t := range v.table.Targets() {
		dials += t.Pool().Dials()
	}
	v.dialsGauge.Update(float64(dials))
}
