// Package cluster connects the VMs of an installation, starting from a few seed
// addresses. Control VMs store the routes in a replicated log. A VM that is not a
// control VM counts as an entry VM, which processes requests. Every VM keeps a
// session to each control VM whose address it receives, and holds the newest routes
// and the most recently read target list that it has received.
//
// Every VM sends its presence (peer.Presence), a periodic heartbeat, on each of
// its sessions. The presence carries the VM's identity, the revision of its
// routes, the number and age of its target list and, from control VMs, the
// addresses of other control VMs.
//
// On the same sessions it does the I/O of what several VMs decide together: the
// confirmations of routes (package confirmation), the tokens of quotas (package
// quota), the reports and grants of rollouts (package rollout), and what the
// requests of entry VMs show of the health and slowness of targets.
package cluster

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/control"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/health"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

const (
	// presenceInterval is the time between two presences sent on a session.
	presenceInterval = 400 * time.Millisecond
	// peerTimeout is how long a VM counts as alive after its last presence.
	peerTimeout = 1800 * time.Millisecond
	// controlVMExpiry is how long the address of a control VM that sends no
	// presence is still dialled and passed on to other VMs.
	controlVMExpiry = 2 * time.Minute
)

// Observer is notified of new routes and of each newer target list; changed is false if
// the list holds the same targets as the one before. Calls are serialized.
type Observer interface {
	RoutesChanged(routes replica.Routes, now time.Time)
	TargetsRead(list discovery.List, changed bool, now time.Time)
}

// Identity describes a process to its peers. All of it but the start id comes
// from the settings.
type Identity struct {
	vm         string
	address    string
	dataCentre string
	startID    string
	firstStart bool
}

// NewIdentity returns the identity of a process. The address is where a control
// VM listens for sessions; it is empty for an entry VM. firstStart is true on
// the first start of the whole installation, when the seeds bootstrap the
// replicated log.
func NewIdentity(vm, address, dataCentre, startID string, firstStart bool) Identity {
	return Identity{vm: vm, address: address, dataCentre: dataCentre, startID: peer.MarkStartID(startID), firstStart: firstStart}
}

// peerState is the state of the VM at the other end of a session. It is guarded
// by Cluster.mu.
type peerState struct {
	// presence is the latest presence of the peer.
	presence peer.Presence
	// identified is true once a presence was received.
	identified bool
	lastSeen   time.Time
	// receivedList is the target list that was received on this session.
	receivedList discovery.List
	// sentList is the target list that was last sent on this session, and
	// sentOnce is true once one was sent.
	sentList discovery.List
	sentOnce bool
	// sentPresence identifies the presence that was last sent on this session.
	sentPresence string
	// understandsUnchanged is true once the peer has sent a message of this kind.
	// Earlier versions close the session at one.
	understandsUnchanged bool
	// missingRevision is the revision of this process's routes when a presence of the
	// peer last showed an older one, and 0 if none did or the routes were sent since.
	missingRevision uint64
}

// controlLink is the state of the dialer that keeps a session to a control VM.
type controlLink struct {
	cancel context.CancelFunc
	// lastSeen is when the control VM last sent a presence, or when the dialer was
	// started if it has sent none.
	lastSeen time.Time
}

// Cluster holds the sessions of one process and the routes and target list that
// it received on them. mu is held only briefly and never while the observer is
// called.
type Cluster struct {
	self          Identity
	log           *zap.Logger
	observer      Observer
	control       *control.Control
	reader        ListReader
	calls         *peer.PendingCalls
	findingSource FindingSource
	rollouts      rolloutRole
	// tokens and tokenOwner are nil without EnableQuotas; tokenOwner is used on control
	// VMs only.
	tokens     *Tokens
	tokenOwner *tokenOwner

	// observerMu serializes the calls to the observer. It is locked before mu.
	observerMu sync.Mutex

	mu sync.Mutex
	// ctx is the context of Run, nil before Run is called.
	ctx   context.Context
	seeds []string
	// controlLinks holds the links to other control VMs by address.
	controlLinks map[string]*controlLink
	sessions     map[*session.Session]*peerState
	routes       replica.Routes
	list         discovery.List
	// startedAt is when Run was called, and readStartedAt when this process last
	// started to read the target list.
	startedAt     time.Time
	readStartedAt time.Time
	// highestListNumber is the highest target list number in any presence. A
	// control VM that restarted has no list of its own and must continue above
	// this number: entry VMs would otherwise keep their older lists.
	highestListNumber uint64
	// reportedEntryVMs is the number of entry VMs in the latest presence, at least
	// 1, and 0 before the first presence. It is set on entry VMs only.
	reportedEntryVMs int
	// health holds what the entry VMs observed of the targets. It is used on
	// control VMs only.
	health *health.Table
	// sentUnhealthy has the ids of the targets that were unhealthy in the findings that
	// this control VM sent last.
	sentUnhealthy map[string]bool
	// dataCentreSeen is when the last presence came from each data centre, and
	// entryVMSeen from each entry VM.
	dataCentreSeen map[string]time.Time
	entryVMSeen    map[string]time.Time
	confirming     confirming
	slowness       slownessState
}

// New returns the cluster of the process self. The seeds are the addresses of the
// control VMs that Run dials first. No session is opened before Run.
func New(self Identity, seeds []string, reader ListReader, observer Observer, log *zap.Logger) *Cluster {
	return &Cluster{
		self:           self,
		log:            log,
		observer:       observer,
		reader:         reader,
		calls:          peer.NewPendingCalls(),
		seeds:          seeds,
		controlLinks:   make(map[string]*controlLink),
		sessions:       make(map[*session.Session]*peerState),
		health:         health.NewTable(),
		dataCentreSeen: make(map[string]time.Time),
		entryVMSeen:    make(map[string]time.Time),
		confirming:     newConfirming(),
		slowness:       newSlownessState(),
		rollouts:       newRolloutRole(),
	}
}

// EnableControl makes this process a control VM that stores the replicated log
// in a data folder. Control VMs join the log as voters until it has wantedVoters
// of them. It is called before Run. The errors are those of control.Open and
// control.RecordFirstStart.
func (c *Cluster) EnableControl(folder string, wantedVoters int, now bootclock.Time) error {
	role, err := control.Open(folder, c.self.address, nil, wantedVoters, c, c, c.log, now)
	if err != nil {
		return err
	}
	c.control = role
	if !role.MayBootstrap() {
		c.self.startID = peer.MarkJoiner(c.self.startID)
	}
	if c.MayBootstrap() {
		return role.RecordFirstStart(c.seeds)
	}
	return nil
}

// Run keeps the sessions to the other VMs until ctx ends. The socket accepts
// sessions on a control VM; it is nil on an entry VM.
func (c *Cluster) Run(ctx context.Context, socket net.Listener) {
	c.mu.Lock()
	c.ctx = ctx
	c.startedAt = time.Now()
	c.mu.Unlock()
	c.addControlVMs(c.seeds, time.Now())
	if socket != nil {
		go (&listenLoop{listener: session.NewListener(socket, c)}).run(ctx)
	}
	if c.control != nil {
		go (&controlLoop{cluster: c}).run(ctx)
		go (&publishLoop{cluster: c}).run(ctx)
		go (&rolloutLoop{cluster: c}).run(ctx)
	}
	if c.rollouts.gate != nil {
		go (&reportLoop{cluster: c}).run(ctx)
	}
	go (&readLoop{cluster: c}).run(ctx)
	if c.control != nil || c.slowness.source != nil {
		go (&slownessLoop{cluster: c}).run(ctx)
	}
	switch {
	case c.control != nil:
		go (&findingsLoop{cluster: c}).run(ctx)
	case c.findingSource != nil:
		go (&lateLoop{cluster: c}).run(ctx)
	}
	c.runTokens(ctx)
	c.presenceLoop(ctx)
}

// SetSeeds replaces the seeds after the settings have changed, and dials the new
// ones.
func (c *Cluster) SetSeeds(seeds []string, now time.Time) {
	c.mu.Lock()
	c.seeds = seeds
	c.mu.Unlock()
	c.addControlVMs(seeds, now)
}

// Routes returns the newest routes that this process has adopted.
func (c *Cluster) Routes() replica.Routes {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routes
}

// EntryVMs returns the number of entry VMs, at least 1. It is the highest of the
// numbers that the live control VMs report and that this process counts itself. It is
// not known on an entry VM without a session to a live control VM.
func (c *Cluster) EntryVMs(now time.Time) (count int, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count = max(1, c.countEntryVMs(now))
	known = c.control != nil
	for _, r := range c.sessions {
		if r.alive(now) && r.presence.Address() != "" {
			count = max(count, r.presence.EntryVMCount())
			known = true
		}
	}
	return count, known
}

// dataCentreTimeout is the time without a presence after which a data centre
// counts as unreachable: two presence intervals and 100 ms for network delay.
const dataCentreTimeout = 900 * time.Millisecond

// ReachableDataCentres returns the data centres from which a VM has sent a
// presence within dataCentreTimeout.
func (c *Cluster) ReachableDataCentres(now time.Time) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]bool)
	for dataCentre, at := range c.dataCentreSeen {
		if now.Sub(at) < dataCentreTimeout {
			out[dataCentre] = true
		}
	}
	return out
}

// entryVMMemory is how long an entry VM counts after its last presence. It is longer than
// a restart takes: the VMs that return after many were killed must not take the shares of
// those that have not returned yet.
const entryVMMemory = 3 * time.Second

// countEntryVMs returns the number of entry VMs from which this process has received a
// presence within entryVMMemory. The caller holds mu.
func (c *Cluster) countEntryVMs(now time.Time) int {
	for vm, at := range c.entryVMSeen {
		if now.Sub(at) > entryVMMemory {
			delete(c.entryVMSeen, vm)
		}
	}
	return len(c.entryVMSeen)
}

// alive reports whether a presence was received within peerTimeout.
func (r *peerState) alive(now time.Time) bool {
	return r.identified && now.Sub(r.lastSeen) < peerTimeout
}

// presenceLoop sends presences and updates the set of control VMs to dial, every
// presenceInterval.
func (c *Cluster) presenceLoop(ctx context.Context) {
	ticker := time.NewTicker(presenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		if c.control != nil {
			c.addControlVMs(voterAddresses(c.control.Status().Voters()), now)
		}
		c.dropExpiredControlVMs(now)
		c.sendPresences(now)
		c.renewConfirmation(now)
	}
}

// IsVoter reports whether this VM is a voter of the replicated log.
func (c *Cluster) IsVoter() bool {
	if c.control == nil {
		return false
	}
	s := c.control.Status()
	return s.Voters().Has(s.Member().ID())
}
