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

// MarkStartID returns the start id that a process sends, which shows that it understands
// versions of targets, rollouts and orders with a base.
func MarkStartID(id string) string { return id + orderMark + formatMark }

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
