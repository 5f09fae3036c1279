package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// injectedBugs selects bugs to inject, to show that the invariant checks detect
// them. The zero value injects none.
type injectedBugs struct {
	skipSync            bool
	skipPreVote         bool
	reuseReplicaID      bool
	forgetOutcomes      bool
	commitWithoutQuorum bool
	// proveFromElection takes the start of the leadership for a contact with a quorum.
	proveFromElection bool
}

// simulatedVM is one VM of the simulated cluster with its disk and its volatile
// state.
type simulatedVM struct {
	name         string
	id           ID
	incarnation  int
	node         *Node
	state        *State
	appliedIndex uint64
	// disk is the synced state, which survives a crash.
	disk    PersistentState
	running bool
	// frozenUntil is the time until which the VM processes nothing.
	frozenUntil bootclock.Time
	// lastVersion is the configuration version at the previous check, or 0 after
	// a start.
	lastVersion uint64
}

// packet is a message in transit.
type packet struct {
	envelope  Envelope
	deliverAt bootclock.Time
}

// cluster simulates nodes without sockets, disks or real clocks.
type cluster struct {
	rng     *rand.Rand
	bugs    injectedBugs
	now     bootclock.Time
	vmNames []string
	// voterCount is the argument of Node.SetVoterCount. With 0, every VM of the
	// cluster may be a voter, and no voter is replaced for being unresponsive.
	voterCount int
	vms        map[string]*simulatedVM
	packets    []packet
	// blockedLinks holds the links that lose all messages, as "sender>receiver"
	// with the names of the VMs.
	blockedLinks map[string]bool
	// leaderByTerm maps a term to the replica that led it.
	leaderByTerm map[uint64]ID
	// committedEntries maps an index to the entry that was applied there.
	committedEntries map[uint64]string
	// committedAt is when the entry at an index was first applied.
	committedAt map[uint64]bootclock.Time
	// outcomeByChange maps a change id to its outcome, which must be the same
	// each time that the change is applied.
	outcomeByChange map[string]ChangeOutcome
	// changeByVersion maps an accepted version to its change id.
	changeByVersion map[uint64]string
	leaderChanges   int
	violation       string
}

func newCluster(seed uint64, bugs injectedBugs) *cluster {
	return newClusterWithVMs([]string{"vm-1", "vm-2", "vm-3"}, 0, seed, bugs)
}

// newClusterWithVMs returns a cluster that is bootstrapped with the first three
// VMs as voters.
func newClusterWithVMs(vmNames []string, voterCount int, seed uint64, bugs injectedBugs) *cluster {
	c := &cluster{
		voterCount:       voterCount,
		rng:              rand.New(rand.NewPCG(seed, 99)),
		bugs:             bugs,
		now:              bootclock.Time(time.Hour),
		vmNames:          vmNames,
		vms:              make(map[string]*simulatedVM),
		blockedLinks:     make(map[string]bool),
		leaderByTerm:     make(map[uint64]ID),
		committedEntries: make(map[uint64]string),
		committedAt:      make(map[uint64]bootclock.Time),
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

// start starts a VM from its disk.
func (c *cluster) start(vm string) {
	m := c.vms[vm]
	if c.bugs.reuseReplicaID {
		// The injected bug: a VM with a lost disk returns under its old id.
		m.id = ID(vm + "/1")
	}
	m.node = NewNode(Member{id: m.id, vm: vm}, c.vmNames, m.disk, c.randIntN, c.now)
	m.node.SetVoterCount(c.voterCount)
	state, err := DecodeState(m.disk.snapshot.state)
	if err != nil {
		c.recordViolation("cannot decode the stored snapshot: %v", err)
		return
	}
	m.state = state
	m.appliedIndex = m.disk.snapshot.index
	// After a restart the replica applies its log again, so its version may be
	// lower than before. This is allowed, because the VM serves no version until
	// a quorum confirms it. The check for a decreasing version therefore starts
	// at 0 again.
	m.lastVersion = 0
	m.running = true
	m.frozenUntil = 0
}

// crash stops a VM. A lost disk also loses the stored state and the id.
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

// processOutput does what the caller of a node does after each step: write,
// sync, send and apply. With skipSync, two of three writes on average do not
// reach the disk, as after a crash between the write and the sync, but
// MarkSynced is called nevertheless.
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
	// The copy shares no slice with the log of the node.
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
			c.recordViolation("cannot decode a received snapshot: %v", err)
			return
		}
		m.state = state
		m.appliedIndex = s.Index()
	}
	c.applyAndCheck(m)
}

// send puts a message in transit. It may lose, duplicate or delay it.
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
		c.recordViolation("cannot decode a sent message: %v", err)
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

// advance advances the clock in steps of 5 ms and delivers the messages that are
// due.
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
				c.checkProof(m)
			}
		}
	}
}

// deliver delivers the messages that are due, in a random order. Messages for a
// frozen VM wait, those for a stopped VM are lost.
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

// join sends a join request from each responsive VM that should join to every other
// running VM that is bootstrapped, as core/process/control does repeatedly.
func (c *cluster) join() {
	for _, name := range c.vmNames {
		m := c.vms[name]
		if !c.responsive(m) || !m.node.ShouldJoin(c.now) {
			continue
		}
		for _, other := range c.vmNames {
			if o := c.vms[other]; other != name && o.running && o.node.Bootstrapped() {
				c.send(Envelope{from: m.node.self, to: o.node.self, message: Join{member: m.node.self}})
			}
		}
	}
}

// propose proposes a command on a VM and reports whether the VM was the leader.
func (c *cluster) propose(vm string, command Command) bool {
	m := c.vms[vm]
	if !c.responsive(m) {
		return false
	}
	_, _, ok := m.node.Propose(EncodeCommand(WithAppendTime(command, time.Unix(0, int64(c.now)))))
	m.node.Flush(c.now)
	c.processOutput(vm)
	return ok
}

// compactLog replaces the applied entries of a VM's log by a snapshot.
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
	// The copy shares no slice with the log of the node.
	disk.entries = append([]Entry(nil), disk.entries...)
	m.disk = disk
}

// nonVoters counts the VMs whose current incarnation is not a voter on any
// running replica that has applied entries. After a disk loss the VM itself must
// also know that it is a voter.
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

// leader returns the leader with the highest term, or nil.
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
