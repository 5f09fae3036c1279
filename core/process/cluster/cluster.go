// Package cluster joins the VMs of an installation that tells a process only
// a few seeds: control VMs keep the routes in the replicated log, entry VMs
// hear every control VM that they learn of. Each VM keeps the newest routes
// and the freshest list of targets that it was told.
package cluster

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/control"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

const (
	// presenceInterval is the time between two presences on a session.
	presenceInterval = 400 * time.Millisecond
	// peerTimeout is how long a VM counts as heard after its last presence.
	peerTimeout = 1800 * time.Millisecond
	// controlVMExpiry is how long an address is dialled without an answer.
	controlVMExpiry = 2 * time.Minute
)

// Observer is told of what the cluster learned. Calls come one after another.
type Observer interface {
	RoutesChanged(routes replica.Routes, now time.Time)
	TargetsChanged(list discovery.List, now time.Time)
}

// Identity is what a process knows of itself from its settings.
type Identity struct {
	vm         string
	address    string
	dataCentre string
	startID    string
	firstStart bool
}

// NewIdentity returns the identity of a process. The address is where a control
// VM listens for sessions, empty for an entry VM. On the first start of the
// whole installation the seeds found the log.
func NewIdentity(vm, address, dataCentre, startID string, firstStart bool) Identity {
	return Identity{vm: vm, address: address, dataCentre: dataCentre, startID: startID, firstStart: firstStart}
}

// peerState is what is known of the other end of a session. The cluster's lock
// guards it.
type peerState struct {
	presence   peer.Presence
	identified bool
	lastSeen   time.Time
	// receivedList is the list of targets that was received on this session.
	receivedList discovery.List
	// sentList is the list of targets that was sent on this session.
	sentList discovery.List
	sentOnce bool
	// lagRevision is the revision at which the peer was found to lag.
	lagRevision uint64
}

// controlLink is an address of a control VM and the dialer that keeps a link to it.
type controlLink struct {
	cancel   context.CancelFunc
	lastSeen time.Time
}

// Cluster is the links of one process. Its lock is held briefly and never
// while the observer is called.
type Cluster struct {
	self     Identity
	log      *zap.Logger
	observer Observer
	control  *control.Control
	reader   ListReader
	calls    *peer.Calls
	source   FindingSource

	// observerMu orders the calls of the observer.
	observerMu sync.Mutex

	mu           sync.Mutex
	ctx          context.Context
	seeds        []string
	controlLinks map[string]*controlLink
	sessions     map[*session.Session]*peerState
	routes       replica.Routes
	list         discovery.List
	// startedAt is when the process began to run its links, readAt when it last
	// began to read the list.
	startedAt     time.Time
	readStartedAt time.Time
	// highestListNumber is the highest number of a list that any VM told. A control
	// VM that restarted knows none itself and must not begin below it: the
	// entry VMs would keep their older lists.
	highestListNumber uint64
	// reportedEntryVMs is the number of entry VMs that was last told.
	reportedEntryVMs int
	// healthByTarget is what entry VMs found of targets, on a control VM.
	healthByTarget map[string]targetHealth
	// dataCentreSeen is when a VM of each data centre was last heard.
	dataCentreSeen map[string]time.Time
}

// New returns the cluster of a process that knows the seeds; nothing runs yet.
func New(self Identity, seeds []string, reader ListReader, observer Observer, log *zap.Logger) *Cluster {
	return &Cluster{
		self:           self,
		log:            log,
		observer:       observer,
		reader:         reader,
		calls:          peer.NewCalls(),
		seeds:          seeds,
		controlLinks:   make(map[string]*controlLink),
		sessions:       make(map[*session.Session]*peerState),
		healthByTarget: make(map[string]targetHealth),
		dataCentreSeen: make(map[string]time.Time),
	}
}

// EnableControl makes this process a control VM with a data folder. The wanted
// number of voters is what the log grows to.
func (c *Cluster) EnableControl(folder string, wantedVoters int, now time.Time) error {
	role, err := control.Open(folder, c.self.address, nil, wantedVoters, c, c, c.log, now)
	if err != nil {
		return err
	}
	c.control = role
	return nil
}

// Run keeps the links until ctx ends. The socket is nil on an entry VM.
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
	}
	go (&readLoop{cluster: c}).run(ctx)
	c.presenceLoop(ctx)
}

// SetSeeds takes over the seeds of changed settings.
func (c *Cluster) SetSeeds(seeds []string, now time.Time) {
	c.mu.Lock()
	c.seeds = seeds
	c.mu.Unlock()
	c.addControlVMs(seeds, now)
}

// Routes returns the newest routes that this process knows.
func (c *Cluster) Routes() replica.Routes {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routes
}

// EntryVMs returns the number of entry VMs, as the control VMs hear them, at
// least one.
func (c *Cluster) EntryVMs(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := max(1, c.countEntryVMs(now))
	for _, r := range c.sessions {
		if r.alive(now) {
			count = max(count, r.presence.EntryVMs())
		}
	}
	return count
}

// dataCentreTimeout is the time without a presence after which a data centre counts as
// not heard: two presences and the way.
const dataCentreTimeout = 900 * time.Millisecond

// ReachableDataCentres returns the data centres of which a VM is heard.
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

// countEntryVMs counts the entry VMs that this process hears. The caller holds the
// lock.
func (c *Cluster) countEntryVMs(now time.Time) int {
	vms := make(map[string]bool)
	for _, r := range c.sessions {
		if r.alive(now) && r.presence.Address() == "" {
			vms[r.presence.VM()] = true
		}
	}
	return len(vms)
}

func (r *peerState) alive(now time.Time) bool {
	return r.identified && now.Sub(r.lastSeen) < peerTimeout
}

// addControlVMs starts to dial control VMs that were not known.
func (c *Cluster) addControlVMs(addresses []string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		return
	}
	for _, address := range addresses {
		if address == c.self.address || address == "" || c.controlLinks[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(c.ctx)
		c.controlLinks[address] = &controlLink{cancel: cancel, lastSeen: now}
		go (&dialLoop{dialer: session.NewDialer(address, c)}).run(ctx)
	}
}

// dropExpiredControlVMs stops dialling control VMs that have been gone for long.
func (c *Cluster) dropExpiredControlVMs(now time.Time) {
	keep := make(map[string]bool)
	if c.control != nil {
		for _, m := range c.control.Status().Voters().Members() {
			keep[m.VM()] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, seed := range c.seeds {
		keep[seed] = true
	}
	for address, link := range c.controlLinks {
		if !keep[address] && now.Sub(link.lastSeen) > controlVMExpiry {
			link.cancel()
			delete(c.controlLinks, address)
		}
	}
}

// presenceLoop sends presences and does what is due.
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
	}
}

func voterAddresses(voters replica.Voters) []string {
	var out []string
	for _, m := range voters.Members() {
		out = append(out, m.VM())
	}
	return out
}

// adoptRoutes takes routes over if they are newer than what is known, and
// reports whether they were.
func (c *Cluster) adoptRoutes(routes replica.Routes, now time.Time) bool {
	c.observerMu.Lock()
	defer c.observerMu.Unlock()
	c.mu.Lock()
	newer := routes.Revision() > c.routes.Revision()
	if newer {
		c.routes = routes
	}
	c.mu.Unlock()
	if newer {
		c.log.Info("routes taken over", zap.Uint64("revision", routes.Revision()), zap.Uint64("version", routes.Version()), zap.Strings("out-of-service", routes.Out()))
		c.observer.RoutesChanged(routes, now)
	}
	return newer
}

// adoptList takes a list of targets over if it comes after the present
// one, and reports whether it was.
func (c *Cluster) adoptList(list discovery.List, now time.Time) bool {
	c.observerMu.Lock()
	defer c.observerMu.Unlock()
	c.mu.Lock()
	newer := list.Newer(c.list)
	var difference discovery.Difference
	first := c.list.Empty()
	if newer {
		difference = discovery.Compare(c.list, list)
		c.list = list
	}
	c.mu.Unlock()
	if !newer {
		return false
	}
	if first || !difference.Empty() {
		c.log.Info("target list changed", zap.Int("targets", len(list.Instances())),
			zap.Int("changed", len(difference.Changed())), zap.Int("removed", len(difference.Removed())))
		c.observer.TargetsChanged(list, now)
	}
	return true
}

// Votes reports whether this VM counts in the log.
func (c *Cluster) IsVoter() bool {
	if c.control == nil {
		return false
	}
	s := c.control.Status()
	return s.Voters().Has(s.Member().ID())
}
