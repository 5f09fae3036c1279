package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// fault switches a planted mistake on, so that the check can be shown to find
// it. The zero value plants none.
type fault struct {
	noSync          bool
	noPreVote       bool
	emptyVoterVotes bool
	forgetChangeIDs bool
	staleCommit     bool
}

// machine is one VM of the test cluster with its disk and its memory.
type machine struct {
	vm      string
	id      ID
	lives   int
	node    *Node
	state   *State
	applied uint64
	// disk is what is synced; a crash loses nothing of it.
	disk PersistentState
	up   bool
	// frozenUntil keeps the machine from doing anything.
	frozenUntil time.Time
	version     uint64
}

// packet is a message on its way.
type packet struct {
	envelope Envelope
	at       time.Time
}

// cluster drives nodes without sockets, disks or clocks.
type cluster struct {
	rng   *rand.Rand
	fault fault
	now   time.Time
	names []string
	// wanted is the number of voters to grow to, 0 for the founders only.
	wanted   int
	machines map[string]*machine
	packets  []packet
	cut      map[string]bool
	// leaders maps a term to the replica that led it.
	leaders map[uint64]ID
	// committed maps an index to what was applied there.
	committed map[uint64]string
	// outcomes maps a change id to its first outcome.
	outcomes map[string]ChangeOutcome
	// acknowledged lists versions that a client was told of.
	acknowledged map[uint64]string
	depositions  int
	violation    string
}

func newCluster(seed uint64, f fault) *cluster {
	return newClusterOf([]string{"vm-1", "vm-2", "vm-3"}, 0, seed, f)
}

// newClusterOf returns a cluster that the first three of the VMs have founded.
func newClusterOf(names []string, wanted int, seed uint64, f fault) *cluster {
	c := &cluster{
		wanted:       wanted,
		rng:          rand.New(rand.NewPCG(seed, 99)),
		fault:        f,
		now:          time.Unix(1_000_000, 0),
		names:        names,
		machines:     make(map[string]*machine),
		cut:          make(map[string]bool),
		leaders:      make(map[uint64]ID),
		committed:    make(map[uint64]string),
		outcomes:     make(map[string]ChangeOutcome),
		acknowledged: make(map[uint64]string),
	}
	var members []Member
	for _, name := range c.names {
		m := &machine{vm: name}
		c.machines[name] = m
		m.lives = 1
		m.id = ID(name + "/1")
		if len(members) < 3 {
			members = append(members, Member{id: m.id, vm: name})
		}
	}
	for _, name := range c.names {
		c.start(name)
	}
	c.machines["vm-1"].node.Bootstrap(NewVoters(members), c.now)
	c.settle("vm-1")
	return c
}

func (c *cluster) pick(n int) int { return c.rng.IntN(n) }

func (c *cluster) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// start starts a machine from its disk.
func (c *cluster) start(vm string) {
	m := c.machines[vm]
	if c.fault.emptyVoterVotes {
		// The mistake: a lost disk returns under the id that it had.
		m.id = ID(vm + "/1")
	}
	m.node = NewNode(Member{id: m.id, vm: vm}, c.names, m.disk, c.pick, c.now)
	m.node.SetVoterCount(c.wanted)
	state, err := DecodeState(m.disk.snapshot.state)
	if err != nil {
		c.fail("the snapshot can't be read: %v", err)
		return
	}
	m.state = state
	m.applied = m.disk.snapshot.index
	// A replica runs its log again after a restart, and its VM sends nothing
	// until a quorum confirms its version; so the count starts anew.
	m.version = 0
	m.up = true
	m.frozenUntil = time.Time{}
}

// crash stops a machine; a lost disk takes its memory and its id along.
func (c *cluster) crash(vm string, loseDisk bool) {
	m := c.machines[vm]
	m.up = false
	m.node = nil
	if loseDisk {
		m.disk = PersistentState{}
		m.lives++
		m.id = ID(fmt.Sprintf("%s/%d", vm, m.lives))
		m.version = 0
	}
}

func (c *cluster) awake(m *machine) bool {
	return m.up && !c.now.Before(m.frozenUntil)
}

// settle does what the shell does after each step: write, sync, send, apply.
// A crash may come between the write and the sync, and loses the write.
func (c *cluster) settle(vm string) {
	m := c.machines[vm]
	if m.node == nil {
		return
	}
	if c.fault.noPreVote && m.node.role == PreCandidate {
		m.node.role = Candidate
		m.node.setHard(m.node.hard.term+1, m.id)
		m.node.out.envelopes = nil
		m.node.askVotes(m.node.Voters(), c.now)
	}
	out := m.node.TakeOutput()
	disk := m.disk
	for _, r := range out.Records() {
		disk = disk.With(r)
	}
	disk.entries = append([]Entry(nil), disk.entries...)
	if !c.fault.noSync || c.pick(3) == 0 {
		m.disk = disk
	}
	if out.HasRecords() {
		m.node.MarkSynced(c.now)
	}
	for _, e := range out.envelopes {
		c.post(e)
	}
	if s := out.InstalledSnapshot(); s != nil {
		state, err := DecodeState(s.State())
		if err != nil {
			c.fail("a sent snapshot can't be read: %v", err)
			return
		}
		m.state = state
		m.applied = s.Index()
	}
	c.observe(m)
}

// post puts a message on its way: perhaps lost, doubled or late.
func (c *cluster) post(e Envelope) {
	if c.cut[e.from.vm+">"+e.to.vm] || c.pick(20) == 0 {
		return
	}
	copies := 1
	if c.pick(30) == 0 {
		copies = 2
	}
	decoded, err := DecodeEnvelope(EncodeEnvelope(e))
	if err != nil {
		c.fail("a message can't be read back: %v", err)
		return
	}
	for range copies {
		delay := time.Duration(1+c.pick(10)) * time.Millisecond
		if c.pick(25) == 0 {
			delay = time.Duration(c.pick(2000)) * time.Millisecond
		}
		c.packets = append(c.packets, packet{envelope: decoded, at: c.now.Add(delay)})
	}
}

// observe checks the invariants that one machine can break.
func (c *cluster) observe(m *machine) {
	n := m.node
	if n.role == Leader {
		if other, known := c.leaders[n.hard.term]; known && other != m.id {
			c.fail("term %d has two leaders, %s and %s", n.hard.term, other, m.id)
		}
		if _, known := c.leaders[n.hard.term]; !known {
			c.leaders[n.hard.term] = m.id
			c.depositions++
		}
	}
	if c.fault.staleCommit && n.role == Leader && n.commit < n.log.lastIndex() {
		n.commit = n.log.lastIndex()
	}
	for _, e := range n.Committed(m.applied) {
		m.applied = e.index
		content := fmt.Sprintf("%d/%d/%x", e.term, e.kind, e.payload)
		if other, known := c.committed[e.index]; known && other != content {
			c.fail("index %d holds two different entries", e.index)
		}
		c.committed[e.index] = content
		if e.kind == CommandEntry {
			c.apply(m, e)
		}
	}
	if m.state.Version() < m.version {
		c.fail("the version on %s fell from %d to %d", m.vm, m.version, m.state.Version())
	}
	m.version = m.state.Version()
}

func (c *cluster) apply(m *machine, e Entry) {
	command, err := DecodeCommand(e.payload)
	if err != nil {
		c.fail("a command can't be read back: %v", err)
		return
	}
	if c.fault.forgetChangeIDs {
		m.state.changes = make(map[string]firstOutcome)
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
	if first, known := c.outcomes[id]; known && (first.code != outcome.code || first.version != outcome.version) {
		c.fail("change %s has two outcomes: %v at %d, %v at %d", id, first.code, first.version, outcome.code, outcome.version)
	}
	c.outcomes[id] = outcome
	if outcome.code != result.ChangeAccepted {
		return
	}
	if other, known := c.acknowledged[outcome.version]; known && other != id {
		c.fail("version %d has two winners, %s and %s", outcome.version, other, id)
	}
	c.acknowledged[outcome.version] = id
}

func changeIDOf(c Command) string {
	switch c := c.(type) {
	case Replace:
		return c.stamp.changeID
	case SetDataCentre:
		return c.stamp.changeID
	}
	return ""
}

// advance moves time on by a step and delivers what is due.
func (c *cluster) advance(d time.Duration) {
	end := c.now.Add(d)
	for c.now.Before(end) && c.violation == "" {
		c.now = c.now.Add(5 * time.Millisecond)
		c.deliver()
		for _, name := range c.names {
			m := c.machines[name]
			if c.awake(m) {
				m.node.Tick(c.now)
				m.node.Flush(c.now)
				c.settle(name)
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
		case p.at.After(c.now):
			later = append(later, p)
		case !c.awake(c.machines[p.envelope.to.vm]) && c.machines[p.envelope.to.vm].up:
			later = append(later, p)
		default:
			due = append(due, p)
		}
	}
	c.packets = later
	c.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		m := c.machines[p.envelope.to.vm]
		if !m.up {
			continue
		}
		m.node.Step(p.envelope, c.now)
		c.settle(m.vm)
	}
}

// join sends the request that a replica outside the voters repeats.
func (c *cluster) join() {
	for _, name := range c.names {
		m := c.machines[name]
		if !c.awake(m) || m.node.Voters().Has(m.id) {
			continue
		}
		for _, other := range c.names {
			if o := c.machines[other]; other != name && o.up && o.node.Bootstrapped() {
				c.post(Envelope{from: m.node.self, to: o.node.self, message: Join{member: m.node.self}})
			}
		}
	}
}

// propose sends a command to a machine, whether it leads or not.
func (c *cluster) propose(vm string, command Command) bool {
	m := c.machines[vm]
	if !c.awake(m) {
		return false
	}
	_, _, ok := m.node.Propose(EncodeCommand(WithAppendTime(command, c.now)))
	m.node.Flush(c.now)
	c.settle(vm)
	return ok
}

// compact shortens a machine's log to what it has not applied.
func (c *cluster) compact(vm string) {
	m := c.machines[vm]
	if !c.awake(m) {
		return
	}
	if _, ok := m.node.Compact(m.applied, m.state.Encode()); !ok {
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
func (c *cluster) lostDisks() int {
	lost := 0
	for _, name := range c.names {
		m := c.machines[name]
		voter := false
		for _, other := range c.machines {
			if other.node != nil && other.node.Voters().Has(m.id) && other.applied > 0 {
				voter = true
			}
		}
		if !voter || m.lives > 1 && (m.node == nil || !m.node.Voters().Has(m.id)) {
			lost++
		}
	}
	return lost
}

// leader returns the machine that leads the highest term, or nil.
func (c *cluster) leader() *machine {
	var best *machine
	for _, name := range c.names {
		m := c.machines[name]
		if m.up && m.node.role == Leader && (best == nil || m.node.hard.term > best.node.hard.term) {
			best = m
		}
	}
	return best
}
