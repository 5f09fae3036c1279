package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// journalRetry is the time between two tries to write a journal anew after
// a write was refused.
const journalRetry = 300 * time.Millisecond

// failJournal stops everything that needs the disk: the replica gives the
// leadership up and sends nothing until the whole memory is on the disk again.
// What it had taken in but not written must not be acknowledged meanwhile.
func (c *Control) failJournal(err error, now time.Time) {
	c.retryAt = now.Add(journalRetry)
	if c.failedAt.IsZero() {
		c.failedAt = now
		c.log.Error("the journal can't be written; this VM leaves the log until it can", logsink.Cause(err))
	}
	c.node.StepDown(now)
	c.node.TakeOutput()
	c.refuseWaiting(result.New(result.JournalUnusable, "the journal of this VM can't be written"))
	c.publish(now)
}

// recoverJournal writes the memory as a new journal, and reports whether the
// replica may take part again.
func (c *Control) recoverJournal(now time.Time) bool {
	c.node.TakeOutput()
	if now.Before(c.retryAt) {
		return false
	}
	if err := c.rewrite(); err != nil {
		c.retryAt = now.Add(journalRetry)
		return false
	}
	c.log.Info("the journal can be written again", zap.Duration("after", now.Sub(c.failedAt)))
	c.failedAt = time.Time{}
	c.node.MarkSynced(now)
	return true
}

// refuseWaiting ends all proposals and reads that wait with an error. Whether
// a proposal is accepted later is not known.
func (c *Control) refuseWaiting(err error) {
	for index, p := range c.pending {
		delete(c.pending, index)
		p.reply <- answer{err: err}
	}
	for _, r := range c.reads {
		r.reply <- readAnswer{err: err}
	}
	c.reads = nil
}

// beginRead notes up to where a read must see the log, and asks the voters at
// once whether this replica still leads.
func (c *Control) beginRead(r read, now time.Time) {
	index, ok := c.node.ReadIndex()
	if !ok || !c.failedAt.IsZero() {
		r.reply <- readAnswer{err: result.New(result.NoQuorum, "this VM does not lead")}
		return
	}
	r.index = index
	r.since = now
	c.reads = append(c.reads, r)
	c.node.ScheduleHeartbeat(now)
}

// finishReads answers the reads that a quorum has confirmed since they began.
func (c *Control) finishReads(now time.Time) {
	at, leads := c.node.LastQuorumContact(now)
	if !leads {
		if c.node.Role() != replica.Leader && (len(c.reads) > 0 || len(c.pending) > 0) {
			c.refuseWaiting(result.New(result.NoQuorum, "this VM does not lead any more"))
		}
		return
	}
	kept := c.reads[:0]
	for _, r := range c.reads {
		if at.Before(r.since) || c.applied < r.index {
			kept = append(kept, r)
			continue
		}
		c.stateMu.Lock()
		routes := c.state.Routes()
		c.stateMu.Unlock()
		r.reply <- readAnswer{routes: routes}
	}
	c.reads = kept
}
