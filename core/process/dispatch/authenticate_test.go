package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/confirmation"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// teamTable returns a table that declares a team for each key.
func teamTable(keys ...string) *routing.Table {
	var teams []routing.Team
	for n, key := range keys {
		teams = append(teams, routing.NewTeam("team-"+key, []routing.KeyDigest{routing.DigestKey(key)}, n))
	}
	return tableWithoutTeams().WithTeams(teams)
}

// tableWithoutTeams returns a table that does not declare teams.
func tableWithoutTeams() *routing.Table {
	route := routing.NewRoute("r", "h", "/").WithTimeoutAndObjective(time.Second, 400*time.Millisecond).WithMaxAttempts(3).
		WithSplit([]routing.WeightedService{routing.NewWeightedService("s-1", 1)})
	public := routing.NewRoute("p", "h", "/public").WithTimeoutAndObjective(time.Second, 400*time.Millisecond).WithPublic(true).
		WithSplit([]routing.WeightedService{routing.NewWeightedService("s-1", 1)})
	return routing.NewTable(1, []routing.Route{route, public}, []routing.Service{routing.NewService("s-1", "").WithMaxConnections(1)}, routing.Limits{})
}

// Whatever the confirmation says, a request must run only with a key that the table holds or
// without need of one, and an unknown key must be refused for good only with certainty.
func TestAccess(t *testing.T) {
	known, unknown, none := relay.ReadCredential([]string{"k"}), relay.ReadCredential([]string{"x"}), relay.ReadCredential(nil)
	all := trust{confirmed: true, certain: true}
	tests := []struct {
		name   string
		key    relay.Credential
		path   string
		strict bool
		trust  trust
		want   access
		team   string
	}{
		{"known, confirmed", known, "/", true, all, accessGranted, "team-k"},
		{"known, confirmed but not certain", known, "/", true, trust{confirmed: true}, accessGranted, "team-k"},
		{"known, not confirmed", known, "/", true, trust{}, accessUnconfirmed, ""},
		{"known, not confirmed, not strict", known, "/", false, trust{}, accessGranted, "team-k"},
		{"unknown, certain", unknown, "/", true, all, accessUnknown, ""},
		{"unknown, not certain", unknown, "/", true, trust{confirmed: true}, accessUnconfirmed, ""},
		{"unknown, not certain, not strict", unknown, "/", false, trust{}, accessUnconfirmed, ""},
		{"none, certain", none, "/", true, all, accessUnknown, ""},
		{"none, not confirmed", none, "/", true, trust{}, accessUnconfirmed, ""},
		{"public, none, not confirmed", none, "/public", true, trust{}, accessGranted, ""},
		{"public, unknown, certain", unknown, "/public", true, all, accessGranted, ""},
		{"public, known, not confirmed", known, "/public", true, trust{}, accessGranted, "team-k"},
	}
	table := teamTable("k")
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			route, _ := table.Match("h", tt.path)
			team, hasTeam, decision := decideAccess(table, route, tt.key, tt.strict, tt.trust)
			assert.Equal(t, decision, tt.want)
			assert.Equal(t, team.Name(), tt.team)
			assert.Equal(t, hasTeam, tt.team != "")
			_, _, decision = decideAccess(tableWithoutTeams(), route, tt.key, tt.strict, tt.trust)
			assert.Equal(t, decision, accessGranted, "a table without teams refused a request")
		})
	}
}

// scriptedSender calls a function at each send.
type scriptedSender struct {
	mu     sync.Mutex
	sends  []relay.Attempt
	atSend func(n int) relay.Outcome
}

func (s *scriptedSender) Send(_ context.Context, a relay.Attempt, _ time.Time) relay.Outcome {
	s.mu.Lock()
	s.sends = append(s.sends, a)
	n := len(s.sends)
	s.mu.Unlock()
	return s.atSend(n)
}

func (s *scriptedSender) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sends)
}

// identity returns what the target of a send, counted from 0, learned about the team.
func (s *scriptedSender) identity(n int) relay.Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sends[n].Identity()
}

// teamDispatcher returns a dispatcher with confirmed routes and one target for each id.
func teamDispatcher(s *scriptedSender, table *routing.Table, ids ...string) *Dispatcher {
	f := placement.NewFleet("vm-1", "dc-1", placement.NewLimits(1, 20, 10*time.Second, 1.5, 5), time.Now().Add(-time.Minute))
	d := New(f, s)
	h := confirmation.NewHolder(0)
	d.SetConfirmation(h)
	d.SetStrictRevocation(true)
	d.SetTable(table)
	h.PutInForce(1, true)
	h.AddProof(confirmation.NewProof(1, bootclock.Now()))
	var instances []discovery.Instance
	for _, id := range ids {
		instances = append(instances, discovery.NewInstance(id, "s-1", id+":1", "dc-1", 1))
	}
	f.SetEntryVMs(1, time.Now())
	f.SetTargets(discovery.NewList(instances, 1, time.Now()), time.Now())
	return d
}

func teamRequest(key string) *relay.Request {
	return relay.NewRequest("id", "GET", "h", "/", "/", nil, nil, time.Now()).WithCredential(relay.ReadCredential([]string{key}))
}

// Outcomes of sends.
var (
	success = relay.NewAnswered(relay.NewResponse(200, nil, nil, "sig"), relay.Load{})
	full    = relay.NewDeclined(relay.Load{}, false, "full")
)

// revokingSender declines the sends before number at, and calls revoke in this one before it
// returns its outcome after a delay.
func revokingSender(at int, revoke func(), delay time.Duration, outcome relay.Outcome) *scriptedSender {
	return &scriptedSender{atSend: func(n int) relay.Outcome {
		switch {
		case n < at:
			time.Sleep(5 * time.Millisecond)
			return full
		case n > at:
			return success
		}
		revoke()
		time.Sleep(delay)
		return outcome
	}}
}

// A key that is taken away, or a confirmation that expires, after the first attempt must end
// retries and hedges too.
func TestNoFurtherSendOnceTheKeyIsGone(t *testing.T) {
	withdrawals := []struct {
		name   string
		revoke func(d *Dispatcher)
		code   result.Code
	}{
		{"key taken away", func(d *Dispatcher) { d.SetTable(teamTable("other")) }, result.UnknownTeam},
		{"last team taken away", func(d *Dispatcher) { d.SetTable(teamTable()) }, result.UnknownTeam},
		{"confirmation expired", func(d *Dispatcher) { d.confirmation.SetWithin(0) }, result.Unconfirmed},
	}
	attempts := []struct {
		name    string
		outcome relay.Outcome
		delay   time.Duration
		refused bool
		// at is the number of the send after which the key is gone.
		at int
	}{
		{"retry", full, 0, true, 1},
		{"free retry", relay.NewUnsent(nil), 0, true, 1},
		{"second retry", full, 0, true, 2},
		{"hedge", success, 800 * time.Millisecond, false, 1},
	}
	for _, w := range withdrawals {
		for _, a := range attempts {
			t.Run(w.name+", "+a.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var d *Dispatcher
					s := revokingSender(a.at, func() { w.revoke(d) }, a.delay, a.outcome)
					d = teamDispatcher(s, teamTable("k"), "i-1", "i-2", "i-3")
					answer, _ := d.Answer(t.Context(), teamRequest("k"))
					assert.Equal(t, s.count(), a.at)
					refused, isRefused := answer.(relay.Refused)
					assert.Equal(t, isRefused, a.refused)
					if isRefused {
						assert.Equal(t, refused.Code(), w.code)
						assert.Equal(t, refused.RetryAfter() > 0, w.code == result.Unconfirmed)
					}
				})
			})
		}
	}
}

// The same attempts must be made while the key stays, or the test above shows nothing.
func TestFurtherSendsWithAKeyThatStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{atSend: func(n int) relay.Outcome {
			if n == 1 {
				return full
			}
			if n == 2 {
				time.Sleep(800 * time.Millisecond)
			}
			return success
		}}
		d := teamDispatcher(s, teamTable("k"), "i-1", "i-2", "i-3")
		_, trace := d.Answer(t.Context(), teamRequest("k"))
		assert.Equal(t, s.count(), 3)
		assert.Equal(t, trace.Team(), "team-k")
		assert.Equal(t, s.identity(0), relay.NewIdentity("team-k"))
		time.Sleep(time.Second)
	})
}

// A queued request whose key is taken away must be refused while it waits, not sent when a
// target is free.
func TestQueuedRequestIsRefusedOnceItsKeyIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{atSend: func(int) relay.Outcome {
			time.Sleep(80 * time.Millisecond)
			return success
		}}
		d := teamDispatcher(s, teamTable("k", "other"), "i-1")
		first, second := &answering{dispatcher: d, key: "other"}, &answering{dispatcher: d, key: "k"}
		go first.run()
		synctest.Wait()
		go second.run()
		synctest.Wait()
		assert.Equal(t, s.count(), 1, "the second request did not wait")
		d.SetTable(teamTable("other"))
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		refused, ok := second.answer.(relay.Refused)
		assert.Assert(t, ok, "the request still waits")
		assert.Equal(t, refused.Code(), result.UnknownTeam)
		time.Sleep(time.Second)
		assert.Equal(t, s.count(), 1)
	})
}

// When the last team is taken away, no key is left that a request could have. A table with
// an empty list of teams must close the routes that need a key, also for what waits already.
func TestNoRequestRunsOnceTheLastTeamIsGone(t *testing.T) {
	route, _ := teamTable().Match("h", "/")
	for _, key := range []relay.Credential{relay.ReadCredential([]string{"k"}), relay.ReadCredential(nil)} {
		_, _, decision := decideAccess(teamTable(), route, key, true, trust{confirmed: true, certain: true})
		assert.Equal(t, decision, accessUnknown)
		_, _, decision = decideAccess(teamTable(), route, key, false, trust{})
		assert.Equal(t, decision, accessUnconfirmed)
	}
	public, _ := teamTable().Match("h", "/public")
	_, _, decision := decideAccess(teamTable(), public, relay.ReadCredential(nil), true, trust{})
	assert.Equal(t, decision, accessGranted)

	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{atSend: func(int) relay.Outcome {
			time.Sleep(80 * time.Millisecond)
			return success
		}}
		d := teamDispatcher(s, teamTable("k"), "i-1")
		go (&answering{dispatcher: d, key: "k"}).run()
		synctest.Wait()
		second := &answering{dispatcher: d, key: "k"}
		go second.run()
		synctest.Wait()
		d.SetTable(teamTable())
		time.Sleep(time.Second)
		synctest.Wait()
		refused, ok := second.answer.(relay.Refused)
		assert.Assert(t, ok, "the request was not refused")
		assert.Equal(t, refused.Code(), result.UnknownTeam)
		assert.Equal(t, s.count(), 1)
		assert.Assert(t, identityOf(teamTable(), teamRequest("k")).HidesKey())
	})
}

// answering is a request that is answered in the background.
type answering struct {
	dispatcher *Dispatcher
	key        string
	answer     relay.Answer
}

func (a *answering) run() {
	a.answer, _ = a.dispatcher.Answer(context.Background(), teamRequest(a.key))
}

// A request that waits while the first table with teams is put in force must not go to a
// target with its key, and needs a key that the table holds.
func TestQueuedRequestMeetsTheFirstTableWithTeams(t *testing.T) {
	for _, key := range []string{"k", "x"} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedSender{atSend: func(int) relay.Outcome {
				time.Sleep(80 * time.Millisecond)
				return success
			}}
			d := teamDispatcher(s, tableWithoutTeams(), "i-1")
			go (&answering{dispatcher: d, key: "k"}).run()
			synctest.Wait()
			second := &answering{dispatcher: d, key: key}
			go second.run()
			synctest.Wait()
			d.SetTable(teamTable("k"))
			time.Sleep(time.Second)
			assert.Assert(t, !s.identity(0).HidesKey(), "a table without teams changed the header")
			if key == "k" {
				assert.Equal(t, s.identity(1), relay.NewIdentity("team-k"))
			} else {
				assert.Equal(t, s.count(), 1)
			}
		})
	}
}

// A proof for routes that are put in force between the two must not confirm a table that was
// read before: the key is looked up in the newest one.
func TestKeyIsCheckedWithTheNewestTable(t *testing.T) {
	s := &scriptedSender{atSend: func(int) relay.Outcome { return success }}
	old := teamTable("k")
	d := teamDispatcher(s, old, "i-1")
	route, _ := old.Match("h", "/")
	d.SetTable(teamTable("other"))
	refusal, refused := d.authenticate(route, teamRequest("k"), bootclock.Now())
	assert.Assert(t, refused)
	assert.Equal(t, refusal.Code(), result.UnknownTeam)
}
