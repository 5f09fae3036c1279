package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// idleConn is an idle connection of a VM.
type idleConn struct {
	usedAt  time.Time
	maxIdle time.Duration
}

func (c idleConn) expired(now time.Time) bool {
	age := now.Sub(c.usedAt)
	return age > targetIdle || c.maxIdle > 0 && age > c.maxIdle
}

// siteVM is the Sender and the connections of one VM.
type siteVM struct {
	centre     string
	targets    map[string]*siteTarget
	addresses  map[string]*siteTarget
	stats      *siteStats
	link       time.Duration
	fleet      *placement.Fleet
	dispatcher *Dispatcher

	mu   sync.Mutex
	idle map[string][]idleConn
	// sent has the parts that were sent once.
	sent map[string]bool
}

func (v *siteVM) delay(t *siteTarget) time.Duration {
	if t.centre == v.centre {
		return localLink
	}
	return v.link
}

// take returns whether an idle connection to a target is there, and removes it.
func (v *siteVM) take(t *siteTarget, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sweep(t, now)
	if list := v.idle[t.id]; len(list) > 0 {
		v.idle[t.id] = list[:len(list)-1]
		return true
	}
	return false
}

// sweep closes the expired connections to a target. The caller holds mu.
func (v *siteVM) sweep(t *siteTarget, now time.Time) {
	before := len(v.idle[t.id])
	if before == 0 {
		return
	}
	v.idle[t.id] = slices.DeleteFunc(v.idle[t.id], func(c idleConn) bool { return c.expired(now) })
	v.stats.addOpen(t.id, len(v.idle[t.id])-before)
}

func (s *siteStats) addOpen(id string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[id] += n
	s.mostOpen = max(s.mostOpen, s.open[id])
}

// dial opens a connection to a target, which costs the target time, and returns how long
// the handshake took.
func (v *siteVM) dial(t *siteTarget, purpose int) time.Duration {
	handshake := 2 * v.delay(t)
	time.Sleep(handshake)
	v.stats.addOpen(t.id, 1)
	v.stats.mu.Lock()
	v.stats.dials[purpose]++
	if t.centre != v.centre {
		v.stats.bytes[2] += connectionBytes
	}
	v.stats.mu.Unlock()
	t.serve(connectionCost)
	return handshake
}

// count counts an attempt and returns 0 for a first one and 1 for a further one.
func (v *siteVM) count(a relay.Attempt, t *siteTarget) int {
	v.mu.Lock()
	key := a.Request().ID() + t.instanceService()
	further := v.sent[key]
	v.sent[key] = true
	v.mu.Unlock()
	v.stats.mu.Lock()
	defer v.stats.mu.Unlock()
	remote := 0
	if t.centre != v.centre {
		remote = 1
	}
	purpose := 0
	if further {
		purpose = 1
		v.stats.extras[remote]++
	} else {
		v.stats.firsts[remote]++
		if bin := int(time.Since(v.stats.startedAt) / seriesBin); v.centre == centreName(0) && bin < len(v.stats.series) {
			v.stats.series[bin][remote]++
		}
	}
	v.stats.bytes[purpose] += remote * (requestBytes + responseBytes)
	return purpose
}

// spill returns the share of first attempts of the first data centre that go to others, in
// percent, for each seriesBin.
func (s *siteStats) spill() []int {
	var out []int
	for _, b := range s.series {
		if b[0]+b[1] > 0 {
			out = append(out, 100*b[1]/(b[0]+b[1]))
		}
	}
	return out
}

// reset starts the counts of sends, connections and bytes again.
func (s *siteStats) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firsts, s.extras, s.dials, s.bytes = [2]int{}, [2]int{}, [3]int{}, [3]int{}
}

// instanceService returns the name of the target's service.
func (t *siteTarget) instanceService() string { return t.id[:len(t.id)-2] }

func (v *siteVM) Send(ctx context.Context, a relay.Attempt, now time.Time) relay.Outcome {
	t := v.targets[a.Instance().ID()]
	purpose := v.count(a, t)
	if !v.take(t, now) {
		a.Connected(v.dial(t, purpose), time.Now())
	}
	work := 6700 * time.Microsecond
	if a.Request().Path() == "/"+thoroughRoute {
		work = 20 * time.Millisecond
	}
	time.Sleep(v.delay(t))
	load, ok := t.serve(work)
	time.Sleep(v.delay(t))
	v.mu.Lock()
	v.idle[t.id] = append(v.idle[t.id], idleConn{usedAt: time.Now(), maxIdle: a.IdleTimeout()})
	v.mu.Unlock()
	switch {
	case !ok:
		return relay.NewDeclined(load, false, "full")
	case ctx.Err() != nil:
		return relay.NewLost(ctx.Err())
	}
	return relay.NewAnswered(relay.NewResponse(200, nil, nil, t.id), load)
}

// warm opens connections ahead once a second, as package gateway does.
func (v *siteVM) warm(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		v.mu.Lock()
		for id := range v.idle {
			v.sweep(v.targets[id], time.Now())
		}
		v.mu.Unlock()
		for _, address := range v.fleet.WarmAddresses(time.Now()) {
			t := v.addresses[address]
			v.mu.Lock()
			missing := len(v.idle[t.id]) == 0
			v.mu.Unlock()
			if !missing || v.dispatcher.Running() > 0 {
				continue
			}
			v.dial(t, 2)
			v.mu.Lock()
			v.idle[t.id] = append([]idleConn{{usedAt: time.Now()}}, v.idle[t.id]...)
			v.mu.Unlock()
		}
	}
}
