package quota

import (
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// Stock returns the tokens of a team that requests may take or give back.
func (h *Holder) Stock(team string, now bootclock.Time) int {
	n := 0
	for _, l := range []*lease{h.current, h.previous} {
		if l.valid(now) && l.teams[team] != nil {
			n += l.teams[team].count + l.teams[team].held
		}
	}
	return n
}

// Free returns the tokens of a team that the owner may grant.
func (o *Owner) Free(team string, now bootclock.Time) float64 {
	b := o.buckets[team]
	if b == nil {
		return 0
	}
	o.refill(b, now)
	return b.free
}

// Capacity returns the greatest number of tokens of a team.
func (s Settings) Capacity(t routing.Team) float64 { return s.limitOf(t).capacity }

// Start returns the free tokens of a team at the start of an owner.
func (s Settings) Start(t routing.Team) float64 { return s.limitOf(t).start }
