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
	// beatInterval is the time between two presences on a session.
	beatInterval = 400 * time.Millisecond
	// aliveFor is how long a VM counts as heard after its last presence.
	aliveFor = 1800 * time.Millisecond
	// forgetAfter is how long an address is dialled without an answer.
	forgetAfter = 2 * time.Minute
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
	centre     string
	startID    string
	firstStart bool
}

// NewIdentity returns the identity of a process. The address is where a control
// VM listens for sessions, empty for an entry VM. On the first start of the
// whole installation the seeds found the log.
func NewIdentity(vm, address, centre, startID string, firstStart bool) Identity {
	return Identity{vm: vm, address: address, centre: centre, startID: startID, firstStart: firstStart}
}

// remote is what is known of the other end of a session. The cluster's lock
// guards it.
type remote struct {
	presence peer.Presence
	known    bool
	heardAt  time.Time
	// mirror is the list of targets that was received on this session.
	mirror discovery.List
	// sent is the list of targets that was sent on this session.
	sent     discovery.List
	sentOnce bool
	// behind is the revision at which the peer was found to lag.
	behind uint64
}

// known is an address of a control VM and the dialer that keeps a link to it.
type known struct {
	cancel  context.CancelFunc
	heardAt time.Time
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

	// observing orders the calls of the observer.
	observing sync.Mutex

	mu       sync.Mutex
	ctx      context.Context
	seeds    []string
	controls map[string]*known
	sessions map[*session.Session]*remote
	routes   replica.Routes
	list     discovery.List
	// startedAt is when the process began to run its links, readAt when it last
	// began to read the list.
	startedAt time.Time
	readAt    time.Time
	// heardNumber is the highest number of a list that any VM told. A control
	// VM that restarted knows none itself and must not begin below it: the
	// entry VMs would keep their older lists.
	heardNumber uint64
	// mostEntryVMs is the number of entry VMs that was last told.
	mostEntryVMs int
	// findings is what entry VMs found of targets, on a control VM.
	findings map[string]finding
	// heard is when a VM of each data centre was last heard.
	heard map[string]time.Time
}

// New returns the cluster of a process that knows the seeds; nothing runs yet.
func New(self Identity, seeds []string, reader ListReader, observer Observer, log *zap.Logger) *Cluster {
	return &Cluster{
		self:     self,
		log:      log,
		observer: observer,
		reader:   reader,
		calls:    peer.NewCalls(),
		seeds:    seeds,
		controls: make(map[string]*known),
		sessions: make(map[*session.Session]*remote),
		findings: make(map[string]finding),
		heard:    make(map[string]time.Time),
	}
}

// KeepLog makes this process a control VM with a data folder. The wanted
// number of voters is what the log grows to.
func (c *Cluster) KeepLog(folder string, wanted int, now time.Time) error {
	role, err := control.Open(folder, c.self.address, nil, wanted, c, c, c.log, now)
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
	c.learn(c.seeds, time.Now())
	if socket != nil {
		go (&listenLoop{listener: session.NewListener(socket, c)}).run(ctx)
	}
	if c.control != nil {
		go (&controlLoop{cluster: c}).run(ctx)
		go (&acceptLoop{cluster: c}).run(ctx)
	}
	go (&readLoop{cluster: c}).run(ctx)
	c.loop(ctx)
}

// SetSeeds takes over the seeds of changed settings.
func (c *Cluster) SetSeeds(seeds []string, now time.Time) {
	c.mu.Lock()
	c.seeds = seeds
	c.mu.Unlock()
	c.learn(seeds, now)
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
	most := max(1, c.entryVMs(now))
	for _, r := range c.sessions {
		if r.alive(now) {
			most = max(most, r.presence.EntryVMs())
		}
	}
	return most
}

// cutAfter is the time without a presence after which a data centre counts as
// not heard: two presences and the way.
const cutAfter = 900 * time.Millisecond

// CentresHeard returns the data centres of which a VM is heard.
func (c *Cluster) CentresHeard(now time.Time) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]bool)
	for centre, at := range c.heard {
		if now.Sub(at) < cutAfter {
			out[centre] = true
		}
	}
	return out
}

// entryVMs counts the entry VMs that this process hears. The caller holds the
// lock.
func (c *Cluster) entryVMs(now time.Time) int {
	heard := make(map[string]bool)
	for _, r := range c.sessions {
		if r.alive(now) && r.presence.Address() == "" {
			heard[r.presence.VM()] = true
		}
	}
	return len(heard)
}

func (r *remote) alive(now time.Time) bool {
	return r.known && now.Sub(r.heardAt) < aliveFor
}

// learn starts to dial control VMs that were not known.
func (c *Cluster) learn(addresses []string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		return
	}
	for _, address := range addresses {
		if address == c.self.address || address == "" || c.controls[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(c.ctx)
		c.controls[address] = &known{cancel: cancel, heardAt: now}
		go (&dialLoop{dialer: session.NewDialer(address, c)}).run(ctx)
	}
}

// forget stops dialling control VMs that have been gone for long.
func (c *Cluster) forget(now time.Time) {
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
	for address, k := range c.controls {
		if !keep[address] && now.Sub(k.heardAt) > forgetAfter {
			k.cancel()
			delete(c.controls, address)
		}
	}
}

// loop sends presences and does what is due.
func (c *Cluster) loop(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		if c.control != nil {
			c.learn(vmsOf(c.control.Status().Voters()), now)
		}
		c.forget(now)
		c.beat(now)
	}
}

func vmsOf(voters replica.Voters) []string {
	var out []string
	for _, m := range voters.Members() {
		out = append(out, m.VM())
	}
	return out
}

// adoptRoutes takes routes over if they are newer than what is known, and
// reports whether they were.
func (c *Cluster) adoptRoutes(routes replica.Routes, now time.Time) bool {
	c.observing.Lock()
	defer c.observing.Unlock()
	c.mu.Lock()
	newer := routes.Revision() > c.routes.Revision()
	if newer {
		c.routes = routes
	}
	c.mu.Unlock()
	if newer {
		c.log.Info("routes taken over", zap.Uint64("revision", routes.Revision()), zap.Uint64("version", routes.Version()), zap.Strings("out-of-service", routes.OutOfService()))
		c.observer.RoutesChanged(routes, now)
	}
	return newer
}

// adoptList takes a list of targets over if it comes after the present
// one, and reports whether it was.
func (c *Cluster) adoptList(list discovery.List, now time.Time) bool {
	c.observing.Lock()
	defer c.observing.Unlock()
	c.mu.Lock()
	fresher := list.Newer(c.list)
	var difference discovery.Difference
	first := c.list.Empty()
	if fresher {
		difference = discovery.Compare(c.list, list)
		c.list = list
	}
	c.mu.Unlock()
	if !fresher {
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
func (c *Cluster) Votes() bool {
	if c.control == nil {
		return false
	}
	s := c.control.Status()
	return s.Voters().Has(s.Member().ID())
}
