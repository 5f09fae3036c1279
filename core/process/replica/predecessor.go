package replica

import "time"

// leaderHistory records when this replica learned of the latest leader. All other leaders
// that committed an entry were elected before that, because a replica that holds their
// entries has followed a later leader or found them in its log at the start.
type leaderHistory struct {
	// term is the highest term of which this replica followed the leader or led itself,
	// and since when it did so first. At the start they are the last term of the log and
	// the time of the start.
	term  uint64
	since time.Time
	// predecessorTerm and predecessorSince are the values before this replica last became
	// the leader.
	predecessorTerm  uint64
	predecessorSince time.Time
}

// follow records that this replica follows or becomes the leader of a term.
func (h *leaderHistory) follow(term uint64, now time.Time) {
	if term > h.term {
		h.term = term
		h.since = now
	}
}

// lead records that this replica becomes the leader of a term.
func (h *leaderHistory) lead(term uint64, now time.Time) {
	h.predecessorTerm = h.term
	h.predecessorSince = h.since
	h.follow(term, now)
}

// Predecessor returns, on a leader, a time at or after the election of the last leader
// before it that has committed an entry, or false if there was none: every earlier leader
// was deposed by that time.
func (n *Node) Predecessor() (since time.Time, exists bool) {
	return n.history.predecessorSince, n.history.predecessorTerm > 0
}
