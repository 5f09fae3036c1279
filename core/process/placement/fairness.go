package placement

import (
	"math"
	"time"
)

const (
	// recentMemory is the time constant with which the recent attempts and demand of a
	// team are forgotten.
	recentMemory = 5 * time.Second
	// usualMemory is the time constant of a team's usual demand. It is long, so that a
	// team that suddenly sends many times its usual demand gets little more than its
	// usual share while others wait.
	usualMemory = 2 * time.Minute
	// forgottenDemand is the usual demand, in attempts, below which a team is forgotten,
	// so that it returns as a new one.
	forgottenDemand = 0.05
	// minDemand, in attempts a second, is the least demand that a team counts with.
	minDemand = 0.001
)

// decayingCount is a number of events that are forgotten with a time constant.
type decayingCount struct {
	value float64
	at    time.Time
}

// add counts events.
func (c *decayingCount) add(n float64, memory time.Duration, now time.Time) {
	c.value = c.get(memory, now) + n
	c.at = now
}

// get returns the number of events that are not forgotten.
func (c *decayingCount) get(memory time.Duration, now time.Time) float64 {
	return c.value * math.Exp(-max(0, now.Sub(c.at)).Seconds()/memory.Seconds())
}

// fairness decides between the teams whose requests wait. The team whose recent attempts
// are the smallest part of its usual demand is next. Requests without a team belong to the
// team with the empty name. It is guarded by Fleet.mu.
type fairness struct {
	teams map[string]*teamUse
	// recent is the recent demand of all teams.
	recent decayingCount
}

// teamUse is what a team asked for and got from this VM, in attempts at targets.
type teamUse struct {
	firstSeen time.Time
	usual     decayingCount
	recent    decayingCount
	served    decayingCount
}

func newFairness() fairness { return fairness{teams: make(map[string]*teamUse)} }

// use returns the state of a team.
func (f *fairness) use(team string, now time.Time) *teamUse {
	u := f.teams[team]
	if u == nil || now.Sub(u.firstSeen) > usualMemory && u.usual.get(usualMemory, now) < forgottenDemand {
		u = &teamUse{firstSeen: now}
		f.teams[team] = u
	}
	return u
}

// recordDemand counts the first attempts that a request of a team needs.
func (f *fairness) recordDemand(team string, attempts int, now time.Time) {
	u := f.use(team, now)
	u.usual.add(float64(attempts), usualMemory, now)
	u.recent.add(float64(attempts), recentMemory, now)
	f.recent.add(float64(attempts), recentMemory, now)
}

// recordServed counts attempts that were given to a team, first or extra. n is negative for
// one that was not sent.
func (f *fairness) recordServed(team string, n float64, now time.Time) {
	if f.active() {
		f.use(team, now).served.add(n, recentMemory, now)
	}
}

// active reports whether a request of a team has arrived since the start.
func (f *fairness) active() bool { return len(f.teams) > 0 }

// rate returns the demand of a team in attempts a second by which its attempts are
// measured: its usual demand, estimated over the time since it was first seen but over
// recentMemory at least. A team whose recent demand is greater counts with that, up to an
// equal part of the demand of all teams, so that a small team which returns after a pause
// does not wait for others.
func (f *fairness) rate(u *teamUse, now time.Time) float64 {
	age := max(recentMemory, now.Sub(u.firstSeen))
	usual := u.usual.get(usualMemory, now) / (usualMemory.Seconds() * (1 - math.Exp(-age.Seconds()/usualMemory.Seconds())))
	equalPart := f.recent.get(recentMemory, now) / float64(len(f.teams))
	return max(usual, min(u.recent.get(recentMemory, now), equalPart)/recentMemory.Seconds())
}

// progress returns the attempts that a team got recently as a part of its demand, in
// seconds of that demand, and the seconds that one more attempt adds.
func (f *fairness) progress(team string, now time.Time) (served, attempt float64) {
	u := f.use(team, now)
	attempt = 1 / max(f.rate(u, now), minDemand)
	return u.served.get(recentMemory, now) * attempt, attempt
}

// next returns the index of the waiter that is served next, at or after the index from.
// Of the waiters of the most urgent priority, it is the first of the team with the least
// progress, and of equal teams that with the earlier deadline. The list is ordered by
// priority and deadline.
func (f *fairness) next(waiting []*Waiter, from int, now time.Time) int {
	if !f.active() {
		return from
	}
	best := from
	bestProgress := math.Inf(1)
	seen := make(map[string]bool)
	for i := from; i < len(waiting) && waiting[i].priority == waiting[from].priority; i++ {
		team := waiting[i].team
		if seen[team] {
			continue
		}
		seen[team] = true
		if p, _ := f.progress(team, now); p < bestProgress {
			best = i
			bestProgress = p
		}
	}
	return best
}

// ahead returns how many of the waiters are served before a new request of a team with the
// given priority: all of higher priority, those of its own team, and those of each other
// team until its progress reaches that of the new request.
func (f *fairness) ahead(waiting []*Waiter, team string, priority Priority, now time.Time) int {
	ahead := 0
	equals := make(map[string]int)
	for _, w := range waiting {
		switch {
		case w.priority.before(priority):
			ahead++
		case w.priority == priority:
			equals[w.team]++
		}
	}
	ahead += equals[team]
	if !f.active() {
		return ahead
	}
	served, attempt := f.progress(team, now)
	turn := served + float64(equals[team])*attempt
	for other, n := range equals {
		if other == team {
			continue
		}
		servedOther, attemptOther := f.progress(other, now)
		if turn >= servedOther {
			ahead += min(n, 1+int((turn-servedOther)/attemptOther))
		}
	}
	return ahead
}
