package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
)

const (
	tick         = 10 * time.Millisecond
	reportTicks  = 15
	controlTicks = 10
	// delayTicks is the time that a message takes, and commitTicks that of a command.
	delayTicks  = 1
	commitTicks = 5
	electTicks  = 130
	// overdueAfter is the time after which a response of the new version is overdue.
	overdueAfter = 250 * time.Millisecond
)

// behaviour returns whether a response of the new version fails and by which factor its
// response time is longer, for a request on a route at a time since the order, with the
// requests that the new version has got in the second before.
type behaviour func(random *rand.Rand, since time.Duration, route, load int) (fails bool, factor float64)

func goodVersion(random *rand.Rand, _ time.Duration, _, _ int) (bool, float64) {
	return random.Float64() < 0.005, 1
}

// simulation is a rollout in simulated time: entry VMs with gates, control VMs with
// controllers and a log that a quorum keeps.
type simulation struct {
	random   *rand.Rand
	vms      []*simulatedVM
	controls []*rollout.Controller
	leader   int
	// electedAt is the tick at which the next leader is elected, while there is none.
	electedAt int
	noQuorum  bool
	record    rollout.Record
	ticks     int
	rate      float64
	uneven    bool
	version   behaviour
	// fault is called at each tick.
	fault  func(s *simulation, at time.Duration)
	events map[int][]func()

	// all and sent count the requests until the deadline and those of them that went to
	// the new version, and bad its bad responses.
	all, sent, bad int
	// The times count from the order: that of the 50th bad response, that of the last
	// request to the new version, and that of the end of the rollout, with its reason.
	fiftiethBadAt time.Duration
	lastSentAt    time.Duration
	endedAt       time.Duration
	reason        string
	// recent has the ticks of the requests to the new version in the last second.
	recent []int
	// lostAtEnd counts the requests at old targets when the rollout succeeded.
	lostAtEnd int
	// longestAfterCut is the longest time after which a VM that was cut off still sent a
	// request to the new version.
	longestAfterCut time.Duration
}

type simulatedVM struct {
	name string
	// starts identifies the run of the process.
	starts int
	gate   *rollout.Gate
	// cut is true while no message reaches the VM, since cutAt. present is true while its
	// messages count as arriving.
	cut     bool
	cutAt   time.Duration
	present bool
	// inOld counts the requests at old targets, inNew has when those at new ones were
	// sent.
	inNew map[time.Duration]bool
	inOld int
	// number is that of the latest report, sentAt has when each was sent, and latest names
	// the latest grants.
	number uint64
	sentAt map[uint64]bootclock.Time
	latest rollout.Confirmation
	// offset is the number of ticks by which its reports are earlier than those of others.
	offset int
	// known is what the VM knows of the rollout.
	known rollout.Record
}

func newSimulation(seed uint64, vms int, rate float64, duration time.Duration, version behaviour) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), rate: rate, version: version, events: make(map[int][]func()), ticks: 1}
	s.record = rollout.NewRecord("s", []string{"v1"}).Started(1, "v2", duration)
	for range 3 {
		c := rollout.NewController(rollout.DefaultBounds(), s.random)
		c.Observe([]rollout.Record{s.record}, s.now())
		s.controls = append(s.controls, c)
	}
	s.controls[0].SetLeader(true, 1, s.now())
	for n := range vms {
		v := &simulatedVM{name: fmt.Sprintf("vm-%d", n), offset: s.random.IntN(reportTicks), present: true}
		s.start(v)
		s.vms = append(s.vms, v)
	}
	return s
}

func (s *simulation) now() bootclock.Time {
	return bootclock.Time(time.Hour).Add(time.Duration(s.ticks) * tick)
}

// since returns the time since the order.
func (s *simulation) since() time.Duration { return time.Duration(s.ticks-1) * tick }

// start starts a VM, which takes its rollout from the log.
func (s *simulation) start(v *simulatedVM) {
	v.starts++
	v.known = s.record
	v.gate = rollout.NewGate(s.record, s.random.Float64(), func(route string) time.Duration {
		return map[string]time.Duration{"0": 11 * time.Millisecond, "1": 31 * time.Millisecond, "2": 51 * time.Millisecond}[route]
	})
	v.sentAt = make(map[uint64]bootclock.Time)
	v.latest = rollout.Confirmation{}
	v.inOld = 0
	v.inNew = make(map[time.Duration]bool)
}

func (s *simulation) after(ticks int, f func()) {
	s.events[s.ticks+ticks] = append(s.events[s.ticks+ticks], f)
}

// run runs the simulation until a second after the deadline.
func (s *simulation) run() *simulation {
	end := s.record.Duration() + time.Second
	for s.since() < end {
		for _, f := range s.events[s.ticks] {
			f()
		}
		delete(s.events, s.ticks)
		if s.fault != nil {
			s.fault(s, s.since())
		}
		s.stepControls()
		for _, v := range s.vms {
			if (s.ticks+v.offset)%reportTicks == 0 {
				s.report(v)
			}
		}
		expected := s.rate * tick.Seconds()
		for n := int(expected + s.random.Float64()); n > 0; n-- {
			s.request()
		}
		s.ticks++
	}
	return s
}

// loseLeader makes another control VM the leader after an election.
func (s *simulation) loseLeader() {
	s.controls[s.leader].SetLeader(false, 0, s.now())
	s.leader = (s.leader + 1) % len(s.controls)
	s.electedAt = s.ticks + electTicks
}

func (s *simulation) stepControls() {
	if s.ticks%controlTicks != 0 {
		return
	}
	for _, c := range s.controls {
		c.Observe([]rollout.Record{s.record}, s.now())
	}
	if s.ticks < s.electedAt {
		return
	}
	c, term := s.controls[s.leader], uint64(s.electedAt+1)
	c.SetLeader(true, term, s.now())
	var present []string
	for _, v := range s.vms {
		if v.present {
			present = append(present, v.name)
		}
	}
	for _, d := range c.Step(present, !s.noQuorum, s.now()) {
		s.after(commitTicks, func() { s.commit(d) })
	}
	if s.noQuorum {
		return
	}
	for _, v := range s.vms {
		number, grants := c.Grants(v.name, fmt.Sprint(v.starts))
		starts, answered := v.starts, v.number
		s.after(delayTicks, func() {
			if v.starts != starts || v.cut {
				return
			}
			v.latest = rollout.Confirmation{Term: term, Number: number}
			changed := false
			for _, g := range grants {
				changed = v.gate.Take(g, v.sentAt[answered].Add(rollout.DefaultBounds().GrantTTL(g.Stage()))) || changed
			}
			if changed {
				s.report(v)
			}
		})
	}
}

func (s *simulation) commit(d rollout.Decision) {
	if s.noQuorum || s.record.State() != rollout.Running {
		return
	}
	switch d.Kind() {
	case rollout.StateElapsed:
		s.record = s.record.WithElapsed(d.Elapsed())
	case rollout.Succeed, rollout.RollBack:
		s.reason = d.Reason()
		s.record = s.record.Ended(d.Kind() == rollout.Succeed)
		s.endedAt = s.since()
		for _, v := range s.vms {
			if !v.cut {
				s.after(delayTicks, func() { v.known = s.record })
			}
			if !v.cut && d.Kind() == rollout.Succeed {
				s.lostAtEnd += v.inOld
			}
		}
	}
}

func (s *simulation) report(v *simulatedVM) {
	if v.cut || v.known.State() != rollout.Running {
		return
	}
	var running rollout.InFlight
	for range v.inOld {
		running.Add(false, false)
	}
	for sentAt := range v.inNew {
		running.Add(true, s.since()-sentAt > overdueAfter)
	}
	v.number++
	v.sentAt[v.number] = s.now()
	r, id, confirmation, number := v.gate.Report(running, true, s.now()), fmt.Sprint(v.starts), v.latest, v.number
	s.after(delayTicks, func() {
		for _, c := range s.controls {
			c.TakeReport(v.name, id, number, r, confirmation, s.now())
		}
		v.number = max(v.number, number)
	})
}

func (s *simulation) pick() *simulatedVM {
	if s.uneven {
		return s.vms[int(math.Pow(s.random.Float64(), 3)*float64(len(s.vms)))]
	}
	return s.vms[s.random.IntN(len(s.vms))]
}
