package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// journalRetryInterval is the time between two attempts to rewrite the journal
// after a write has failed.
const journalRetryInterval = 300 * time.Millisecond

// failJournal handles a failed write to the journal. The replica steps down and
// sends nothing until recoverJournal has written all of its persistent state to
// disk: it must not acknowledge entries that it received but could not write. Its
// output is discarded: the records are part of that state and replicas resend lost
// messages. A snapshot in the output is part of that state too, from which
// recoverJournal installs it. All waiting proposals and reads fail.
func (c *Control) failJournal(err error, now bootclock.Time) {
	c.journalRetryAt = now.Add(journalRetryInterval)
	if c.journalFailedAt.IsZero() {
		c.journalFailedAt = now
		c.log.Error("failed to write the journal; this VM stops replicating until it is writable", logsink.Cause(err))
	}
	c.node.StepDown(now)
	c.node.TakeOutput()
	c.failWaiting(result.New(result.JournalUnusable, "the journal of this VM is not writable"))
	c.publishStatus(now)
	c.sendAnswers()
}

// recoverJournal discards the output of the replica, as failJournal does, and
// rewrites the journal from the replica's state in memory, at most once every
// journalRetryInterval. It then installs a snapshot that the replica received
// meanwhile. It reports whether the replica may participate again. The error is
// that of installSnapshot.
func (c *Control) recoverJournal(now bootclock.Time) (bool, error) {
	c.node.TakeOutput()
	if now.Before(c.journalRetryAt) {
		return false, nil
	}
	if err := c.rewriteJournal(); err != nil {
		c.journalRetryAt = now.Add(journalRetryInterval)
		return false, nil
	}
	if s := c.node.PersistentState().Snapshot(); s.Index() > c.applied {
		if err := c.installSnapshot(s); err != nil {
			return false, err
		}
	}
	c.log.Info("journal is writable again", zap.Duration("after", now.Sub(c.journalFailedAt)))
	c.journalFailedAt = 0
	c.node.MarkSynced(now)
	return true, nil
}

// answer is the result of a waiting proposal or read that has not been sent to
// its caller yet: a proposalAnswer or a readAnswer.
type answer interface{ send() }

type proposalAnswer struct {
	reply  chan<- proposalResult
	result proposalResult
}

type readAnswer struct {
	reply  chan<- readResult
	result readResult
}

func (a proposalAnswer) send() { a.reply <- a.result }
func (a readAnswer) send()     { a.reply <- a.result }

// sendAnswers sends the results of this step. It is called after publishStatus, so
// that a caller which has its result never reads the status of before it.
func (c *Control) sendAnswers() {
	for _, a := range c.answers {
		a.send()
	}
	c.answers = c.answers[:0]
}

// failWaiting answers all waiting proposals and reads with an error. The proposals
// may still be accepted later.
func (c *Control) failWaiting(err error) {
	for index, p := range c.pending {
		delete(c.pending, index)
		c.answers = append(c.answers, proposalAnswer{reply: p.reply, result: proposalResult{err: err}})
	}
	for _, r := range c.reads {
		c.answers = append(c.answers, readAnswer{reply: r.reply, result: readResult{err: err}})
	}
	c.reads = nil
}

// beginRead records the index that must be applied before the read is answered,
// and sends heartbeats at once to confirm that this replica is still the leader.
func (c *Control) beginRead(r readRequest, now bootclock.Time) {
	index, ok := c.node.ReadIndex()
	if !ok || !c.journalFailedAt.IsZero() {
		c.answers = append(c.answers, readAnswer{reply: r.reply, result: readResult{err: result.New(result.NoQuorum, "this VM is not the leader")}})
		return
	}
	r.index = index
	r.startedAt = now
	c.reads = append(c.reads, r)
	c.node.ScheduleHeartbeat(now)
}

// finishReads answers the reads for which a quorum has confirmed the leadership
// since they began and whose index is applied. If this replica is no longer the
// leader, all waiting reads and proposals fail.
func (c *Control) finishReads(now bootclock.Time) {
	at, leads := c.node.LastQuorumContact(now)
	if !leads {
		if c.node.Role() != replica.Leader && (len(c.reads) > 0 || len(c.pending) > 0) {
			c.failWaiting(result.New(result.NoQuorum, "this VM is no longer the leader"))
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
		c.answers = append(c.answers, readAnswer{reply: r.reply, result: readResult{routes: routes}})
	}
	c.reads = remaining
}
