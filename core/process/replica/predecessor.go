package replica

import "github.com/mulberrydale/mulberrydale/core/process/bootclock"

// leaderHistory records when this replica learned of the latest leader. All other leaders
// that committed an entry were elected before that, because a replica that holds their
// entries has followed a later leader or found them in its log at the start.
type leaderHistory struct {
	// term is the highest term of which this replica followed the leader or led itself,
	// and since when it did so first. At the start they are the last term of the log and
	// the time of the start.
	term  uint64
	since bootclock.Time
	// predecessorTerm and predecessorSince are the values before this replica last became
	// the leader.
	predecessorTerm  uint64
	predecessorSince bootclock.Time
	// predecessorSettled is true if the log holds the MarkSettled of predecessorTerm.
	predecessorSettled bool
}

// follow records that this replica follows or becomes the leader of a term.
func (h *leaderHistory) follow(term uint64, now bootclock.Time) {
	if term > h.term {
		h.term = term
		h.since = now
	}
}

// lead records that this replica becomes the leader of a term. settledIn reports whether
// the leader of an earlier term has recorded that it was settled.
func (h *leaderHistory) lead(term uint64, settledIn func(term uint64) bool, now bootclock.Time) {
	h.predecessorTerm = h.term
	h.predecessorSince = h.since
	h.predecessorSettled = settledIn(h.term)
	h.follow(term, now)
}

// Predecessor returns, on a leader, a time at or after the election of the last leader
// before it that has committed an entry, and whether that one has called MarkSettled. Every
// leader before that one was deposed by that time. exists is false if there was none.
func (n *Node) Predecessor() (since bootclock.Time, settled, exists bool) {
	return n.history.predecessorSince, n.history.predecessorSettled, n.history.predecessorTerm > 0
}

// settledMark is the payload of the entry with which a leader records that it has led for
// some time. Replicas apply nothing for it.
const settledMark = "settled"

// MarkSettled appends an entry which records that this replica has led for a time in a term.
// It does nothing if it does not lead in that term or has recorded it already.
func (n *Node) MarkSettled(term uint64) {
	if n.role != Leader || n.hardState.term != term || n.log.settledIn(term) {
		return
	}
	n.appendEntry(NoOp, []byte(settledMark), Voters{})
}

// settledIn reports whether the log holds the entry of MarkSettled of a term. It is lost
// when the log is compacted.
func (l *compactedLog) settledIn(term uint64) bool {
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].term >= term; i-- {
		e := l.entries[i]
		if e.term == term && e.kind == NoOp && string(e.payload) == settledMark {
			return true
		}
	}
	return false
}
