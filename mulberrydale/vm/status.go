package vm

import (
	"strings"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/operator"
	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// Configuration returns the current configuration: its version, 0 before the first
// one, and its text.
func (v *VM) Configuration() (version uint64, document []byte) {
	current := v.current()
	return current.version, current.document
}

// Audit returns the audit trail of attempted changes, oldest first. The error is
// NotAllowed on a VM that is no control VM.
func (v *VM) Audit() ([]audit.Record, error) {
	if v.control == nil {
		return nil, result.New(result.NotAllowed, "this VM has no audit trail because it is no control VM; ask one of %s", strings.Join(v.settings.ControlVMs(), ", "))
	}
	return v.control.Audit(), nil
}

// Status returns the state of this VM, what it knows of the other VMs from their
// heartbeats, and the number of targets in each state. A target that is suspected to
// be down is counted as suspect, not under its state.
func (v *VM) Status(now time.Time) operator.Status {
	var peers []operator.Peer
	for _, vm := range v.view.VMs() {
		heartbeat := vm.LastHeartbeat()
		peers = append(peers, operator.NewPeer(vm.Name(), vm.DataCentre(), heartbeat.Version(), vm.Alive(now), heartbeat.Leaving()))
	}
	targets := make(map[string]int)
	for _, t := range v.table.Targets() {
		if t.Suspect() {
			targets["suspect"]++
			continue
		}
		targets[t.State()]++
	}
	version := v.current().version
	age, _ := v.view.LastQuorum(now)
	return operator.NewStatus(v.settings.VM(), v.settings.DataCentre(), version,
		v.view.Freshness(version, now).String(), age, v.leader(), peers, targets)
}
