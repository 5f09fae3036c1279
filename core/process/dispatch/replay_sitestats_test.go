package dispatch

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// siteStats counts what the VMs of a site send.
type siteStats struct {
	mu sync.Mutex
	// firsts and extras count the first and the further attempts, by local and remote.
	firsts, extras [2]int
	// dials counts the connections opened by first attempts, further ones and ahead.
	dials [3]int
	// bytes counts those between data centres of first and further attempts and of opening
	// connections.
	bytes [3]int
	// open counts the connections to each target, and mostOpen is the most at one.
	open     map[string]int
	mostOpen int
	kinds    map[string]*kindStats
	// series counts the first attempts of the VMs of the first data centre in each
	// seriesBin, local and remote.
	series    [64][2]int
	startedAt time.Time
	windows   map[int]*kindStats
}

// kindStats counts the answers of one kind of request or of one window.
type kindStats struct {
	requests, inTime, missing int
	credit                    float64
	took                      []time.Duration
}

// add counts an answer: one in time earns the square of its share of the shards.
func (k *kindStats) add(answer relay.Answer, took, objective time.Duration) {
	k.requests++
	k.took = append(k.took, took)
	merged, ok := answer.(relay.Merged)
	if !ok {
		return
	}
	k.missing += merged.Missing()
	share := float64(siteShards-merged.Missing()) / siteShards
	if took <= objective {
		k.inTime++
		k.credit += share * share
	} else {
		k.credit += share * share / 20
	}
}

func (k *kindStats) quantile(q float64) time.Duration {
	slices.Sort(k.took)
	return k.took[int(q*float64(len(k.took)-1))]
}

func (k *kindStats) String() string {
	return fmt.Sprintf("%d requests, in time %.3f, credit %.4f, parts missing %.2f, median %.1f ms, p95 %.1f ms", k.requests,
		float64(k.inTime)/float64(k.requests), k.credit/float64(k.requests), float64(k.missing)/float64(k.requests),
		k.quantile(0.5).Seconds()*1000, k.quantile(0.95).Seconds()*1000)
}

// worst returns the least mean credit of a window.
func (s *siteStats) worst() float64 {
	least := 1.0
	for _, k := range s.windows {
		if k.requests >= 20 {
			least = min(least, k.credit/float64(k.requests))
		}
	}
	return least
}

// add adds the counts of requests, sends and connections of another play.
func (s *siteStats) add(other *siteStats) {
	for i := range s.firsts {
		s.firsts[i] += other.firsts[i]
		s.extras[i] += other.extras[i]
	}
	for i := range s.dials {
		s.dials[i] += other.dials[i]
		s.bytes[i] += other.bytes[i]
	}
	s.mostOpen = max(s.mostOpen, other.mostOpen)
	for name, k := range other.kinds {
		if s.kinds[name] == nil {
			s.kinds[name] = &kindStats{}
		}
		s.kinds[name].requests += k.requests
		s.kinds[name].inTime += k.inTime
		s.kinds[name].missing += k.missing
		s.kinds[name].credit += k.credit
		s.kinds[name].took = append(s.kinds[name].took, k.took...)
	}
}

// remoteFirsts returns the share of first attempts that go to another data centre.
func (s *siteStats) remoteFirsts() float64 {
	return float64(s.firsts[1]) / float64(s.firsts[0]+s.firsts[1])
}

// dialShare returns the connections opened for each send.
func (s *siteStats) dialShare() float64 {
	return float64(s.dials[0]+s.dials[1]+s.dials[2]) / float64(s.firsts[0]+s.firsts[1]+s.extras[0]+s.extras[1])
}

func (s *siteStats) String() string {
	sends := s.firsts[0] + s.firsts[1] + s.extras[0] + s.extras[1]
	return fmt.Sprintf("  urgent:   %v\n  thorough: %v\n  worst window %.3f; sends %d, first attempts to other data centres %.3f, further %.3f (%.3f of them to others)\n"+
		"  connections %.3f a send: first attempts %.3f, further %.3f, ahead %.3f; most at a target %d; MB between data centres %.2f: first attempts %.2f, further %.2f, connections %.2f",
		s.kinds[urgentRoute], s.kinds[thoroughRoute], s.worst(), sends, s.remoteFirsts(),
		float64(s.extras[0]+s.extras[1])/float64(sends), float64(s.extras[1])/float64(max(1, s.extras[0]+s.extras[1])),
		s.dialShare(), float64(s.dials[0])/float64(sends), float64(s.dials[1])/float64(sends), float64(s.dials[2])/float64(sends), s.mostOpen,
		float64(s.bytes[0]+s.bytes[1]+s.bytes[2])/1e6, float64(s.bytes[0])/1e6, float64(s.bytes[1])/1e6, float64(s.bytes[2])/1e6)
}
