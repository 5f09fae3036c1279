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
	c.journalRetryAt = now.Add(journalRetry)
	if c.journalFailedAt.IsZero() {
		c.journalFailedAt = now
		c.log.Error("the journal can't be written; this VM leaves the log until it can", logsink.Cause(err))
	}
	c.node.StepDown(now)
	c.node.TakeOutput()
	c.failWaiting(result.New(result.JournalUnusable, "the journal of this VM can't be written"))
	c.publishStatus(now)
}

// recoverJournal writes the memory as a new journal, and reports whether the
// replica may take part again.
func (c *Control) recoverJournal(now time.Time) bool {
	c.node.TakeOutput()
	if now.Before(c.journalRetryAt) {
		return false
	}
	if err := c.rewriteJournal(); err != nil {
		c.journalRetryAt = now.Add(journalRetry)
		return false
	}
	c.log.Info("the journal can be written again", zap.Duration("after", now.Sub(c.journalFailedAt)))
	c.journalFailedAt = time.Time{}
	c.node.Synced(now)
	return true
}

// failWaiting ends all proposals and reads that wait with an error. Whether
// a proposal is accepted later is not known.
func (c *Control) failWaiting(err error) {
	for index, p := range c.pending {
		delete(c.pending, index)
		p.reply <- proposalResult{err: err}
	}
	for _, r := range c.reads {
		r.reply <- readResult{err: err}
	}
	c.reads = nil
}

// beginRead notes up to where a read must see the log, and asks the voters at
// once whether this replica still leads.
func (c *Control) beginRead(r readRequest, now time.Time) {
	index, ok := c.node.Readable()
	if !ok || !c.journalFailedAt.IsZero() {
		r.reply <- readResult{err: result.New(result.NoQuorum, "this VM does not lead")}
		return
	}
	r.index = index
	r.startedAt = now
	c.reads = append(c.reads, r)
	c.node.Beat(now)
}

// finishReads answers the reads that a quorum has confirmed since they began.
func (c *Control) finishReads(now time.Time) {
	at, leads := c.node.QuorumAt(now)
	if !leads {
		if c.node.Role() != replica.Leader && (len(c.reads) > 0 || len(c.pending) > 0) {
			c.failWaiting(result.New(result.NoQuorum, "this VM does not lead any more"))
		}
		return
	}
	remaining := c.reads[:0]
	for _, r := range c.reads {
		if at.Before(r.startedAt) || c.applied < r.index {
			remaining = append(remaining, r)
			continue
		}
		c.stateMu.Lock()
		routes := c.state.Routes()
		c.stateMu.Unlock()
		r.reply <- readResult{routes: routes}
	}
	c.reads = remaining
}
