package control

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// substituteDelay is how long a VM that bootstraps the log in place of a lower one must have
// heard from all others that none has a log. It is longer than the time after which a VM that
// is not heard counts as dead, so that each has said so since the lower one started again.
const substituteDelay = 5 * time.Second

// maxStatusGap is the longest time between two looks at the statuses of the others that count
// as one time. After a longer one this VM may have stood still, and the statuses may be old.
const maxStatusGap = time.Second

// bootstrapOrJoin bootstraps the log, or sends the VMs that have it a request to join
// if replica.Node.ShouldJoin says so. Only the VM with the lowest member name of those that
// can bootstraps, and only after all expected control VMs have reported that they have no
// log: a VM that lost its disk must not bootstrap a second log.
func (c *Control) bootstrapOrJoin(now bootclock.Time) {
	if !c.node.ShouldJoin(now) || now.Sub(c.lastJoinAt) < joinInterval {
		return
	}
	if now.Sub(c.lastJoinAt) > maxStatusGap {
		c.founderSince = 0
	}
	c.lastJoinAt = now
	members := []replica.Member{c.self}
	isFounder := !c.node.Bootstrapped() && c.MayBootstrap()
	isSubstitute := false
	for vm, other := range c.peers.PeerStatuses() {
		members = append(members, replica.NewMember(other.id, vm))
		if other.alive && other.bootstrapped {
			join := replica.NewEnvelope(c.self, replica.NewMember(other.id, vm), replica.NewJoin(c.self))
			c.sender.SendEnvelope(vm, replica.EncodeEnvelope(join))
		}
		isLower := vm < c.self.VM()
		isFounder = isFounder && other.alive && !other.bootstrapped && (!isLower || other.onlyJoins)
		isSubstitute = isSubstitute || isLower
	}
	if !isFounder {
		c.founderSince = 0
		return
	}
	if c.founderSince.IsZero() {
		c.founderSince = now
	}
	if !isSubstitute || now.Sub(c.founderSince) >= substituteDelay {
		c.node.Bootstrap(replica.NewVoters(members), now)
	}
}
