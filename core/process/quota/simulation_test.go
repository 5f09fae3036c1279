package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/eventqueue"
	"github.com/mulberrydale/mulberrydale/core/process/quota"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// maxWait is how long a simulated request waits for the owner.
const maxWait = 30 * time.Millisecond

// frameHeaderBytes is the length of the header of a frame.
const frameHeaderBytes = 4

// simVM is a simulated entry VM.
type simVM struct {
	name        string
	run         int
	holder      *quota.Holder
	delay       time.Duration
	frozenUntil bootclock.Time
	cutUntil    bootclock.Time
	waiting     map[quota.Waiter]*simRequest
}

// simLeader is a simulated leader. It acts as the leader from its election on, also after it
// was deposed, but its last contact with a quorum is before that.
type simLeader struct {
	term    uint64
	elected bootclock.Time
	// deposed is when the next leader was elected, diesAt when the process ends, 0 for
	// never.
	deposed     bootclock.Time
	diesAt      bootclock.Time
	frozenUntil bootclock.Time
	owner       *quota.Owner
}

type simRequest struct {
	team string
	owed bool
}

// teamCounts counts the requests of a team.
type teamCounts struct {
	arrived, owed, admitted, refusedOwed, unavailable int
	admittedAt                                        []bootclock.Time
	// level is that of a bucket with the rate and the burst of the team: a request is owed
	// if it finds a token there. levelAt is when it was last updated.
	level   float64
	levelAt bootclock.Time
}

// simulation runs holders and owners in simulated time.
type simulation struct {
	rng      *rand.Rand
	now      bootclock.Time
	events   eventqueue.Queue[func()]
	settings quota.Settings
	teams    []routing.Team
	vms      []*simVM
	leaders  []*simLeader
	counts   map[string]*teamCounts
	asks     int
	// loss is the probability that a message is lost.
	loss float64
	// slow is added to the delay of a message with the probability slowShare.
	slow      time.Duration
	slowShare float64
	// giveBack is the probability that a request gives its token back.
	giveBack float64
	// countOwedIn reports whether requests count as owed at a time, nil for always.
	countOwedIn func(now bootclock.Time) bool
	// askBytes and grantBytes are the bytes of the messages that the owner received and
	// sent.
	askBytes, grantBytes int
	// mostTokens has for each team the greatest number of tokens that could be spent at
	// once since watchFrom, if watch is set.
	watch      bool
	watchFrom  bootclock.Time
	mostTokens map[string]float64
}

func newSimulation(seed uint64, settings quota.Settings, teams []routing.Team, vms int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 11)), settings: settings, teams: teams, counts: make(map[string]*teamCounts), mostTokens: make(map[string]float64)}
	for _, t := range teams {
		s.counts[t.Name()] = &teamCounts{level: t.Burst()}
	}
	for n := range vms {
		vm := &simVM{name: fmt.Sprintf("vm-%d", n), delay: []time.Duration{200 * time.Microsecond, 1400 * time.Microsecond, 4400 * time.Microsecond}[n%3]}
		s.restart(vm)
		s.vms = append(s.vms, vm)
		s.at(bootclock.Time(s.rng.Int64N(int64(50*time.Millisecond))), func() { s.tick(vm) })
	}
	return s
}

// restart replaces the process of a VM.
func (s *simulation) restart(vm *simVM) {
	vm.run++
	vm.holder = quota.NewHolder()
	vm.holder.SetVMs(max(len(s.vms), 1))
	vm.waiting = make(map[quota.Waiter]*simRequest)
}

// at schedules an action, at once if the time has passed.
func (s *simulation) at(t bootclock.Time, run func()) {
	s.events.Add(time.Duration(max(t, s.now)), run)
}

// whenAwake runs an action on a VM once it is not frozen, if it has not been restarted.
func (s *simulation) whenAwake(vm *simVM, t bootclock.Time, run func()) {
	started := vm.run
	s.at(t, func() {
		switch {
		case vm.run != started:
		case s.now.Before(vm.frozenUntil):
			s.whenAwake(vm, vm.frozenUntil, run)
		default:
			run()
		}
	})
}

// runUntil runs all events up to a time.
func (s *simulation) runUntil(end bootclock.Time) {
	for {
		run, at, ok := s.events.Take(time.Duration(end))
		if !ok {
			break
		}
		s.now = bootclock.Time(at)
		run()
		if s.watch && !s.now.Before(s.watchFrom) {
			s.recordTokens()
		}
	}
	s.now = end
}

// recordTokens updates mostTokens: the tokens at holders and those that an owner may still
// grant.
func (s *simulation) recordTokens() {
	for _, team := range s.teams {
		n := 0.0
		for _, vm := range s.vms {
			n += float64(vm.holder.Stock(team.Name(), s.now))
		}
		for _, l := range s.leaders {
			deposed := l.deposed > 0 && !s.now.Before(l.deposed.Add(quota.MaxQuorumAge))
			if l.owner != nil && !deposed && l.owner.Grants(0, s.now) {
				n += l.owner.Free(team.Name(), s.now)
			}
		}
		s.mostTokens[team.Name()] = max(s.mostTokens[team.Name()], n)
	}
}

// tick lets a VM ask if an ask is due, periodically.
func (s *simulation) tick(vm *simVM) {
	if !s.now.Before(vm.frozenUntil) {
		s.askIfDue(vm)
	}
	s.at(s.now.Add(50*time.Millisecond), func() { s.tick(vm) })
}

// lead adds a leader, which observes its election after a time. The leader before it is
// deposed at the election.
func (s *simulation) lead(elected bootclock.Time, predecessor quota.Predecessor, observed time.Duration) *simLeader {
	l := &simLeader{term: uint64(len(s.leaders) + 1), elected: elected}
	if n := len(s.leaders); n > 0 {
		s.leaders[n-1].deposed = elected
	}
	s.leaders = append(s.leaders, l)
	s.at(elected.Add(observed), func() {
		l.owner = quota.NewOwner(l.term, s.settings, predecessor, s.now)
		l.owner.SetTeams(s.teams, s.now)
	})
	return l
}

// setTeams replaces the limits at the newest leader.
func (s *simulation) setTeams(teams []routing.Team) {
	s.teams = teams
	for _, l := range s.leaders {
		if l.owner != nil && (l.deposed == 0 || s.now.Before(l.deposed)) {
			l.owner.SetTeams(teams, s.now)
		}
	}
}

func (s *simulation) delay(vm *simVM) time.Duration {
	d := vm.delay + time.Duration(s.rng.ExpFloat64()*float64(300*time.Microsecond))
	if s.rng.Float64() < s.slowShare {
		d += time.Duration(s.rng.Float64() * float64(s.slow))
	}
	return d
}

func (s *simulation) askIfDue(vm *simVM) {
	if !vm.holder.Due(s.now) {
		return
	}
	ask := vm.holder.NextAsk(s.now)
	holder := fmt.Sprintf("%s/%d", vm.name, vm.run)
	for _, l := range s.leaders {
		if s.now.Before(l.elected) {
			continue
		}
		s.asks++
		if s.now.Before(vm.cutUntil) || s.rng.Float64() < s.loss {
			continue
		}
		s.at(s.now.Add(s.delay(vm)), func() { s.receiveAsk(l, vm, holder, ask) })
	}
}

// receiveAsk answers an ask at a leader, unless it has ended, waits, or lacks a quorum.
func (s *simulation) receiveAsk(l *simLeader, vm *simVM, holder string, ask quota.Ask) {
	if l.diesAt > 0 && !s.now.Before(l.diesAt) {
		return
	}
	if s.now.Before(l.frozenUntil) {
		s.at(l.frozenUntil, func() { s.receiveAsk(l, vm, holder, ask) })
		return
	}
	contact := s.now.Add(-time.Duration(s.rng.Int64N(int64(100 * time.Millisecond))))
	if l.deposed > 0 {
		contact = min(contact, l.deposed)
	}
	if l.owner == nil || !l.owner.Grants(s.now.Sub(contact), s.now) {
		return
	}
	grant, ok := l.owner.Answer(holder, ask, s.now)
	s.askBytes += frameHeaderBytes + len(peer.Encode(peer.NewTokenRequest(ask)))
	s.grantBytes += frameHeaderBytes + len(peer.Encode(peer.NewTokenGrant(grant)))
	if !ok || s.now.Before(vm.cutUntil) || s.rng.Float64() < s.loss {
		return
	}
	s.whenAwake(vm, s.now.Add(s.delay(vm)), func() {
		for _, o := range vm.holder.Apply(grant, s.now) {
			s.decide(vm, o.Waiter(), o.Decision())
		}
		s.askIfDue(vm)
	})
}

// request lets a request of a team arrive at a VM.
func (s *simulation) request(vm *simVM, team routing.Team) {
	c := s.counts[team.Name()]
	r := &simRequest{team: team.Name()}
	c.level = math.Min(math.Max(1, team.Burst()), c.level+team.Rate()*s.now.Sub(c.levelAt).Seconds())
	c.levelAt = s.now
	if c.level >= 1 {
		c.level--
		r.owed = s.countOwedIn == nil || s.countOwedIn(s.now)
	}
	c.arrived++
	if r.owed {
		c.owed++
	}
	s.whenAwake(vm, s.now, func() {
		switch d := vm.holder.Take(team.Name(), s.now).(type) {
		case quota.Waiting:
			vm.waiting[d.Waiter()] = r
			s.askIfDue(vm)
			s.whenAwake(vm, s.now.Add(maxWait), func() {
				if vm.holder.Cancel(d.Waiter()) {
					s.finish(vm, r, quota.Unavailable{})
				}
			})
		default:
			s.finish(vm, r, d)
		}
	})
}

func (s *simulation) decide(vm *simVM, w quota.Waiter, d quota.Decision) {
	if r := vm.waiting[w]; r != nil {
		delete(vm.waiting, w)
		s.finish(vm, r, d)
	}
}

// finish counts the decision of a request. Some of those admitted are refused without a
// send later and give their token back.
func (s *simulation) finish(vm *simVM, r *simRequest, d quota.Decision) {
	c := s.counts[r.team]
	switch d := d.(type) {
	case quota.Taken:
		if s.rng.Float64() < s.giveBack {
			holder := vm.holder
			s.whenAwake(vm, s.now.Add(time.Duration(s.rng.Int64N(int64(time.Second)))), func() { holder.GiveBack(d.Token(), s.now) })
			return
		}
		vm.holder.Spend(d.Token())
		c.admitted++
		c.admittedAt = append(c.admittedAt, s.now)
	case quota.Unavailable:
		c.unavailable++
		if r.owed {
			c.refusedOwed++
		}
	case quota.Refused:
		if r.owed {
			c.refusedOwed++
		}
	}
}

// worstWindow returns the greatest number of admitted requests of a team in any window
// that begins at or after a time.
func (s *simulation) worstWindow(team string, from bootclock.Time) int {
	at := s.counts[team].admittedAt
	sort.Slice(at, func(i, j int) bool { return at[i] < at[j] })
	worst, first := 0, 0
	for last := range at {
		for at[last].Sub(at[first]) > s.settings.Window() {
			first++
		}
		if !at[first].Before(from) {
			worst = max(worst, last-first+1)
		}
	}
	return worst
}
