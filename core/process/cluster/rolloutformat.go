package cluster

import (
	"bytes"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
)

// controlVMsUnderstandRollouts reports whether no control VM from which messages arrive runs
// a version of the program that can't apply commands about rollouts.
func (c *Cluster) controlVMsUnderstandRollouts(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.sessions {
		if r.alive(now) && r.presence.Address() != "" && !r.presence.UnderstandsRollouts() {
			return false
		}
	}
	return true
}

// understandsRollouts reports whether the peer of a session understands rollouts.
func (c *Cluster) understandsRollouts(s *session.Session) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.sessions[s]
	return r != nil && r.presence.UnderstandsRollouts()
}

// rolloutsDiffer reports whether a rollout has begun or ended between two routes. Versions
// that were only recorded do not count: the leader alone publishes these, since the routes
// have tens of kilobytes.
func rolloutsDiffer(a, b replica.Routes) bool {
	return !bytes.Equal(rollout.EncodeRecords(withOrder(a.Rollouts())), rollout.EncodeRecords(withOrder(b.Rollouts())))
}

// withOrder returns the records of services of which a rollout was ordered.
func withOrder(records []rollout.Record) []rollout.Record {
	var out []rollout.Record
	for _, r := range records {
		if r.Order() > 0 {
			out = append(out, r)
		}
	}
	return out
}

// routesPayloads holds encoded routes for peers that understand rollouts and for others.
type routesPayloads struct{ full, withoutRollouts []byte }

func encodeRoutes(routes replica.Routes) routesPayloads {
	p := routesPayloads{full: peer.Encode(peer.NewPublishedRoutes(routes))}
	p.withoutRollouts = p.full
	if len(routes.Rollouts()) > 0 {
		p.withoutRollouts = peer.Encode(peer.NewPublishedRoutes(routes.WithRollouts(nil)))
	}
	return p
}

// forPeer returns the payload that a peer understands.
func (p routesPayloads) forPeer(r *peerState) []byte {
	if r.presence.UnderstandsRollouts() {
		return p.full
	}
	return p.withoutRollouts
}
