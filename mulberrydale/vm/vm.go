// Package vm connects the parts of a server process: the entry role, which answers
// callers, the control role, which runs a replica of the replicated log on control
// VMs, and the connections to the other VMs.
package vm

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/control"
	"github.com/mulberrydale/mulberrydale/core/process/entry"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/membership"
	"github.com/mulberrydale/mulberrydale/core/process/target"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
	"github.com/mulberrydale/mulberrydale/mulberrydale/settings"
)

// versionedDocument is the text of a configuration that the replicated log has
// accepted, with its version. The version is 0 before the first configuration.
type versionedDocument struct {
	version  uint64
	document []byte
}

// VM holds the roles, the connections and the state of the server process on one VM.
type VM struct {
	settings settings.Settings
	// startID identifies this run of the process.
	startID string
	log     *zap.Logger
	// table holds the targets and their states as observed by this VM.
	table *target.Table
	// view holds the last heartbeat of each peer, and the latest time at which any VM
	// is known to have been in contact with a quorum.
	view  *membership.View
	mesh  *peer.Mesh
	entry *entry.Entry
	// control is nil on a VM that is no control VM.
	control     *control.Control
	leaving     atomic.Bool
	sendHistory *sendHistory
	// calls holds the commands that were forwarded to the leader and have no reply
	// yet.
	calls      *peer.PendingCalls
	dialsGauge tally.Gauge
	voterGauge tally.Gauge

	// mu guards applied. Lock order: mu before the lock of entry.
	mu      sync.Mutex
	applied versionedDocument
}

// New returns the server process for the settings s. On a control VM it opens
// the journal in the data folder. Nothing runs until Run is called.
func New(s settings.Settings, scope tally.Scope, log *zap.Logger) (*VM, error) {
	now := time.Now()
	v := &VM{
		settings:    s,
		startID:     uuid.NewString()[:8],
		log:         log,
		table:       target.NewTable(s.DataCentre()),
		sendHistory: newSendHistory(),
		calls:       peer.NewPendingCalls(),
		dialsGauge:  scope.Gauge("leaf_dials"),
		voterGauge:  scope.Gauge("control_voter"),
	}
	hello := peer.NewHello(s.Cluster(), s.VM(), s.DataCentre(), v.startID)
	v.mesh = peer.NewMesh(hello, s.Peers(), v, log)
	v.view = membership.NewView(v.mesh.Peers(), now)
	v.entry = entry.New(s.VM(), v.startID, v.table, v, v.view, scope, log)
	if s.IsControl() {
		// Since wantedVoters is 0, only the control VMs of the settings become voters.
		controlRole, err := control.Open(s.DataFolder(), s.VM(), s.ControlVMs(), 0, v, v, log, bootclock.Now())
		if err != nil {
			return nil, err
		}
		v.control = controlRole
	}
	return v, nil
}

// Entry returns the role that answers callers.
func (v *VM) Entry() *entry.Entry { return v.entry }

// Run runs the roles until ctx is cancelled or the control role fails. It returns
// nil after a cancellation, otherwise the error of control.Control.Run, which fails
// if a snapshot of the leader can't be decoded.
func (v *VM) Run(ctx context.Context, socket net.Listener) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go (&meshLoop{vm: v, socket: socket}).run(ctx)
	go (&heartbeatLoop{vm: v}).run(ctx)
	go (&probeLoop{vm: v}).run(ctx)
	if v.settings.PlatformAddress() != "" {
		go (&platformLoop{vm: v}).run(ctx)
	}
	if v.control != nil {
		go (&controlLoop{vm: v, cancel: cancel}).run(ctx)
		go (&applyLoop{vm: v}).run(ctx)
	}
	<-ctx.Done()
	if cause := context.Cause(ctx); cause != context.Canceled {
		return cause
	}
	return nil
}

// Leave marks this VM as leaving, so that readiness fails, and sends that state
// to the peers at once.
func (v *VM) Leave() {
	v.leaving.Store(true)
	v.entry.StartDraining()
	v.sendHeartbeats(time.Now())
}

// applyConfiguration replaces the current configuration if version is higher than
// the current version. It reports whether it did so. A document that can't be
// decoded is logged and ignored.
func (v *VM) applyConfiguration(version uint64, document []byte, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.applied.version {
		return false
	}
	cfg, err := configuration.Decode(document)
	if err != nil {
		v.log.Error("failed to decode the accepted configuration; keeping the previous version",
			zap.Uint64("version", version), logsink.Cause(err))
		return false
	}
	v.applied = versionedDocument{version: version, document: document}
	v.entry.Apply(version, cfg, now)
	return true
}

// current returns the current configuration and its version.
func (v *VM) current() versionedDocument {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.applied
}
