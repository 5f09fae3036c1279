package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// steady turns times into ones that a change of the wall clock does not move,
// also after a trip over the wire without their monotonic part.
type steady struct{ base time.Time }

func (s steady) now() time.Time {
	return s.base.Round(0).Add(time.Since(s.base))
}

// Run drives the replica until ctx ends. An error means that the journal can't
// be trusted any more and the process must stop.
func (c *Control) Run(ctx context.Context) error {
	clock := steady{base: time.Now()}
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer c.journal.Close()
	for {
		select {
		case e := <-c.inbox:
			c.take(e, clock.now())
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		c.takeMore(clock.now())
		if err := c.step(clock); err != nil {
			return err
		}
		timer.Reset(c.pause(clock.now()))
	}
}

// pause returns the time until something is due without an event.
func (c *Control) pause(now time.Time) time.Duration {
	if !c.failedAt.IsZero() {
		return journalRetry
	}
	return max(0, min(c.node.NextTick().Sub(now), joinInterval))
}

// takeMore takes in what waits already, so that it shares one sync.
func (c *Control) takeMore(now time.Time) {
	for range maxBatch {
		select {
		case e := <-c.inbox:
			c.take(e, now)
		default:
			return
		}
	}
}

func (c *Control) take(e event, now time.Time) {
	switch e := e.(type) {
	case delivery:
		c.node.Step(e.envelope, now)
	case proposal:
		c.propose(e, now)
	case read:
		c.beginRead(e, now)
	}
}

func (c *Control) propose(p proposal, now time.Time) {
	if !c.failedAt.IsZero() {
		p.reply <- answer{err: result.New(result.JournalUnusable, "the journal of this VM can't be written")}
		return
	}
	payload := replica.EncodeCommand(replica.WithAppendTime(p.command, now))
	index, term, ok := c.node.Propose(payload)
	if !ok {
		p.reply <- answer{err: result.New(result.NoQuorum, "this VM does not lead")}
		return
	}
	p.term = term
	c.pending[index] = p
}

// step does what is due, in the order that safety needs: write and sync, then
// send, then apply.
func (c *Control) step(clock steady) error {
	now := clock.now()
	if !c.failedAt.IsZero() && !c.recoverJournal(now) {
		return nil
	}
	c.found(now)
	c.node.Tick(now)
	c.node.Flush(now)
	for {
		out := c.node.TakeOutput()
		if out.HasRecords() {
			if err := c.write(out); err != nil {
				c.failJournal(err, clock.now())
				return nil
			}
			c.node.MarkSynced(clock.now())
		}
		for _, e := range out.Envelopes() {
			c.sender.SendReplica(e.To().VM(), replica.EncodeEnvelope(e))
		}
		if s := out.InstalledSnapshot(); s != nil {
			if err := c.install(*s); err != nil {
				return err
			}
		}
		if !out.HasRecords() {
			break
		}
		// The commit that the sync allowed is told to the followers at once.
		c.node.Tick(clock.now())
	}
	c.apply()
	c.finishReads(clock.now())
	c.publish(clock.now())
	return c.compact()
}

func (c *Control) write(out replica.Output) error {
	var records [][]byte
	for _, r := range out.Records() {
		records = append(records, encodeRecord(r))
	}
	return c.journal.Append(records)
}

// install replaces the state by a snapshot that the leader sent.
func (c *Control) install(s replica.Snapshot) error {
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

// apply runs the committed commands and answers those who wait for them.
func (c *Control) apply() {
	for _, e := range c.node.Committed(c.applied) {
		c.applied = e.Index()
		c.unwritten += len(e.Payload())
		var a answer
		if e.Kind() == replica.CommandEntry {
			a = c.run(e.Payload())
		}
		p, waited := c.pending[e.Index()]
		if !waited {
			continue
		}
		delete(c.pending, e.Index())
		if p.term != e.Term() {
			a = answer{err: result.New(result.NoQuorum, "another leader took over before the change was accepted")}
		}
		p.reply <- a
	}
}

func (c *Control) run(payload []byte) answer {
	command, err := replica.DecodeCommand(payload)
	if err != nil {
		return answer{err: err}
	}
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return answer{outcome: c.state.Apply(command)}
}

// publish makes a new picture and tells when a version was accepted.
func (c *Control) publish(now time.Time) {
	leader, _ := c.node.Leader()
	c.stateMu.Lock()
	s := &Status{
		member:    c.self,
		founded:   c.node.Bootstrapped(),
		leader:    leader.VM(),
		leads:     c.node.Role() == replica.Leader,
		term:      c.node.Term(),
		commit:    c.node.CommitIndex(),
		voters:    c.node.Voters(),
		version:   c.state.Version(),
		document:  c.state.Document(),
		routes:    c.state.Routes(),
		quorumAge: c.node.QuorumAge(now),
		at:        time.Now(),
	}
	c.stateMu.Unlock()
	old := c.status.Swap(s)
	if s.leader != c.leader {
		c.leader = s.leader
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
	if c.applied < c.node.PersistentState().Snapshot().Index()+compactEntries && c.unwritten < compactBytes {
		return nil
	}
	c.unwritten = 0
	c.stateMu.Lock()
	state := c.state.Encode()
	c.stateMu.Unlock()
	if _, ok := c.node.Compact(c.applied, state); !ok {
		return nil
	}
	if err := c.rewrite(); err != nil {
		c.failJournal(err, time.Now())
	}
	return nil
}

// rewrite replaces the journal by the shortest one that holds the memory.
func (c *Control) rewrite() error {
	records := [][]byte{encodeIdentity(c.self.ID())}
	for _, r := range c.node.PersistentState().Records() {
		records = append(records, encodeRecord(r))
	}
	return c.journal.Replace(records)
}

// found founds the log, or asks to be taken in where it exists already. Only
// the VM with the lowest name founds, once every named one was heard to have
// no log: a VM that lost its disk must not found a second one.
func (c *Control) found(now time.Time) {
	if c.node.Voters().Has(c.self.ID()) || now.Sub(c.joinedAt) < joinInterval {
		return
	}
	c.joinedAt = now
	members := []replica.Member{c.self}
	founded := c.node.Bootstrapped()
	all := true
	lowest := true
	for vm, other := range c.founding.Others(now) {
		founded = founded || other.founded
		all = all && other.heard
		lowest = lowest && c.self.VM() < vm
		members = append(members, replica.NewMember(other.id, vm))
		if other.heard && other.founded {
			join := replica.NewEnvelope(c.self, replica.NewMember(other.id, vm), replica.NewJoin(c.self))
			c.sender.SendReplica(vm, replica.EncodeEnvelope(join))
		}
	}
	if !founded && all && lowest && c.founding.MayFound() {
		c.node.Bootstrap(replica.NewVoters(members), now)
	}
}

// Kinds of records in the journal of a control VM.
const (
	diskIdentity = iota + 1
	diskReplica
)

func encodeIdentity(id replica.ID) []byte {
	enc := frame.NewEncoder()
	enc.Uint(diskIdentity)
	enc.Bytes([]byte(id))
	return enc.Payload()
}

func encodeRecord(r replica.Record) []byte {
	enc := frame.NewEncoder()
	enc.Uint(diskReplica)
	enc.Bytes(replica.EncodeRecord(r))
	return enc.Payload()
}

// recall reads the records of a journal.
func recall(records [][]byte) (replica.ID, replica.PersistentState, error) {
	var id replica.ID
	var memory replica.PersistentState
	for _, text := range records {
		dec := frame.NewDecoder(text)
		kind := dec.Uint()
		content := dec.Bytes()
		if err := dec.Err(); err != nil {
			return "", memory, result.Wrap(err, result.JournalDamaged, "a record can't be read")
		}
		if kind == diskIdentity {
			id = replica.ID(content)
			continue
		}
		record, err := replica.DecodeRecord(content)
		if err != nil {
			return "", memory, err
		}
		memory = memory.With(record)
	}
	return id, memory, nil
}
