package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/quota"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

func at(d time.Duration) bootclock.Time { return bootclock.Time(time.Hour + d) }

func oneTeam(rate, burst float64) []routing.Team {
	return []routing.Team{routing.NewTeam("t", nil, 0).WithQuota(rate, burst)}
}

// Holders that keep renewing their stock would keep the tokens of a limit that has fallen.
func TestStockIsDiscardedWhenTheLimitFalls(t *testing.T) {
	o := quota.NewOwner(1, replaySettings, quota.NoPredecessor(), at(0))
	o.SetTeams(oneTeam(54, 54), at(0))
	h := quota.NewHolder()
	exchange := func(now bootclock.Time) {
		grant, ok := o.Answer("vm-1", h.NextAsk(now), now)
		assert.Assert(t, ok)
		h.Apply(grant, now)
	}
	for n := range 200 {
		h.Cancel(h.Take("t", at(time.Duration(n)*10*time.Millisecond)).(quota.Waiting).Waiter())
	}
	exchange(at(2 * time.Second))
	before := h.Stock("t", at(2*time.Second))
	assert.Assert(t, before > 20, "%d", before)
	o.SetTeams(oneTeam(5.4, 5.4), at(2*time.Second))
	exchange(at(2500 * time.Millisecond))
	assert.Equal(t, h.Stock("t", at(2500*time.Millisecond)), 0)
	for now := 3 * time.Second; now <= 9*time.Second; now += 500 * time.Millisecond {
		exchange(at(now))
	}
	after := h.Stock("t", at(9*time.Second))
	assert.Assert(t, after > 0 && float64(after) <= replaySettings.Capacity(oneTeam(5.4, 5.4)[0]), "%d", after)
}

// A bucket that holds less than one token never grants any, so that a small team would get
// nothing although its bound allows a request.
func TestSmallTeamsGetATokenIfTheirBoundAllowsOne(t *testing.T) {
	tests := []struct {
		rate, burst float64
		settings    quota.Settings
		// within is the time after which a token is granted again, 0 if none ever is.
		within time.Duration
	}{
		{0.3, 0.3, replaySettings, 4 * time.Second},
		{0.3, 1, quota.DefaultSettings(), 4 * time.Second},
		{0.3, 0.3, quota.DefaultSettings(), 7 * time.Second},
		{0.1, 0.1, quota.DefaultSettings(), 0},
	}
	for _, tt := range tests {
		o := quota.NewOwner(1, tt.settings, quota.NoPredecessor(), at(0))
		o.SetTeams(oneTeam(tt.rate, tt.burst), at(0))
		number := uint64(0)
		take := func(now bootclock.Time) bool {
			number++
			g, ok := o.Answer("vm", quota.NewAsk(number, 0, 0, []quota.TeamAsk{quota.NewTeamAsk("t", 0, 0, 1, 0)}), now)
			assert.Assert(t, ok)
			return g.Teams()[0].Immediate() == 1
		}
		granted := 0
		for take(at(0)) {
			granted++
		}
		assert.Equal(t, granted > 0, tt.within > 0, "rate %g", tt.rate)
		assert.Equal(t, take(at(max(tt.within, time.Minute))), tt.within > 0, "rate %g", tt.rate)
	}
}

// A leader that lost its quorum, or that was elected a moment ago, would grant tokens
// besides another one.
func TestOwnerGrantsOnlyWithAQuorumAndAfterItsPredecessor(t *testing.T) {
	o := quota.NewOwner(2, replaySettings, quota.NewPredecessor(time.Hour), at(0))
	assert.Assert(t, !o.Grants(0, at(quota.MaxQuorumAge-1)))
	assert.Assert(t, o.Grants(0, at(quota.MaxQuorumAge)))
	assert.Assert(t, !o.Grants(quota.MaxQuorumAge, at(time.Minute)))
	assert.Assert(t, !o.Grants(-1, at(time.Minute)))
}

// A message that overtakes another one must not change the state back.
func TestOldMessagesAreIgnored(t *testing.T) {
	o := quota.NewOwner(1, replaySettings, quota.NoPredecessor(), at(0))
	o.SetTeams(oneTeam(10, 10), at(0))
	h := quota.NewHolder()
	h.Take("t", at(0))
	first := h.NextAsk(at(0))
	second := h.NextAsk(at(1))
	grant, ok := o.Answer("vm", second, at(2))
	assert.Assert(t, ok)
	_, ok = o.Answer("vm", first, at(3))
	assert.Assert(t, !ok)
	assert.Equal(t, len(h.Apply(grant, at(4))), 1)
	stock := h.Stock("t", at(4))
	h.Apply(grant, at(5))
	assert.Equal(t, h.Stock("t", at(5)), stock)
}

// A token of a request that was refused without a send would be lost, and one given back
// after its stock expired would be spent twice.
func TestTokenIsGivenBackWhileItsStockIsValid(t *testing.T) {
	for _, tt := range []struct {
		after time.Duration
		left  bool
	}{{time.Second, true}, {quota.StockLifetime, false}} {
		o := quota.NewOwner(1, replaySettings, quota.NoPredecessor(), at(0))
		o.SetTeams(oneTeam(10, 10), at(0))
		h := quota.NewHolder()
		h.Take("t", at(0))
		grant, _ := o.Answer("vm", h.NextAsk(at(0)), at(0))
		h.Apply(grant, at(0))
		stock := h.Stock("t", at(0))
		taken, ok := h.Take("t", at(1)).(quota.Taken)
		assert.Assert(t, ok)
		// Until it is known to be sent, the request may give its token back.
		assert.Equal(t, h.Stock("t", at(1)), stock)
		h.GiveBack(taken.Token(), at(tt.after))
		_, ok = h.Take("t", at(tt.after)).(quota.Taken)
		assert.Equal(t, ok, tt.left)
	}
}

// An owner whose predecessor is known for long enough need not wait for stocks of owners
// before it; one that knows less must not use what they may still hold.
func TestFirstTokensOfAnOwner(t *testing.T) {
	for _, tt := range []struct {
		age  time.Duration
		free float64
	}{
		{10 * time.Second, replaySettings.Start(oneTeam(54, 54)[0])},
		{5 * time.Second, 0},
		{0, 0},
	} {
		o := quota.NewOwner(2, replaySettings, quota.NewPredecessor(tt.age), at(0))
		o.SetTeams(oneTeam(54, 54), at(0))
		assert.Equal(t, o.Free("t", at(quota.MaxQuorumAge)), tt.free, "%v", tt.age)
	}
}
