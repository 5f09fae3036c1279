package placement

import "time"

const (
	// shortBudgetFraction is the fraction of the allowed extra attempts from which on the
	// retry budget is short.
	shortBudgetFraction = 0.5
	// minExtraShare is the least number of extra attempts that a team may have within
	// the window while the budget is short.
	minExtraShare = 1
)

// extraShares divides the extra attempts of a service between teams while its retry budget
// is short: each team may use the part that its first attempts are of all. The counts are
// forgotten with the window of the budget as the time constant.
type extraShares struct {
	teams map[string]*extraUse
}

// extraUse counts the first and extra attempts of a team.
type extraUse struct {
	firsts decayingCount
	extras decayingCount
}

func (s *extraShares) use(team string) *extraUse {
	if s.teams == nil {
		s.teams = make(map[string]*extraUse)
	}
	u := s.teams[team]
	if u == nil {
		u = &extraUse{}
		s.teams[team] = u
	}
	return u
}

// countFirst counts the first attempt of a request. Nothing is counted before the first
// request of a team.
func (s *extraShares) countFirst(team string, window time.Duration, now time.Time) {
	if team != "" || len(s.teams) > 0 {
		s.use(team).firsts.add(1, window, now)
	}
}

// countExtra counts extra attempts, or a refunded one if n is negative.
func (s *extraShares) countExtra(team string, n float64, window time.Duration, now time.Time) {
	if team != "" || len(s.teams) > 0 {
		s.use(team).extras.add(n, window, now)
	}
}

// allows reports whether a team may have an extra attempt, if the service has used a number
// of those allowed within the window.
func (s *extraShares) allows(team string, used, allowed float64, window time.Duration, now time.Time) bool {
	if used < shortBudgetFraction*allowed || len(s.teams) < 2 {
		return true
	}
	firsts, extras := 0.0, 0.0
	for _, u := range s.teams {
		firsts += u.firsts.get(window, now)
		extras += u.extras.get(window, now)
	}
	// The counts decay, so only their parts of all can be compared with the budget.
	u := s.use(team)
	teamUsed := used * u.extras.get(window, now) / max(extras, 1)
	return teamUsed+1 <= max(minExtraShare, allowed*u.firsts.get(window, now)/max(firsts, 1))
}
