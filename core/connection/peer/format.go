package peer

import (
	"strings"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// orderMark precedes formatMark in the start id of processes that understand orders with a
// base.
const orderMark = "+3"

// formatMark ends the start id of processes that understand versions of targets and
// rollouts. Earlier versions of the program close a session at a message or value that they
// don't know, but accept any start id.
const formatMark = "+2"

// joinerMark precedes orderMark in the start id of control VMs that can't bootstrap the log.
const joinerMark = "+4"

// MarkStartID returns the start id that a process sends, which shows that it understands
// versions of targets, rollouts and orders with a base.
func MarkStartID(id string) string { return id + orderMark + formatMark }

// MarkJoiner returns the start id of MarkStartID with the sign that the process can't bootstrap
// the log and only joins it.
func MarkJoiner(startID string) string {
	return strings.TrimSuffix(startID, orderMark+formatMark) + joinerMark + orderMark + formatMark
}

// OnlyJoins reports whether the sender can't bootstrap the log. One of an earlier version of
// the program doesn't say so, and may be able to.
func (p Presence) OnlyJoins() bool {
	return strings.HasSuffix(p.startID, joinerMark+orderMark+formatMark)
}

// UnderstandsOrders reports whether the sender understands orders with a base.
func (p Presence) UnderstandsOrders() bool { return strings.HasSuffix(p.startID, orderMark+formatMark) }

// UnderstandsRollouts reports whether the sender understands versions of targets and
// rollouts. Messages to other processes must be without them.
func (p Presence) UnderstandsRollouts() bool { return strings.HasSuffix(p.startID, formatMark) }

// WithoutVersions returns the message without the versions of the targets.
func (t TargetList) WithoutVersions() TargetList {
	var changed []discovery.Instance
	for _, i := range t.difference.Changed() {
		changed = append(changed, i.WithVersion(""))
	}
	t.difference = discovery.NewDifference(changed, t.difference.Removed())
	return t
}
