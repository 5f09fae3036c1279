package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// monotonicClock turns times into ones that a change of the wall clock does not move,
// also after a trip over the wire without their monotonic part.
type monotonicClock struct{ base time.Time }

func (c monotonicClock) now() time.Time {
	return c.base.Round(0).Add(time.Since(c.base))
}

// Run drives the replica until ctx ends. An error means that the journal can't
// be trusted any more and the process must stop.
func (c *Control) Run(ctx context.Context) error {
	clock := monotonicClock{base: time.Now()}
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

// nextWakeup returns the time until something is due without an event.
func (c *Control) nextWakeup(now time.Time) time.Duration {
	if !c.journalFailedAt.IsZero() {
		return journalRetry
	}
	return max(0, min(c.node.Next().Sub(now), joinInterval))
}

// drainInbox takes in what waits already, so that it shares one sync.
func (c *Control) drainInbox(now time.Time) {
	for range maxBatch {
		select {
		case e := <-c.inbox:
			c.handle(e, now)
		default:
			return
		}
	}
}

func (c *Control) handle(e event, now time.Time) {
	switch e := e.(type) {
	case delivery:
		c.node.Step(e.envelope, now)
	case proposal:
		c.propose(e, now)
	case readRequest:
		c.beginRead(e, now)
	}
}

func (c *Control) propose(p proposal, now time.Time) {
	if !c.journalFailedAt.IsZero() {
		p.reply <- proposalResult{err: result.New(result.JournalUnusable, "the journal of this VM can't be written")}
		return
	}
	payload := replica.EncodeCommand(replica.Stamped(p.command, now))
	index, term, ok := c.node.Propose(payload)
	if !ok {
		p.reply <- proposalResult{err: result.New(result.NoQuorum, "this VM does not lead")}
		return
	}
	p.term = term
	c.pending[index] = p
}

// step does what is due, in the order that safety needs: write and sync, then
// send, then apply.
func (c *Control) step(clock monotonicClock) error {
	now := clock.now()
	if !c.journalFailedAt.IsZero() && !c.recoverJournal(now) {
		return nil
	}
	c.bootstrapOrJoin(now)
	c.node.Tick(now)
	c.node.Flush(now)
	for {
		out := c.node.TakeOutput()
		if out.Written() {
			if err := c.appendRecords(out); err != nil {
				c.failJournal(err, clock.now())
				return nil
			}
			c.node.Synced(clock.now())
		}
		for _, e := range out.Envelopes() {
			c.sender.SendEnvelope(e.To().VM(), replica.EncodeEnvelope(e))
		}
		if s := out.Installed(); s != nil {
			if err := c.installSnapshot(*s); err != nil {
				return err
			}
		}
		if !out.Written() {
			break
		}
		// The commit that the sync allowed is told to the followers at once.
		c.node.Tick(clock.now())
	}
	c.applyCommitted()
	c.finishReads(clock.now())
	c.publishStatus(clock.now())
	return c.compact()
}

func (c *Control) appendRecords(out replica.Output) error {
	var records [][]byte
	for _, r := range out.Records() {
		records = append(records, encodeRecord(r))
	}
	return c.journal.Append(records)
}

// installSnapshot replaces the state by a snapshot that the leader sent.
func (c *Control) installSnapshot(s replica.Snapshot) error {
	state, err := replica.DecodeState(s.State())
	if err != nil {
		return result.Wrap(err, result.FrameMalformed, "the leader's snapshot can't be read")
	}
	c.stateMu.Lock()
	c.state = state
	c.stateMu.Unlock()
	c.applied = s.Index()
	return nil
}

// applyCommitted runs the committed commands and answers those who wait for them.
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
			res = proposalResult{err: result.New(result.NoQuorum, "another leader took over before the change was accepted")}
		}
		p.reply <- res
	}
}

func (c *Control) applyCommand(payload []byte) proposalResult {
	command, err := replica.DecodeCommand(payload)
	if err != nil {
		return proposalResult{err: err}
	}
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return proposalResult{outcome: c.state.Apply(command)}
}

// publishStatus makes a new picture and tells when a version was accepted.
func (c *Control) publishStatus(now time.Time) {
	leader, _ := c.node.Leader()
	c.stateMu.Lock()
	s := &Status{
		member:       c.self,
		bootstrapped: c.node.Founded(),
		leader:       leader.VM(),
		leads:        c.node.Role() == replica.Leader,
		term:         c.node.Term(),
		commit:       c.node.Commit(),
		voters:       c.node.Voters(),
		version:      c.state.Version(),
		document:     c.state.Document(),
		routes:       c.state.Routes(),
		quorumAge:    c.node.QuorumAge(now),
		at:           time.Now(),
	}
	c.stateMu.Unlock()
	old := c.status.Swap(s)
	if s.leader != c.loggedLeader {
		c.loggedLeader = s.leader
		c.log.Info("leader of the log", zap.String("vm", s.leader), zap.Uint64("term", s.term))
	}
	if old != nil && old.version == s.version && old.routes.Revision() == s.routes.Revision() {
		return
	}
	select {
	case c.accepted <- struct{}{}:
	default:
	}
}

// compact writes the journal anew once many entries are applied.
func (c *Control) compact() error {
	if c.applied < c.node.Memory().Snapshot().Index()+compactEntries && c.bytesSinceCompact < compactBytes {
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
		c.failJournal(err, time.Now())
	}
	return nil
}

// rewriteJournal replaces the journal by the shortest one that holds the memory.
func (c *Control) rewriteJournal() error {
	records := [][]byte{encodeIdentity(c.self.ID())}
	for _, r := range c.node.Memory().Records() {
		records = append(records, encodeRecord(r))
	}
	return c.journal.Replace(records)
}

// bootstrapOrJoin founds the log, or asks to be taken in where it exists already. Only
// the VM with the lowest name founds, once every named one was heard to have
// no log: a VM that lost its disk must not found a second one.
func (c *Control) bootstrapOrJoin(now time.Time) {
	if c.node.Voters().Has(c.self.ID()) || now.Sub(c.lastJoinAt) < joinInterval {
		return
	}
	c.lastJoinAt = now
	members := []replica.Member{c.self}
	bootstrapped := c.node.Founded()
	allAlive := true
	lowest := true
	for vm, other := range c.peers.PeerStatuses(now) {
		bootstrapped = bootstrapped || other.bootstrapped
		allAlive = allAlive && other.alive
		lowest = lowest && c.self.VM() < vm
		members = append(members, replica.NewMember(other.id, vm))
		if other.alive && other.bootstrapped {
			join := replica.NewEnvelope(c.self, replica.NewMember(other.id, vm), replica.NewJoin(c.self))
			c.sender.SendEnvelope(vm, replica.EncodeEnvelope(join))
		}
	}
	if !bootstrapped && allAlive && lowest && c.peers.MayBootstrap() {
		c.node.Found(replica.NewVoters(members), now)
	}
}

// Kinds of records in the journal of a control VM.
const (
	identityRecord = iota + 1
	replicaRecord
)

func encodeIdentity(id replica.ID) []byte {
	enc := frame.NewEncoder()
	enc.Uint(identityRecord)
	enc.Bytes([]byte(id))
	return enc.Payload()
}

func encodeRecord(r replica.Record) []byte {
	enc := frame.NewEncoder()
	enc.Uint(replicaRecord)
	enc.Bytes(replica.EncodeRecord(r))
	return enc.Payload()
}

// replayJournal reads the records of a journal.
func replayJournal(records [][]byte) (replica.ID, replica.Memory, error) {
	var id replica.ID
	var memory replica.Memory
	for _, data := range records {
		dec := frame.NewDecoder(data)
		kind := dec.Uint()
		content := dec.Bytes()
		if err := dec.Err(); err != nil {
			return "", memory, result.Wrap(err, result.JournalDamaged, "a record can't be read")
		}
		if kind == identityRecord {
			id = replica.ID(content)
			continue
		}
		record, err := replica.DecodeRecord(content)
		if err != nil {
			return "", memory, err
		}
		memory = memory.Remember(record)
	}
	return id, memory, nil
}
