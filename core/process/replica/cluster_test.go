package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// fault switches a planted mistake on, so that the check can be shown to find
// it. The zero value plants none.
type injectedBugs struct {
	skipSync            bool
	skipPreVote         bool
	reuseReplicaID      bool
	forgetOutcomes      bool
	commitWithoutQuorum bool
}

// machine is one VM of the test cluster with its disk and its memory.
type simulatedVM struct {
	name         string
	id           ID
	incarnation  int
	node         *Node
	state        *State
	appliedIndex uint64
	// disk is what is synced; a crash loses nothing of it.
	disk    PersistentState
	running bool
	// frozenUntil keeps the machine from doing anything.
	frozenUntil time.Time
	lastVersion uint64
}

// packet is a message on its way.
type packet struct {
	envelope  Envelope
	deliverAt time.Time
}

// cluster drives nodes without sockets, disks or clocks.
type cluster struct {
	rng     *rand.Rand
	bugs    injectedBugs
	now     time.Time
	vmNames []string
	// wanted is the number of voters to grow to, 0 for the founders only.
	voterCount   int
	vms          map[string]*simulatedVM
	packets      []packet
	blockedLinks map[string]bool
	// leaders maps a term to the replica that led it.
	leaderByTerm map[uint64]ID
	// committed maps an index to what was applied there.
	committedEntries map[uint64]string
	// outcomes maps a change id to its first outcome.
	outcomeByChange map[string]ChangeOutcome
	// acknowledged lists versions that a client was told of.
	changeByVersion map[uint64]string
	leaderChanges   int
	violation       string
}

func newCluster(seed uint64, bugs injectedBugs) *cluster {
	return newClusterWithVMs([]string{"vm-1", "vm-2", "vm-3"}, 0, seed, bugs)
}

// newClusterOf returns a cluster that the first three of the VMs have founded.
func newClusterWithVMs(vmNames []string, voterCount int, seed uint64, bugs injectedBugs) *cluster {
	c := &cluster{
		voterCount:       voterCount,
		rng:              rand.New(rand.NewPCG(seed, 99)),
		bugs:             bugs,
		now:              time.Unix(1_000_000, 0),
		vmNames:          vmNames,
		vms:              make(map[string]*simulatedVM),
		blockedLinks:     make(map[string]bool),
		leaderByTerm:     make(map[uint64]ID),
		committedEntries: make(map[uint64]string),
		outcomeByChange:  make(map[string]ChangeOutcome),
		changeByVersion:  make(map[uint64]string),
	}
	var members []Member
	for _, name := range c.vmNames {
		m := &simulatedVM{name: name}
		c.vms[name] = m
		m.incarnation = 1
		m.id = ID(name + "/1")
		if len(members) < 3 {
			members = append(members, Member{id: m.id, vm: name})
		}
	}
	for _, name := range c.vmNames {
		c.start(name)
	}
	c.vms["vm-1"].node.Bootstrap(NewVoters(members), c.now)
	c.processOutput("vm-1")
	return c
}

func (c *cluster) randIntN(n int) int { return c.rng.IntN(n) }

func (c *cluster) recordViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// start starts a machine from its disk.
func (c *cluster) start(vm string) {
	m := c.vms[vm]
	if c.bugs.reuseReplicaID {
		// The mistake: a lost disk returns under the id that it had.
		m.id = ID(vm + "/1")
	}
	m.node = NewNode(Member{id: m.id, vm: vm}, c.vmNames, m.disk, c.randIntN, c.now)
	m.node.SetVoterCount(c.voterCount)
	state, err := DecodeState(m.disk.snapshot.state)
	if err != nil {
		c.recordViolation("the snapshot can't be read: %v", err)
		return
	}
	m.state = state
	m.appliedIndex = m.disk.snapshot.index
	// A replica runs its log again after a restart, and its VM sends nothing
	// until a quorum confirms its version; so the count starts anew.
	m.lastVersion = 0
	m.running = true
	m.frozenUntil = time.Time{}
}

// crash stops a machine; a lost disk takes its memory and its id along.
func (c *cluster) crash(vm string, loseDisk bool) {
	m := c.vms[vm]
	m.running = false
	m.node = nil
	if loseDisk {
		m.disk = PersistentState{}
		m.incarnation++
		m.id = ID(fmt.Sprintf("%s/%d", vm, m.incarnation))
		m.lastVersion = 0
	}
}

func (c *cluster) responsive(m *simulatedVM) bool {
	return m.running && !c.now.Before(m.frozenUntil)
}

// settle does what the shell does after each step: write, sync, send, apply.
// A crash may come between the write and the sync, and loses the write.
func (c *cluster) processOutput(vm string) {
	m := c.vms[vm]
	if m.node == nil {
		return
	}
	if c.bugs.skipPreVote && m.node.role == PreCandidate {
		m.node.role = Candidate
		m.node.setHardState(m.node.hardState.term+1, m.id)
		m.node.output.envelopes = nil
		m.node.requestVotes(m.node.Voters(), c.now)
	}
	out := m.node.TakeOutput()
	disk := m.disk
	for _, r := range out.Records() {
		disk = disk.With(r)
	}
	disk.entries = append([]Entry(nil), disk.entries...)
	if !c.bugs.skipSync || c.randIntN(3) == 0 {
		m.disk = disk
	}
	if out.HasRecords() {
		m.node.MarkSynced(c.now)
	}
	for _, e := range out.envelopes {
		c.send(e)
	}
	if s := out.InstalledSnapshot(); s != nil {
		state, err := DecodeState(s.State())
		if err != nil {
			c.recordViolation("a sent snapshot can't be read: %v", err)
			return
		}
		m.state = state
		m.appliedIndex = s.Index()
	}
	c.applyAndCheck(m)
}

// post puts a message on its way: perhaps lost, doubled or late.
func (c *cluster) send(e Envelope) {
	if c.blockedLinks[e.from.vm+">"+e.to.vm] || c.randIntN(20) == 0 {
		return
	}
	copies := 1
	if c.randIntN(30) == 0 {
		copies = 2
	}
	decoded, err := DecodeEnvelope(EncodeEnvelope(e))
	if err != nil {
		c.recordViolation("a message can't be read back: %v", err)
		return
	}
	for range copies {
		delay := time.Duration(1+c.randIntN(10)) * time.Millisecond
		if c.randIntN(25) == 0 {
			delay = time.Duration(c.randIntN(2000)) * time.Millisecond
		}
		c.packets = append(c.packets, packet{envelope: decoded, deliverAt: c.now.Add(delay)})
	}
}

// observe checks the invariants that one machine can break.
func (c *cluster) applyAndCheck(m *simulatedVM) {
	n := m.node
	if n.role == Leader {
		if other, known := c.leaderByTerm[n.hardState.term]; known && other != m.id {
			c.recordViolation("term %d has two leaders, %s and %s", n.hardState.term, other, m.id)
		}
		if _, known := c.leaderByTerm[n.hardState.term]; !known {
			c.leaderByTerm[n.hardState.term] = m.id
			c.leaderChanges++
		}
	}
	if c.bugs.commitWithoutQuorum && n.role == Leader && n.commitIndex < n.log.lastIndex() {
		n.commitIndex = n.log.lastIndex()
	}
	for _, e := range n.Committed(m.appliedIndex) {
		m.appliedIndex = e.index
		content := fmt.Sprintf("%d/%d/%x", e.term, e.kind, e.payload)
		if other, known := c.committedEntries[e.index]; known && other != content {
			c.recordViolation("index %d holds two different entries", e.index)
		}
		c.committedEntries[e.index] = content
		if e.kind == CommandEntry {
			c.apply(m, e)
		}
	}
	if m.state.Version() < m.lastVersion {
		c.recordViolation("the version on %s fell from %d to %d", m.name, m.lastVersion, m.state.Version())
	}
	m.lastVersion = m.state.Version()
}

func (c *cluster) apply(m *simulatedVM, e Entry) {
	command, err := DecodeCommand(e.payload)
	if err != nil {
		c.recordViolation("a command can't be read back: %v", err)
		return
	}
	if c.bugs.forgetOutcomes {
		m.state.outcomes = make(map[string]recordedOutcome)
	}
	outcome, ok := m.state.Apply(command).(ChangeOutcome)
	if !ok {
		return
	}
	c.checkOutcome(command, outcome)
}

// checkOutcome checks that a change id has one outcome, on every machine and
// however often it is sent, and that a version has one change.
func (c *cluster) checkOutcome(command Command, outcome ChangeOutcome) {
	id := changeIDOf(command)
	if outcome.code == result.ChangeRepeated {
		outcome.code = result.ChangeAccepted
	}
	if first, known := c.outcomeByChange[id]; known && (first.code != outcome.code || first.version != outcome.version) {
		c.recordViolation("change %s has two outcomes: %v at %d, %v at %d", id, first.code, first.version, outcome.code, outcome.version)
	}
	c.outcomeByChange[id] = outcome
	if outcome.code != result.ChangeAccepted {
		return
	}
	if other, known := c.changeByVersion[outcome.version]; known && other != id {
		c.recordViolation("version %d has two winners, %s and %s", outcome.version, other, id)
	}
	c.changeByVersion[outcome.version] = id
}

func changeIDOf(c Command) string {
	switch c := c.(type) {
	case ReplaceConfiguration:
		return c.metadata.changeID
	case SetDataCentre:
		return c.metadata.changeID
	}
	return ""
}

// advance moves time on by a step and delivers what is due.
func (c *cluster) advance(d time.Duration) {
	end := c.now.Add(d)
	for c.now.Before(end) && c.violation == "" {
		c.now = c.now.Add(5 * time.Millisecond)
		c.deliver()
		for _, name := range c.vmNames {
			m := c.vms[name]
			if c.responsive(m) {
				m.node.Tick(c.now)
				m.node.Flush(c.now)
				c.processOutput(name)
			}
		}
	}
}

// deliver hands over the packets that are due, in a random order.
func (c *cluster) deliver() {
	var later []packet
	var due []packet
	for _, p := range c.packets {
		switch {
		case p.deliverAt.After(c.now):
			later = append(later, p)
		case !c.responsive(c.vms[p.envelope.to.vm]) && c.vms[p.envelope.to.vm].running:
			later = append(later, p)
		default:
			due = append(due, p)
		}
	}
	c.packets = later
	c.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		m := c.vms[p.envelope.to.vm]
		if !m.running {
			continue
		}
		m.node.Step(p.envelope, c.now)
		c.processOutput(m.name)
	}
}

// join sends the request that a replica outside the voters repeats.
func (c *cluster) join() {
	for _, name := range c.vmNames {
		m := c.vms[name]
		if !c.responsive(m) || m.node.Voters().Has(m.id) {
			continue
		}
		for _, other := range c.vmNames {
			if o := c.vms[other]; other != name && o.running && o.node.Bootstrapped() {
				c.send(Envelope{from: m.node.self, to: o.node.self, message: Join{member: m.node.self}})
			}
		}
	}
}

// propose sends a command to a machine, whether it leads or not.
func (c *cluster) propose(vm string, command Command) bool {
	m := c.vms[vm]
	if !c.responsive(m) {
		return false
	}
	_, _, ok := m.node.Propose(EncodeCommand(WithAppendTime(command, c.now)))
	m.node.Flush(c.now)
	c.processOutput(vm)
	return ok
}

// compact shortens a machine's log to what it has not applied.
func (c *cluster) compactLog(vm string) {
	m := c.vms[vm]
	if !c.responsive(m) {
		return
	}
	if _, ok := m.node.Compact(m.appliedIndex, m.state.Encode()); !ok {
		return
	}
	var disk PersistentState
	for _, r := range m.node.PersistentState().Records() {
		disk = disk.With(r)
	}
	disk.entries = append([]Entry(nil), disk.entries...)
	m.disk = disk
}

// lostDisks counts the machines whose present life is not a voter anywhere.
func (c *cluster) nonVoters() int {
	count := 0
	for _, name := range c.vmNames {
		m := c.vms[name]
		voter := false
		for _, other := range c.vms {
			if other.node != nil && other.node.Voters().Has(m.id) && other.appliedIndex > 0 {
				voter = true
			}
		}
		if !voter || m.incarnation > 1 && (m.node == nil || !m.node.Voters().Has(m.id)) {
			count++
		}
	}
	return count
}

// leader returns the machine that leads the highest term, or nil.
func (c *cluster) leader() *simulatedVM {
	var latest *simulatedVM
	for _, name := range c.vmNames {
		m := c.vms[name]
		if m.running && m.node.role == Leader && (latest == nil || m.node.hardState.term > latest.node.hardState.term) {
			latest = m
		}
	}
	return latest
}
