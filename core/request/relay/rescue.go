package relay

import (
	"sort"
	"time"
)

const (
	// holdTime is how long failed parts are held back before it is decided which
	// of them are sent again. Targets refuse within a few milliseconds, so that
	// by then it is known how many parts an answer lacks.
	holdTime = 6 * time.Millisecond
	// rescueSends is the number of further sends that a part which was refused
	// is expected to need.
	rescueSends = 2
)

// Hold holds a failed part back: whether it is sent again is decided a little
// later, together with the others that failed. It answers services that refuse
// more than their further sends make up for. With ten shards of which nine are
// needed and four that refuse 60 %, further sends for whatever failed first are
// spent on requests that lack three parts and get no answer all the same.
func (s *State) Hold(n int, now time.Time) {
	p := &s.parts[n]
	if p.settled || p.held {
		return
	}
	p.held = true
	s.held++
	if s.heldTill.IsZero() {
		s.heldTill = now.Add(holdTime)
	}
}

// Needs reports whether an answer depends on a part: without it too few would
// be in, even if all others that are on their way come.
func (s *State) Needs(n int) bool {
	late := 0
	for i := range s.parts {
		p := &s.parts[i]
		if !p.settled && !p.held && (i == n || p.hedgeAt.IsZero()) {
			late++
		}
	}
	return s.in+s.open-s.held-late < s.plan.least
}

func (s *State) release(p *part) {
	if p.held {
		p.held = false
		s.held--
	}
}

// RescueDue reports whether it is time to decide on the parts held back.
func (s *State) RescueDue(now time.Time) bool {
	if s.held == 0 {
		return false
	}
	return !s.heldTill.IsZero() && !now.Before(s.heldTill) || s.open == s.held && s.in < s.plan.least
}

// Rescue decides on the parts held back: as many as an answer lacks are sent
// again, those first whose services have most further sends left. The others
// stay held back in case one of them is refused again. Where an answer needs
// none of them, or the further sends that are left would hardly do, all are
// given up and their sends left to other requests. The function tells the
// further sends that are left for a part.
func (s *State) Rescue(left func(n int) int) (send []int) {
	s.heldTill = time.Time{}
	var held []int
	sum := 0
	for n := range s.parts {
		if s.parts[n].held {
			held = append(held, n)
			sum += left(n)
		}
	}
	lacking := s.plan.least - s.in - (s.open - s.held)
	if lacking <= 0 || sum < lacking {
		for _, n := range held {
			s.settle(&s.parts[n])
		}
		return nil
	}
	sort.SliceStable(held, func(i, j int) bool { return left(held[i]) > left(held[j]) })
	send = held[:min(lacking, len(held))]
	for _, n := range send {
		s.release(&s.parts[n])
	}
	return send
}
