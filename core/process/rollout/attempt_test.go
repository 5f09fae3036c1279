package rollout_test

import (
	"fmt"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/rollout"
)

// attempt is one request of a VM to a target.
type attempt struct {
	vm      *simulatedVM
	starts  int
	gate    *rollout.Gate
	route   int
	updated bool
	sentAt  time.Duration
	fails   bool
	took    time.Duration
}

// drawRoute returns a route at random: a tenth of the requests are for route 2, three tenths
// for route 1.
func (s *simulation) drawRoute() int {
	switch n := s.random.Float64(); {
	case n < 0.1:
		return 2
	case n < 0.4:
		return 1
	}
	return 0
}

// request is one request for the service.
func (s *simulation) request() {
	v, route := s.pick(), s.drawRoute()
	updated := v.known.State() == rollout.Succeeded
	if v.known.State() == rollout.Running {
		updated = v.gate.NextMayBeNew(s.now())
		v.gate.CountRequest(updated)
	}
	a := attempt{vm: v, starts: v.starts, gate: v.gate, route: route, updated: updated, sentAt: s.since()}
	a.took = time.Duration((8 + 20*float64(route) + 4*s.random.ExpFloat64()) * float64(time.Millisecond))
	a.fails = s.random.Float64() < 0.005
	if s.since() <= s.record.Duration() {
		s.all++
	}
	if updated {
		s.sendToNew(&a)
		v.inNew[a.sentAt] = true
	} else {
		v.inOld++
	}
	s.after(int(a.took/tick)+1, func() { s.finish(a) })
}

// sendToNew counts an attempt at the new version and sets its outcome.
func (s *simulation) sendToNew(a *attempt) {
	v := a.vm
	if v.cut {
		s.longestAfterCut = max(s.longestAfterCut, s.since()-v.cutAt)
	}
	s.recent = append(s.recent, s.ticks)
	for len(s.recent) > 0 && s.recent[0] < s.ticks-100 {
		s.recent = s.recent[1:]
	}
	var factor float64
	a.fails, factor = s.version(s.random, s.since(), a.route, len(s.recent))
	a.took = time.Duration(float64(a.took) * factor)
	if s.since() <= s.record.Duration() {
		s.sent++
	}
	s.lastSentAt = s.since()
}

// finish counts the response to an attempt, unless the VM has restarted since.
func (s *simulation) finish(a attempt) {
	if a.vm.starts != a.starts {
		return
	}
	if a.updated {
		delete(a.vm.inNew, a.sentAt)
	} else {
		a.vm.inOld--
	}
	if a.fails {
		a.gate.CountFailure(fmt.Sprint(a.route), a.updated)
	} else {
		a.gate.CountResponse(fmt.Sprint(a.route), a.updated, a.took)
	}
	if a.updated && (a.fails || a.took > 40*time.Millisecond) {
		s.bad++
		if s.bad == 50 {
			s.fiftiethBadAt = s.since()
		}
	}
}
