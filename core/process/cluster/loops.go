package cluster

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
)

const (
	// readInterval is the age of the list at which the first reader reads it
	// again.
	readInterval = time.Second
	// readerStep is how much longer each next control VM waits for the ones
	// before it.
	readerStep = 700 * time.Millisecond
	// entryPatience is how long an entry VM waits for the control VMs before
	// it reads the list itself.
	entryPatience = 3 * time.Second
	// entrySpread is how much longer for each entry VM that was heard: all of
	// them share the rate of readings that the list bears.
	entrySpread = 100 * time.Millisecond
	// readPoll is the time between two looks at the age of the list.
	readPoll = 200 * time.Millisecond
	// readTimeout bounds one reading of the whole list.
	readTimeout = 1500 * time.Millisecond
)

// ListReader reads the list of targets from outside.
type ListReader interface {
	Read(ctx context.Context) ([]discovery.Instance, error)
}

type dialLoop struct{ dialer *session.Dialer }

func (l *dialLoop) run(ctx context.Context) { l.dialer.Run(ctx) }

type listenLoop struct{ listener *session.Listener }

func (l *listenLoop) run(ctx context.Context) { l.listener.Run(ctx) }

type controlLoop struct{ cluster *Cluster }

func (l *controlLoop) run(ctx context.Context) {
	if err := l.cluster.control.Run(ctx); err != nil {
		l.cluster.log.Error("the control role ended", logsink.Cause(err))
	}
}

// acceptLoop puts what the log accepted in force here; the leader tells all
// others at once.
type acceptLoop struct{ cluster *Cluster }

func (l *acceptLoop) run(ctx context.Context) {
	c := l.cluster
	for {
		select {
		case <-c.control.Accepted():
		case <-ctx.Done():
			return
		}
		s := c.control.Status()
		if !c.adoptRoutes(s.Routes(), time.Now()) || !s.Leads() {
			continue
		}
		c.publish()
	}
}

// publish sends the routes to every peer that has older ones.
func (c *Cluster) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	payload := peer.Encode(peer.NewPublished(c.routes))
	for s, r := range c.sessions {
		// Other control VMs learn of it from the log.
		if r.known && r.presence.Address() == "" && r.presence.Revision() < c.routes.Revision() {
			s.Send(payload)
		}
	}
}

// readLoop reads the list of targets when nobody before this VM did.
type readLoop struct{ cluster *Cluster }

func (l *readLoop) run(ctx context.Context) {
	ticker := time.NewTicker(readPoll)
	defer ticker.Stop()
	draw := rand.Float64()
	for {
		if l.cluster.readDue(draw, time.Now()) {
			l.cluster.readList(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readDue reports whether this VM should read the list now: the leader first,
// the other control VMs one after another, entry VMs last. The draw spreads
// the entry VMs.
func (c *Cluster) readDue(draw float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	firstReader := c.control != nil && c.readerRank(now) == 0
	if c.readAt.IsZero() && c.list.Empty() {
		// At the start only the first reader reads; the others are told soon.
		return firstReader || now.Sub(c.startedAt) >= readInterval
	}
	if now.Sub(c.readAt) < readInterval {
		return false
	}
	return firstReader && c.list.Empty() || now.Sub(c.list.ReadAt()) >= c.readPatience(draw, now)
}

// readPatience returns the age of the list at which this VM reads it. The
// caller holds the lock.
func (c *Cluster) readPatience(draw float64, now time.Time) time.Duration {
	if c.control == nil {
		return entryPatience + time.Duration(draw*float64(entrySpread)*float64(c.mostEntryVMs))
	}
	return readInterval + time.Duration(c.readerRank(now))*readerStep
}

// readerRank returns the number of control VMs that read before this one: the
// leader comes first, the others by their addresses. The caller holds the lock.
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

// readList reads the list and tells the peers what changed.
func (c *Cluster) readList(ctx context.Context) {
	began := time.Now()
	c.mu.Lock()
	c.readAt = began
	number := max(c.list.SequenceNumber(), c.heardNumber) + 1
	c.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	instances, err := c.reader.Read(limited)
	if err != nil {
		c.log.Warn("the target list can't be read; the last one holds", logsink.Cause(err))
		return
	}
	now := time.Now()
	if !c.adoptList(discovery.NewList(instances, number, began), now) || c.control == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, r := range c.sessions {
		if r.known {
			c.sendList(s, r, now)
		}
	}
}
