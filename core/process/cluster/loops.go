package cluster

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
)

const (
	// readInterval is the age of the target list at which the control VM of rank
	// 0 reads it again. It is also the least time between two reads by one VM.
	readInterval = time.Second
	// readerStagger is the additional age of the list per rank before a control VM
	// reads it, so that VMs of lower ranks read first.
	readerStagger = 700 * time.Millisecond
	// entryReadDelay is the least age of the list at which an entry VM reads it
	// itself instead of receiving it from a control VM.
	entryReadDelay = 3 * time.Second
	// entryReadSpread is the width, per reported entry VM, of the random addition
	// to entryReadDelay. The width grows with the number of entry VMs, so that all
	// of them together read no more often than the source of the list supports.
	entryReadSpread = 100 * time.Millisecond
	// readPollInterval is the time between two checks whether a read is due.
	readPollInterval = 200 * time.Millisecond
	// readTimeout bounds one read of the whole list.
	readTimeout = 1500 * time.Millisecond
)

// ListReader reads the target list from its external source.
type ListReader interface {
	Read(ctx context.Context) ([]discovery.Instance, error)
}

// dialLoop runs the dialer to one control VM.
type dialLoop struct{ dialer *session.Dialer }

func (l *dialLoop) run(ctx context.Context) { l.dialer.Run(ctx) }

// listenLoop accepts the sessions that other VMs open to this control VM.
type listenLoop struct{ listener *session.Listener }

func (l *listenLoop) run(ctx context.Context) { l.listener.Run(ctx) }

// controlLoop runs the control role.
type controlLoop struct{ cluster *Cluster }

func (l *controlLoop) run(ctx context.Context) {
	if err := l.cluster.control.Run(ctx); err != nil {
		l.cluster.log.Error("the control role stopped with an error", logsink.Cause(err))
	}
}

// publishLoop adopts the latest routes that the log has accepted whenever they
// change, once the replica has caught up: those of its last snapshot may have been
// replaced. The leader also sends them to the entry VMs at once, and so do all control VMs
// if a rollout has begun or ended: an entry VM without a link to the leader must not go on
// with targets that stop.
type publishLoop struct{ cluster *Cluster }

func (l *publishLoop) run(ctx context.Context) {
	c := l.cluster
	for {
		select {
		case <-c.control.Accepted():
		case <-ctx.Done():
			return
		}
		s := c.control.Status()
		before := c.Routes()
		if !s.CaughtUp() || !c.adoptRoutes(s.Routes(), time.Now()) {
			continue
		}
		if s.Leads() || rolloutsDiffer(before, s.Routes()) {
			c.publishRoutes()
		}
	}
}

// publishRoutes sends the routes to every entry VM that has older ones.
func (c *Cluster) publishRoutes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	payloads := encodeRoutes(c.routes)
	for s, r := range c.sessions {
		// Other control VMs receive the routes through the log.
		if r.identified && r.presence.Address() == "" && r.presence.Revision() < c.routes.Revision() {
			s.Send(payloads.forPeer(r))
		}
	}
}

// readLoop reads the target list whenever readDue reports that this VM should.
type readLoop struct{ cluster *Cluster }

func (l *readLoop) run(ctx context.Context) {
	ticker := time.NewTicker(readPollInterval)
	defer ticker.Stop()
	jitter := rand.Float64()
	for {
		if l.cluster.readDue(jitter, time.Now()) {
			l.cluster.readList(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readDue reports whether this VM should read the target list now. The leader
// reads first; other control VMs read, in the order of their ranks, only if the
// list was not renewed, and entry VMs last. The jitter, from 0 to 1, spreads the
// reads of the entry VMs over time.
func (c *Cluster) readDue(jitter float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	firstReader := c.control != nil && c.readerRank(now) == 0
	if c.readStartedAt.IsZero() && c.list.Empty() {
		// At the start only the control VM of rank 0 reads at once. The others
		// wait for readInterval, because they normally receive the list by then.
		return firstReader || now.Sub(c.startedAt) >= readInterval
	}
	if now.Sub(c.readStartedAt) < readInterval {
		return false
	}
	return firstReader && c.list.Empty() || now.Sub(c.list.ReadAt()) >= c.maxListAge(jitter, now)
}

// maxListAge returns the age of the target list at which this VM reads it. The
// caller holds mu.
func (c *Cluster) maxListAge(jitter float64, now time.Time) time.Duration {
	if c.control == nil {
		return entryReadDelay + time.Duration(jitter*float64(entryReadSpread)*float64(c.reportedEntryVMs))
	}
	return readInterval + time.Duration(c.readerRank(now))*readerStagger
}

// readerRank returns the number of control VMs that read the target list before this
// one. The leader, if it is known, has rank 0; the others that are alive follow in
// the order of their addresses. The caller holds mu.
func (c *Cluster) readerRank(now time.Time) int {
	leader := c.control.Status().Leader()
	if leader == c.self.address {
		return 0
	}
	alive := map[string]bool{c.self.address: true}
	for _, r := range c.sessions {
		if r.alive(now) && r.presence.Address() != "" {
			alive[r.presence.Address()] = true
		}
	}
	var order []string
	for address := range alive {
		if address != leader {
			order = append(order, address)
		}
	}
	sort.Strings(order)
	rank := sort.SearchStrings(order, c.self.address)
	if leader != "" {
		rank++
	}
	return rank
}

// readList reads the target list and adopts it. A control VM also sends the
// changes to its peers. After an error the previous list stays in use.
func (c *Cluster) readList(ctx context.Context) {
	start := time.Now()
	c.mu.Lock()
	c.readStartedAt = start
	number := max(c.list.SequenceNumber(), c.highestListNumber) + 1
	c.mu.Unlock()
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	instances, err := c.reader.Read(readCtx)
	if err != nil {
		c.log.Warn("failed to read the target list; keeping the previous one", logsink.Cause(err))
		return
	}
	now := time.Now()
	if !c.adoptList(discovery.NewList(instances, number, start), now) || c.control == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, r := range c.sessions {
		if r.identified {
			c.sendList(s, r, now)
		}
	}
}
