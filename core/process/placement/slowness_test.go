package placement

import (
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// noise describes targets that are slow in spells: at any time a share of them takes factor
// times as long, in spells of a mean length.
type noise struct {
	share  float64
	factor float64
	spell  time.Duration
}

// siteNoise is the noise of the installations that docs/design/13 describes.
var siteNoise = noise{share: 0.15, factor: 2.5, spell: 600 * time.Millisecond}

// memory returns the correlation of two states of a target that lie an age apart.
func (n noise) memory(age time.Duration) float64 {
	normalSpell := float64(n.spell) * (1 - n.share) / n.share
	return math.Exp(-float64(age) * (1/float64(n.spell) + 1/normalSpell))
}

// mean returns the mean factor of a target that was seen slow, or normal, at an age ago.
func (n noise) mean(slow bool, age time.Duration) float64 {
	p := n.share * (1 - n.memory(age))
	if slow {
		p = n.share + (1-n.share)*n.memory(age)
	}
	return 1 + (n.factor-1)*p
}

// choiceGain returns by how much the mean time of a request falls if one of three targets
// is chosen by their figures, of which two are known with remoteAge and cost more to reach,
// instead of always the near one. With trusted set the figures are taken for the present
// state. A negative remoteAge means that the far targets are not known.
func (n noise) choiceGain(work, cost float64, age, remoteAge time.Duration, trusted bool) float64 {
	believed := func(slow bool, age time.Duration) float64 {
		if trusted && slow {
			return n.factor
		} else if trusted {
			return 1
		}
		return n.mean(slow, age)
	}
	probability := func(slow bool) float64 {
		if slow {
			return n.share
		}
		return 1 - n.share
	}
	unknown := 1 + (n.factor-1)*n.share
	gain := 0.0
	for _, near := range []bool{false, true} {
		for _, far1 := range []bool{false, true} {
			for _, far2 := range []bool{false, true} {
				farBelieved, farTrue := unknown, unknown
				if remoteAge >= 0 {
					farBelieved = min(believed(far1, remoteAge), believed(far2, remoteAge))
					farTrue = n.mean(far1 && far2, remoteAge)
				}
				if cost+work*farBelieved < work*believed(near, age) {
					gain += probability(near) * probability(far1) * probability(far2) * (work*n.mean(near, age) - cost - work*farTrue)
				}
			}
		}
	}
	return gain
}

// Guards against a weight of the slowness figure that does not fit the noise for which it
// was derived, and documents for which age choosing by the figure helps. REPLAY=1 prints
// the table of docs/design/13.
func TestAgeAtWhichSlownessHelps(t *testing.T) {
	ages := []time.Duration{0, 50, 100, 150, 200, 300, 400, 600, 800, 1200, 2500}
	for _, c := range []struct {
		work, cost float64
		// helpsUntil is the greatest age, in ms, at which the figures of all targets lower
		// the mean time by a hundredth of the work.
		helpsUntil time.Duration
	}{
		{7, 8.8, 50}, {7, 2.8, 400}, {20, 8.8, 400}, {20, 2.8, 800},
	} {
		if os.Getenv("REPLAY") != "" {
			fmt.Printf("work %g ms, other data centres cost %g ms\n", c.work, c.cost)
		}
		last := time.Duration(-1)
		for _, age := range ages {
			age *= time.Millisecond
			weighed, nearOnly := siteNoise.choiceGain(c.work, c.cost, age, age, false), siteNoise.choiceGain(c.work, c.cost, age, -1, false)
			if os.Getenv("REPLAY") != "" {
				fmt.Printf("  age %6v: gain %5.2f ms, the near target's only %5.2f, taken for the present %5.2f\n", age, weighed, nearOnly, siteNoise.choiceGain(c.work, c.cost, age, age, true))
			}
			if weighed >= 0.01*c.work {
				last = age
			}
			assert.Assert(t, weighed >= -1e-9, "choosing by the weighed figure never harms")
		}
		assert.Check(t, last == c.helpsUntil*time.Millisecond, "%v", last)
	}
	for _, age := range ages {
		s := slowness{latest: siteNoise.factor, at: time.Unix(1, 0), mean: 1 + (siteNoise.factor-1)*siteNoise.share}
		now := s.at.Add(age * time.Millisecond)
		assert.Assert(t, math.Abs(s.expected(now)-siteNoise.mean(true, age*time.Millisecond)) < 0.01)
	}
}
