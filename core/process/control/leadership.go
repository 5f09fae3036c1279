package control

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// Leadership is what a leader may rely on to act alone for a short time, for example to
// grant tokens of a quota. The zero value belongs to a VM that may not.
type Leadership struct {
	established    bool
	term           uint64
	hasPredecessor bool
	predecessorAge time.Duration
	// quorumContact is the latest time at which a quorum is known to have followed this
	// leader, if hasQuorumContact is true.
	quorumContact    bootclock.Time
	hasQuorumContact bool
}

// SettledAge is the time for which a leader must have led when it calls MarkSettled. A later
// leader knows then, even right after its start, that its predecessor led for so long.
const SettledAge = 10 * time.Second

// markSettledRequest asks the loop to record that this replica has led for SettledAge.
type markSettledRequest struct{ term uint64 }

func (markSettledRequest) event() {}

// MarkSettled records in the log that this VM has led for SettledAge in a term. It is
// recorded once in a term; a request that does not fit into the inbox is dropped.
func (c *Control) MarkSettled(term uint64) {
	select {
	case c.inbox <- markSettledRequest{term: term}:
	default:
	}
}

// Leadership returns the state of the leadership. It is established once the leader has
// committed an entry of its term.
func (s Status) Leadership() Leadership { return s.leadership }

// Established reports whether this VM is the leader and has committed an entry of its
// term. Every earlier leader that did so is in its log.
func (l Leadership) Established() bool { return l.established }

// Term returns the term.
func (l Leadership) Term() uint64 { return l.term }

// Predecessor returns a lower bound of the time since the last leader before this one was
// elected, or false if there was none. All leaders before that one were deposed when it was
// elected.
func (l Leadership) Predecessor() (age time.Duration, exists bool) {
	return l.predecessorAge, l.hasPredecessor
}

// QuorumAge returns the time since the last known contact with a quorum, including the
// time for which this machine was suspended, or false if none is known. No later leader can
// have been elected before that contact.
func (l Leadership) QuorumAge(now bootclock.Time) (time.Duration, bool) {
	return now.Sub(l.quorumContact), l.hasQuorumContact
}

// leadership returns the state of the leadership.
func (c *Control) leadership(now bootclock.Time) Leadership {
	running := c.clock.now != nil
	if !running || c.node.Role() != replica.Leader {
		return Leadership{}
	}
	_, established := c.node.ReadIndex()
	since, settled, exists := c.node.Predecessor()
	l := Leadership{established: established, term: c.node.Term(), hasPredecessor: exists, predecessorAge: now.Sub(since)}
	if settled {
		l.predecessorAge = max(l.predecessorAge, SettledAge)
	}
	if contact, ok := c.node.AcknowledgedContact(now); ok {
		l.quorumContact = contact
		l.hasQuorumContact = true
	}
	return l
}
