package confirmation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/confirmation"
	"github.com/mulberrydale/mulberrydale/core/process/eventqueue"
)

// The simulation has control VMs of which one may lead, and entry VMs, each with a boot clock
// of its own. It runs the real Holder and Relay; the replicated log is a list of acknowledged
// revisions.

const (
	simTick      = 400 * time.Millisecond
	simHeartbeat = 100 * time.Millisecond
)

// simEvent happens at a VM. It is postponed while the VM is suspended and dropped if the VM
// is down.
type simEvent struct {
	vm *simVM
	do func()
}

// simVM is a VM. A control VM has a relay. clockOffset is its boot clock less the time of
// the simulation.
type simVM struct {
	number         int
	clockOffset    time.Duration
	holder         *confirmation.Holder
	relay          *confirmation.Relay[*simVM]
	suspendedUntil time.Duration
	down           bool
	// leads, revision and contact are what a control VM believes: it may have been
	// deposed.
	leads    bool
	revision uint64
	contact  time.Duration
	inForce  uint64
}

type sim struct {
	random   *rand.Rand
	now      time.Duration
	events   eventqueue.Queue[simEvent]
	controls []*simVM
	entries  []*simVM
	// leader is the control VM that a quorum follows, nil during an election.
	leader *simVM
	// acked holds the time at which each revision was acknowledged, from revision 1.
	acked []time.Duration
	// delay returns how long a message travels, negative for a lost one.
	delay func() time.Duration
	// asks counts the questions of entry VMs.
	asks int
}

func newSim(controls, entries int, seed uint64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1))}
	s.delay = func() time.Duration { return time.Duration(200+s.random.IntN(4400)) * time.Microsecond }
	newVM := func(n int) *simVM {
		return &simVM{number: n, clockOffset: time.Duration(s.random.Int64N(int64(time.Hour))), holder: confirmation.NewHolder(s.random.Uint64N(1 << 20))}
	}
	s.acked = []time.Duration{0}
	for n := range controls {
		v := newVM(n)
		v.relay = confirmation.NewRelay[*simVM]()
		s.controls = append(s.controls, v)
		s.every(v, simTick, func() { s.controlTick(v) })
	}
	for n := range entries {
		v := newVM(n)
		s.entries = append(s.entries, v)
		s.putInForce(v, 1)
		s.every(v, simTick, func() { s.entryTick(v) })
	}
	s.elect(s.controls[0])
	s.every(nil, simHeartbeat, s.heartbeat)
	return s
}

// boot returns the time of the boot clock of a VM.
func (s *sim) boot(v *simVM) bootclock.Time { return bootclock.Time(s.now + v.clockOffset) }

// after calls do at a VM, or at no particular one if v is nil, when a time has passed.
func (s *sim) after(v *simVM, d time.Duration, do func()) {
	s.events.Add(s.now+d, simEvent{vm: v, do: do})
}

// every calls do at a random offset and then at each interval.
func (s *sim) every(v *simVM, interval time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		s.after(v, interval, tick)
	}
	s.after(v, time.Duration(s.random.Int64N(int64(interval))), tick)
}

// send calls do at the receiver of a message when it arrives, if it does.
func (s *sim) send(to *simVM, do func()) {
	if d := s.delay(); d >= 0 {
		s.after(to, d, do)
	}
}

// run runs until a time and calls check after each event.
func (s *sim) run(until time.Duration, check func()) {
	for {
		e, at, ok := s.events.Take(until)
		if !ok {
			return
		}
		s.now = max(s.now, at)
		if e.vm != nil && e.vm.suspendedUntil > s.now {
			s.after(e.vm, e.vm.suspendedUntil-s.now, e.do)
			continue
		}
		if e.vm != nil && e.vm.down {
			continue
		}
		e.do()
		check()
	}
}

// elect makes a control VM the leader. The one before is deposed, but does not know.
func (s *sim) elect(v *simVM) {
	s.leader = v
	v.leads = true
	v.revision = uint64(len(s.acked))
	v.contact = s.now
}

// heartbeat renews the leader's contact with a quorum.
func (s *sim) heartbeat() {
	if s.leader != nil && !s.leader.down && s.leader.suspendedUntil <= s.now {
		s.leader.contact = s.now
		s.leader.revision = uint64(len(s.acked))
	}
}

// publish acknowledges a new revision, and sends it to the entry VMs.
func (s *sim) publish() {
	if s.leader == nil || s.leader.down || s.leader.suspendedUntil > s.now {
		return
	}
	s.acked = append(s.acked, s.now)
	revision := uint64(len(s.acked))
	s.leader.revision = revision
	s.leader.contact = s.now
	for _, v := range s.entries {
		s.send(v, func() { s.putInForce(v, revision) })
	}
}

func (s *sim) putInForce(v *simVM, revision uint64) {
	v.inForce = max(v.inForce, revision)
	v.holder.PutInForce(revision, true)
}

// proof returns the proof with which a control VM would answer, and whether it is fresh.
func (s *sim) proof(v *simVM) (confirmation.Proof, bool) {
	if v.leads {
		if p := confirmation.NewProof(v.revision, bootclock.Time(v.contact+v.clockOffset)); v.holder.Fresh(p, s.boot(v)) {
			return p, true
		}
	}
	p, _ := v.holder.Latest()
	return p, v.holder.Fresh(p, s.boot(v))
}

func (s *sim) entryTick(v *simVM) {
	q, due := v.holder.Next(len(s.entries)/len(s.controls), s.boot(v))
	if !due {
		return
	}
	for n := range q.Width() {
		to := s.controls[(v.number+q.Turn()+n)%len(s.controls)]
		s.asks++
		s.send(to, func() { s.question(to, v, q.Number()) })
	}
}

// question handles a question that has arrived at a control VM.
func (s *sim) question(at, from *simVM, number uint64) {
	if p, fresh := s.proof(at); fresh {
		s.reply(at, from, number, p)
		return
	}
	at.relay.Wait(from, number)
	s.askLeader(at)
}

func (s *sim) reply(at, to *simVM, number uint64, p confirmation.Proof) {
	age := s.boot(at).Sub(p.Since())
	s.send(to, func() {
		if to.holder.Answer(number, p.Revision(), age, s.boot(to)) && to.relay != nil {
			s.release(to)
		}
	})
}

// release answers the questions that wait at a control VM if it has a fresh proof.
func (s *sim) release(v *simVM) {
	if p, fresh := s.proof(v); fresh {
		v.relay.Release(func(to *simVM, number uint64) { s.reply(v, to, number, p) })
	}
}

func (s *sim) askLeader(v *simVM) {
	if leader := s.leader; leader != nil && leader != v && v.relay.MayAskLeader(s.boot(v)) {
		number := v.holder.Ask(s.boot(v))
		s.send(leader, func() { s.question(leader, v, number) })
	}
}

func (s *sim) controlTick(v *simVM) {
	s.release(v)
	if v.relay.Waiting() > 0 {
		s.askLeader(v)
	}
}

// Suspended, partitioned and slow VMs, deposed leaders and late replies in any combination must
// never let a VM rely on routes that lack a change acknowledged a lifetime ago.
func TestNoVMTrustsOldRoutes(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSim(5, 8, seed)
			s.delay = func() time.Duration {
				switch s.random.IntN(10) {
				case 0:
					return -1
				case 1, 2:
					return time.Duration(s.random.Int64N(int64(6 * time.Second)))
				}
				return time.Duration(s.random.Int64N(int64(20 * time.Millisecond)))
			}
			s.every(nil, 700*time.Millisecond, s.publish)
			s.every(nil, 900*time.Millisecond, func() { s.disturb() })
			confirmed := 0
			s.run(60*time.Second, func() {
				for _, v := range s.entries {
					confirmed += s.checkTrust(t, v)
				}
			})
			assert.Assert(t, confirmed > 100, "the VMs were hardly ever confirmed, so nothing was checked")
		})
	}
}

// disturb suspends a VM, or lets another control VM lead while the old leader believes that it
// still does.
func (s *sim) disturb() {
	all := append(append([]*simVM(nil), s.controls...), s.entries...)
	v := all[s.random.IntN(len(all))]
	if s.random.IntN(2) == 0 {
		v.suspendedUntil = s.now + time.Duration(s.random.Int64N(int64(8*time.Second)))
	}
	if s.random.IntN(3) == 0 {
		s.elect(s.controls[s.random.IntN(len(s.controls))])
	}
}

// checkTrust fails the test if a VM relies on routes that are too old. It returns 1 if the VM
// relies on its routes.
func (s *sim) checkTrust(t *testing.T, v *simVM) int {
	t.Helper()
	for n, at := range s.acked {
		revision := uint64(n + 1)
		if revision <= v.inForce {
			continue
		}
		if v.holder.Confirmed(s.boot(v)) && s.now-at >= lifetime {
			t.Fatalf("at %v the VM relies on revision %d, but %d was acknowledged at %v", s.now, v.inForce, revision, at)
		}
		if v.holder.Certain(s.boot(v)) && s.now-at >= 3*time.Second {
			t.Fatalf("at %v the VM is certain of revision %d, but %d was acknowledged at %v", s.now, v.inForce, revision, at)
		}
	}
	if v.holder.Confirmed(s.boot(v)) {
		return 1
	}
	return 0
}
