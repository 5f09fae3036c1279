package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// loopClock is the time of the loop of Run. Decisions use the time of bootclock, which changes of the time
// of day do not affect and which includes the time for which the machine was suspended: a
// leader that was suspended must not take its last contact with a quorum for a recent one.
type loopClock struct {
	// now returns the present time.
	now func() bootclock.Time
	// startedAt is the present time at the start, and timeOfDay the time of day at it.
	startedAt bootclock.Time
	timeOfDay time.Time
}

// newClock returns a clock that starts at the present time.
func newClock(now func() bootclock.Time) loopClock {
	return loopClock{now: now, startedAt: now(), timeOfDay: time.Now().Round(0)}
}

// appendTime returns the time of day that the log shows for an entry appended at a time. Later
// changes of the time of day do not affect it, because all replicas remove what is outdated by
// the times in the log.
func (c loopClock) appendTime(at bootclock.Time) time.Time {
	return c.timeOfDay.Add(at.Sub(c.startedAt))
}

// Run processes events and timers of the replica until ctx ends. It returns an
// error if a snapshot sent by the leader can't be decoded; the role has then stopped.
func (c *Control) Run(ctx context.Context) error {
	clock := newClock(bootclock.Now)
	c.clock = clock
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer c.journal.Close()
	for {
		select {
		case e := <-c.inbox:
			c.handle(e, clock.now())
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		c.drainInbox(clock.now())
		if err := c.step(clock); err != nil {
			return err
		}
		timer.Reset(c.nextWakeup(clock.now()))
	}
}

// nextWakeup returns how long the loop may wait for an event before a timer is due.
func (c *Control) nextWakeup(now bootclock.Time) time.Duration {
	if !c.journalFailedAt.IsZero() {
		return journalRetryInterval
	}
	return max(0, min(c.node.NextTick().Sub(now), joinInterval))
}

// drainInbox handles up to maxBatch events that are already queued, so that they
// share one sync of the journal.
func (c *Control) drainInbox(now bootclock.Time) {
	for range maxBatch {
		select {
		case e := <-c.inbox:
			c.handle(e, now)
		default:
			return
		}
	}
}

// handle passes an event to the replica.
func (c *Control) handle(e event, now bootclock.Time) {
	switch e := e.(type) {
	case delivery:
		c.node.Step(e.envelope, now)
	case proposal:
		c.propose(e, now)
	case readRequest:
		c.beginRead(e, now)
	case markSettledRequest:
		c.node.MarkSettled(e.term)
	}
}

// propose appends a command, with the current time, to the log. It rejects the
// command if this replica is not the leader or can't write its journal, and a stale
// replica.Order with replica.OrderRejected.
func (c *Control) propose(p proposal, now bootclock.Time) {
	if !c.journalFailedAt.IsZero() {
		c.rejectProposal(p, result.New(result.JournalUnusable, "the journal of this VM is not writable"))
		return
	}
	command := replica.WithAppendTime(p.command, c.clock.appendTime(now))
	if order, ok := command.(replica.Order); ok {
		if c.node.Role() == replica.Leader && order.StaleAt(c.node.LastOrder()) {
			c.answers = append(c.answers, proposalAnswer{reply: p.reply, result: proposalResult{outcome: replica.NewOrderRejected(c.node.LastOrder())}})
			return
		}
		command = order.Command()
	}
	index, term, ok := c.node.Propose(replica.EncodeCommand(command))
	if !ok {
		c.rejectProposal(p, result.New(result.NoQuorum, "this VM is not the leader"))
		return
	}
	if replica.IsOrder(command) {
		c.node.RecordOrder(index)
	}
	p.term = term
	c.pending[index] = p
}

// rejectProposal answers a proposal with an error at the end of this step.
func (c *Control) rejectProposal(p proposal, err error) {
	c.answers = append(c.answers, proposalAnswer{reply: p.reply, result: proposalResult{err: err}})
}

// step runs the timers of the replica, writes the records and sends the messages of
// its output, and applies committed entries. The order is required for safety:
// records are written and synced before messages that depend on them are sent, and
// only then are committed entries applied. Callers get their results last, once the
// status shows them.
func (c *Control) step(clock loopClock) error {
	now := clock.now()
	c.clock = clock
	if !c.journalFailedAt.IsZero() {
		if ok, err := c.recoverJournal(now); !ok {
			c.publishStatus(now)
			c.sendAnswers()
			return err
		}
	}
	c.bootstrapOrJoin(now)
	c.node.Tick(now)
	c.node.Flush(now)
	for {
		out := c.node.TakeOutput()
		c.logVoterDecisions(out.VoterDecisions())
		if out.HasRecords() {
			if err := c.appendRecords(out); err != nil {
				c.failJournal(err, clock.now())
				return nil
			}
			c.node.MarkSynced(clock.now())
		}
		for _, e := range out.Envelopes() {
			c.sender.SendEnvelope(e.To().VM(), replica.EncodeEnvelope(e))
		}
		if s := out.InstalledSnapshot(); s != nil {
			if err := c.installSnapshot(*s); err != nil {
				return err
			}
		}
		if !out.HasRecords() {
			break
		}
		// The sync may have committed entries; this Tick sends the new commit
		// index to the followers at once.
		c.node.Tick(clock.now())
	}
	c.applyCommitted()
	c.finishReads(clock.now())
	c.publishStatus(clock.now())
	c.sendAnswers()
	return c.compact()
}

// logVoterDecisions logs the decisions of this leader to add or remove voters.
func (c *Control) logVoterDecisions(decisions []replica.VoterDecision) {
	for _, d := range decisions {
		message := "voter of the replicated log removed"
		if d.Added() {
			message = "voter of the replicated log added"
		}
		c.log.Info(message, zap.String("voter", d.Member().VM()), zap.String("id", string(d.Member().ID())), zap.Uint64("term", c.node.Term()),
			zap.Int("voters", len(c.node.Voters().Members())), zap.Duration("silence", d.Silence()), zap.Duration("quorum-age", d.QuorumAge()))
	}
}

// appendRecords writes the records of an output to the journal and syncs them.
func (c *Control) appendRecords(out replica.Output) error {
	var records [][]byte
	for _, r := range out.Records() {
		records = append(records, encodeRecord(r))
	}
	return c.journal.Append(records)
}

// installSnapshot replaces the state with a snapshot that the leader sent.
func (c *Control) installSnapshot(s replica.Snapshot) error {
	state, err := replica.DecodeState(s.State())
	if err != nil {
		return result.Wrap(err, result.FrameMalformed, "failed to decode the snapshot sent by the leader")
	}
	c.stateMu.Lock()
	c.state = state
	c.stateMu.Unlock()
	c.applied = s.Index()
	return nil
}

// applyCommitted applies the committed entries to the state and answers the
// proposals that wait for them. A proposal fails if the entry committed at its index
// has another term.
func (c *Control) applyCommitted() {
	for _, e := range c.node.Committed(c.applied) {
		c.applied = e.Index()
		c.bytesSinceCompact += len(e.Payload())
		var res proposalResult
		if e.Kind() == replica.CommandEntry {
			res = c.applyCommand(e.Payload())
		}
		p, isPending := c.pending[e.Index()]
		if !isPending {
			continue
		}
		delete(c.pending, e.Index())
		if p.term != e.Term() {
			res = proposalResult{err: result.New(result.NoQuorum, "another leader was elected before the change was committed")}
		}
		c.answers = append(c.answers, proposalAnswer{reply: p.reply, result: res})
	}
}

// applyCommand applies one encoded command to the state.
func (c *Control) applyCommand(payload []byte) proposalResult {
	command, err := replica.DecodeCommand(payload)
	if err != nil {
		return proposalResult{err: err}
	}
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return proposalResult{outcome: c.state.Apply(command)}
}

// updateCaughtUp records that the replica has applied what was acknowledged before
// its process started. A replica that holds applied entries but has no leader counts
// as caught up after catchUpTimeout; an empty one has nothing to go on with.
func (c *Control) updateCaughtUp(now bootclock.Time) {
	if c.caughtUp {
		return
	}
	_, hasLeader := c.node.Leader()
	timedOut := !hasLeader && c.applied > 0 && now.Sub(c.openedAt) > catchUpTimeout
	known := c.node.CommitKnown() && c.applied >= c.node.CommitIndex()
	c.caughtUp = timedOut || known
	switch {
	case known:
		c.log.Info("replica has caught up", zap.Uint64("applied", c.applied), zap.Uint64("version", c.state.Routes().Version()))
	case timedOut:
		c.log.Warn("no leader found; using the newest routes in the journal", zap.Duration("after", now.Sub(c.openedAt)), zap.Uint64("applied", c.applied), zap.Uint64("version", c.state.Routes().Version()))
	}
}

// publishStatus updates the status and logs a change of the leader. It signals the
// accepted channel for the first status and whenever the version of the
// configuration or the revision of the routes has changed.
func (c *Control) publishStatus(now bootclock.Time) {
	leader, _ := c.node.Leader()
	c.updateCaughtUp(now)
	c.stateMu.Lock()
	s := &Status{
		member:       c.self,
		bootstrapped: c.node.Bootstrapped(),
		leader:       leader.VM(),
		leads:        c.node.Role() == replica.Leader,
		term:         c.node.Term(),
		commit:       c.node.CommitIndex(),
		voters:       c.node.Voters(),
		version:      c.state.Version(),
		document:     c.state.Document(),
		routes:       c.state.Routes(),
		caughtUp:     c.caughtUp,
		quorumAge:    c.node.QuorumAge(now),
		at:           now,
		leadership:   c.leadership(now),
		applied:      c.applied >= c.node.CommitIndex(),
	}
	c.stateMu.Unlock()
	old := c.status.Swap(s)
	if s.leader != c.loggedLeader {
		c.loggedLeader = s.leader
		c.log.Info("leader of the replicated log changed", zap.String("vm", s.leader), zap.Uint64("term", s.term))
	}
	if old != nil && old.version == s.version && old.routes.Revision() == s.routes.Revision() && old.caughtUp == s.caughtUp {
		return
	}
	select {
	case c.accepted <- struct{}{}:
	default:
	}
}

// compact replaces the applied entries with a snapshot and rewrites the journal,
// once compactEntries entries have been applied since the last snapshot or
// compactBytes bytes since the last compaction. A failed rewrite is handled by
// failJournal.
func (c *Control) compact() error {
	if c.applied < c.node.PersistentState().Snapshot().Index()+compactEntries && c.bytesSinceCompact < compactBytes {
		return nil
	}
	c.bytesSinceCompact = 0
	c.stateMu.Lock()
	state := c.state.Encode()
	c.stateMu.Unlock()
	if _, ok := c.node.Compact(c.applied, state); !ok {
		return nil
	}
	if err := c.rewriteJournal(); err != nil {
		c.failJournal(err, c.clock.now())
	}
	return nil
}

// rewriteJournal replaces the journal with one that holds only the current state
// of the replica.
func (c *Control) rewriteJournal() error {
	records := [][]byte{encodeIdentity(c.self.ID())}
	for _, r := range c.node.PersistentState().Records() {
		records = append(records, encodeRecord(r))
	}
	return c.journal.Replace(records)
}
