package dispatch

import (
	"fmt"
	"time"
)

// startStats is what a replay measured in startWatch from the event on.
type startStats struct {
	// occupancy is the most requests running and queued at an affected target, and
	// rejections what it rejected.
	occupancy  int
	rejections int
	requests   int
	inTime     int
	refused    int
	// shareAfter is the time until the first affected target takes its share, and served
	// the part of its siblings' mean requests that it got in startWatch.
	shareAfter time.Duration
	served     float64
	// firstSecond is the part of its siblings' mean requests that it got in the first
	// second.
	firstSecond float64
	plays       int
}

func (s *startStats) add(o startStats) {
	s.occupancy = max(s.occupancy, o.occupancy)
	s.rejections += o.rejections
	s.requests += o.requests
	s.inTime += o.inTime
	s.refused += o.refused
	s.shareAfter += o.shareAfter
	s.served += o.served
	s.firstSecond += o.firstSecond
	s.plays++
}

func (s startStats) inTimeShare() float64 { return float64(s.inTime) / float64(s.requests) }

func (s startStats) meanServed() float64 { return s.served / float64(s.plays) }

func (s startStats) String() string {
	return fmt.Sprintf("most at the target %2d, rejections %4d, its share after %4d ms, %.2f of its siblings' requests, %.2f in the first second, in time %.3f, refused %3d",
		s.occupancy, s.rejections/s.plays, (s.shareAfter / time.Duration(s.plays)).Milliseconds(), s.meanServed(), s.firstSecond/float64(s.plays), s.inTimeShare(), s.refused/s.plays)
}

// measureShare compares the requests of the first target with those of its siblings.
func (p *startPlay) measureShare() {
	p.out.shareAfter = startWatch
	own, siblings := 0, 0.0
	for bin, n := range p.arrivals[0] {
		mean := float64(p.arrivals[1][bin]+p.arrivals[2][bin]) / 2
		if p.out.shareAfter == startWatch && float64(n) >= takesItsShare*mean {
			p.out.shareAfter = time.Duration(bin) * shareBin
		}
		own += n
		siblings += mean
		if time.Duration(bin+1)*shareBin == time.Second {
			p.out.firstSecond = float64(own) / max(1, siblings)
		}
	}
	p.out.served = float64(own) / max(1, siblings)
}
