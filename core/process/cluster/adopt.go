package cluster

import (
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// adoptRoutes replaces the routes and notifies the observer if the given ones
// are newer. It reports whether they were.
func (c *Cluster) adoptRoutes(routes replica.Routes, now time.Time) bool {
	c.observerMu.Lock()
	defer c.observerMu.Unlock()
	c.mu.Lock()
	newer := routes.Revision() > c.routes.Revision()
	if newer {
		c.routes = routes
	}
	c.mu.Unlock()
	c.confirming.holder.Learn(routes.Revision())
	if newer {
		c.log.Info("adopted newer routes", zap.Uint64("revision", routes.Revision()), zap.Uint64("version", routes.Version()), zap.Strings("out-of-service", routes.OutOfService()))
		if c.tokenOwner != nil {
			c.tokenOwner.setRoutes(routes)
		}
		c.observer.RoutesChanged(routes, now)
		c.renewConfirmation(now)
	}
	return newer
}

// adoptList replaces the target list if the given one is newer, and reports
// whether it was.
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
	changed := first || !difference.Empty()
	if changed {
		c.log.Info("target list changed", zap.Int("targets", len(list.Instances())),
			zap.Int("changed", len(difference.Changed())), zap.Int("removed", len(difference.Removed())),
			zap.Int("ambiguous-ids", list.AmbiguousIDs()))
	}
	c.observer.TargetsRead(list, changed, now)
	return true
}
