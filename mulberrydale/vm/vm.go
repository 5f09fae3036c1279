// Package vm joins the roles of one process: the entry role that answers
// callers, the control role where the VM keeps the log, and the links between
// the VMs.
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
	"github.com/mulberrydale/mulberrydale/core/process/control"
	"github.com/mulberrydale/mulberrydale/core/process/entry"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/membership"
	"github.com/mulberrydale/mulberrydale/core/process/target"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
	"github.com/mulberrydale/mulberrydale/mulberrydale/settings"
)

// accepted is a configuration that is known to be accepted, with its text.
type accepted struct {
	version  uint64
	document []byte
}

// VM is one process of the system.
type VM struct {
	settings settings.Settings
	startID  string
	log      *zap.Logger
	table    *target.Table
	view     *membership.View
	mesh     *peer.Mesh
	entry    *entry.Entry
	control  *control.Control
	leaving  atomic.Bool
	relay    *relay
	calls    *peer.PendingCalls
	dials    tally.Gauge
	voter    tally.Gauge

	// mu guards accepted. It is taken before the entry's lock.
	mu       sync.Mutex
	accepted accepted
}

// New returns the process of the settings; nothing runs yet.
func New(s settings.Settings, scope tally.Scope, log *zap.Logger) (*VM, error) {
	now := time.Now()
	v := &VM{
		settings: s,
		startID:  uuid.NewString()[:8],
		log:      log,
		table:    target.NewTable(s.DataCentre()),
		relay:    newRelay(),
		calls:    peer.NewPendingCalls(),
		dials:    scope.Gauge("leaf_dials"),
		voter:    scope.Gauge("control_voter"),
	}
	hello := peer.NewHello(s.Cluster(), s.VM(), s.DataCentre(), v.startID)
	v.mesh = peer.NewMesh(hello, s.Peers(), v, log)
	v.view = membership.NewView(v.mesh.Peers(), now)
	v.entry = entry.New(s.VM(), v.startID, v.table, v, v.view, scope, log)
	if s.IsControl() {
		role, err := control.Open(s.DataFolder(), s.VM(), s.ControlVMs(), 0, v, v, log, now)
		if err != nil {
			return nil, err
		}
		v.control = role
	}
	return v, nil
}

// Entry returns the entry role.
func (v *VM) Entry() *entry.Entry { return v.entry }

// Run runs the roles until ctx ends. The error is that of the control role,
// whose journal can't be trusted any more.
func (v *VM) Run(ctx context.Context, socket net.Listener) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go (&meshLoop{vm: v, socket: socket}).run(ctx)
	go (&beatLoop{vm: v}).run(ctx)
	go (&probeLoop{vm: v}).run(ctx)
	if v.settings.PlatformAddress() != "" {
		go (&platformLoop{vm: v}).run(ctx)
	}
	if v.control != nil {
		go (&controlLoop{vm: v, fail: cancel}).run(ctx)
		go (&acceptLoop{vm: v}).run(ctx)
	}
	<-ctx.Done()
	if cause := context.Cause(ctx); cause != context.Canceled {
		return cause
	}
	return nil
}

// Leave tells the peers that this VM is about to stop.
func (v *VM) Leave() {
	v.leaving.Store(true)
	v.entry.Leave()
	v.beat(time.Now())
}

// accept puts a configuration in force if it is newer than the present one.
// It reports whether it was.
func (v *VM) accept(version uint64, document []byte, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.accepted.version {
		return false
	}
	cfg, err := configuration.Decode(document)
	if err != nil {
		v.log.Error("an accepted configuration can't be read; this VM keeps the older one",
			zap.Uint64("version", version), logsink.Cause(err))
		return false
	}
	v.accepted = accepted{version: version, document: document}
	v.entry.Apply(version, cfg, now)
	return true
}

// current returns the configuration in force.
func (v *VM) current() accepted {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.accepted
}
