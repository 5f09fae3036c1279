package cluster

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/control"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/quota"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

const (
	// leadershipPollInterval is the time between two checks of a control VM whether it
	// has become the leader.
	leadershipPollInterval = 50 * time.Millisecond
	// tokenSummaryInterval is the least time between two log lines about tokens.
	tokenSummaryInterval = 10 * time.Second
)

// TeamDecoder returns the teams in a document of routes.
type TeamDecoder func(document []byte) ([]routing.Team, error)

// tokenOwner grants the tokens of all quotas while this control VM is the leader. No other
// lock is taken while mu is held.
type tokenOwner struct {
	control  *control.Control
	settings quota.Settings
	decode   TeamDecoder
	log      *zap.Logger

	mu sync.Mutex
	// owner is nil while this VM is not the leader.
	owner *quota.Owner
	// teams are those of the routes with revision.
	teams    []routing.Team
	revision uint64
	summary  tokenSummary
	// ledSince is when this VM was first seen to lead in the term of the owner.
	ledSince bootclock.Time
	// settled is true once MarkSettled was called in the term of the owner.
	settled bool
}

// tokenSummary counts what was granted since the last log line.
type tokenSummary struct {
	asks, immediate, stock, refused int
	// refusedOf has the refused requests by team.
	refusedOf map[string]int
	loggedAt  bootclock.Time
}

// maxLoggedTeams bounds the teams named in one log line.
const maxLoggedTeams = 8

// mostRefused returns the teams with the most refused requests and their numbers.
func (s *tokenSummary) mostRefused() []string {
	teams := slices.SortedFunc(maps.Keys(s.refusedOf), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.refusedOf[b], s.refusedOf[a]), cmp.Compare(a, b))
	})
	var out []string
	for _, team := range teams[:min(len(teams), maxLoggedTeams)] {
		out = append(out, fmt.Sprintf("%s: %d", team, s.refusedOf[team]))
	}
	return out
}

// countRefused adds refused requests of a team.
func (s *tokenSummary) countRefused(team string, n int) {
	if n <= 0 {
		return
	}
	if s.refusedOf == nil {
		s.refusedOf = make(map[string]int)
	}
	s.refusedOf[team] += n
	s.refused += n
}

// setRoutes applies the teams of newer routes.
func (o *tokenOwner) setRoutes(routes replica.Routes) {
	if routes.Version() == 0 {
		return
	}
	teams, err := o.decode(routes.Document())
	if err != nil {
		o.log.Error("cannot decode the teams of the accepted routes; the previous quotas stay in use", zap.Uint64("version", routes.Version()), logsink.Cause(err))
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if routes.Revision() <= o.revision {
		return
	}
	o.revision = routes.Revision()
	o.teams = teams
	if o.owner != nil {
		o.owner.SetTeams(teams, bootclock.Now())
	}
}

// observe replaces the owner after an election and returns the state of the leadership. The
// caller holds mu.
func (o *tokenOwner) observe() control.Leadership {
	l := o.control.Status().Leadership()
	switch {
	case !l.Established():
		if o.owner != nil && o.control.Status().Term() > o.owner.Term() {
			o.log.Info("stopped granting tokens: this VM is not the leader", zap.Uint64("term", o.owner.Term()))
			o.owner = nil
		}
	case o.owner == nil || o.owner.Term() != l.Term():
		predecessor := quota.NoPredecessor()
		age, exists := l.Predecessor()
		if exists {
			predecessor = quota.NewPredecessor(age)
		}
		now := bootclock.Now()
		o.owner = quota.NewOwner(l.Term(), o.settings, predecessor, now)
		o.owner.SetTeams(o.teams, now)
		o.ledSince = now
		o.settled = false
		o.log.Info("this VM grants the tokens of quotas", zap.Uint64("term", l.Term()), zap.Bool("predecessor", exists),
			zap.Duration("predecessor-since", age), zap.Int("teams", len(o.teams)))
	}
	o.markSettledIfDue()
	return l
}

// markSettledIfDue records in the log once that this VM has led for a time, so that the next
// owner need not wait for stocks of earlier ones even if all control VMs restart. The caller
// holds mu.
func (o *tokenOwner) markSettledIfDue() {
	if o.owner == nil || o.settled || len(o.teams) == 0 || bootclock.Now().Sub(o.ledSince) < control.SettledAge {
		return
	}
	o.settled = true
	o.control.MarkSettled(o.owner.Term())
}

// answer answers an ask of a holder. It returns false if this VM may not grant, or for an
// old ask.
func (o *tokenOwner) answer(holder string, ask quota.Ask) (quota.Grant, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.observe()
	// The time of the decision: it must be read after the leadership, so that the
	// contact with the quorum is not later.
	now := bootclock.Now()
	age, known := l.QuorumAge(now)
	if o.owner == nil || !l.Established() || !known || !o.owner.Grants(age, now) {
		return quota.Grant{}, false
	}
	grant, ok := o.owner.Answer(holder, ask, now)
	if ok {
		o.count(ask, grant, now)
	}
	return grant, ok
}

// count adds an answer to the summary and logs it from time to time.
func (o *tokenOwner) count(ask quota.Ask, grant quota.Grant, now bootclock.Time) {
	s := &o.summary
	s.asks++
	waiting := make(map[string]int)
	for _, t := range ask.Teams() {
		_, _, n, _ := t.Counts()
		waiting[t.Team()] = n
	}
	for _, t := range grant.Teams() {
		s.immediate += t.Immediate()
		s.stock += t.Stock()
		if !t.Discard() {
			s.countRefused(t.Team(), waiting[t.Team()]-t.Immediate())
		}
	}
	if now.Sub(s.loggedAt) < tokenSummaryInterval {
		return
	}
	o.log.Info("tokens granted", zap.Uint64("term", grant.Owner()), zap.Int("asks", s.asks), zap.Int("to-waiting-requests", s.immediate),
		zap.Int("to-stocks", s.stock), zap.Int("refused", s.refused), zap.Strings("most-refused", s.mostRefused()), zap.Duration("since", now.Sub(s.loggedAt)))
	*s = tokenSummary{loggedAt: now}
}

// leadershipLoop notices when this VM becomes the leader. It then tells all VMs at once, so
// that they ask it for tokens.
type leadershipLoop struct{ cluster *Cluster }

func (l *leadershipLoop) run(ctx context.Context) {
	ticker := time.NewTicker(leadershipPollInterval)
	defer ticker.Stop()
	led := false
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		o := l.cluster.tokenOwner
		o.mu.Lock()
		o.observe()
		hasTeams := len(o.teams) > 0
		o.mu.Unlock()
		leads := l.cluster.control.Status().Leads()
		if leads && !led && hasTeams {
			l.cluster.sendPresences(time.Now())
		}
		led = leads
	}
}

// holderName returns the name of one run of a process on a VM.
func holderName(vm, startID string) string { return vm + "/" + startID }

// Leads reports whether this VM is the leader of the replicated log.
func (c *Cluster) Leads() bool { return c.control != nil && c.control.Status().Leads() }
