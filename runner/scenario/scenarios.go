package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/runner/driver"
	"github.com/mulberrydale/mulberrydale/runner/installation"
)

// scenarios are run in this order.
var scenarios = []struct {
	name string
	vms  int
	run  func(ctx context.Context, s *stage) error
}{
	{"overhead", 3, overhead},
	{"throughput", 1, throughput},
	{"stragglers", 3, stragglers},
	{"lost-leafs", 3, lostLeafs},
	{"silent-connections", 3, silentConnections},
	{"overload", 3, overload},
	{"cold-told", 9, coldTold},
	{"cold-untold", 9, coldUntold},
	{"centre-out", 9, centreOut},
	{"leaving-leaf", 9, leavingLeaf},
	{"snapshot-roll", 3, snapshotRoll},
	{"connections", 9, connections},
	{"restarts", 6, restarts},
	{"at-most-once", 3, atMostOnce},
	{"bad-answers", 3, badAnswers},
	{"in-force", 9, inForce},
	{"racing-operators", 6, racingOperators},
	{"kill-leader", 6, killLeader},
	{"lost-disks", 6, lostDisks},
	{"cut-leader", 6, cutLeader},
	{"freeze", 6, freeze},
	{"many-changes", 6, manyChanges},
}

// overhead measures what the entry VM adds to the slowest leaf of each query.
func overhead(ctx context.Context, s *stage) error {
	answers := s.load(ctx, 20, 10*time.Second)
	var added []float64
	for _, a := range answers {
		if complete(a) {
			added = append(added, float64((a.Latency()-a.MaxLeafTime()).Microseconds())/1000)
		}
	}
	if len(added) == 0 {
		return errors.New("no complete answer")
	}
	s.row("added at the median, ms", median(added, 0.5), quantile(answers, 0.5), 1)
	s.row("added at p99, ms", median(added, 0.99), quantile(answers, 0.99), 10)
	return nil
}

// throughput raises the rate to one entry VM until answers are no longer on
// time.
func throughput(ctx context.Context, s *stage) error {
	best := 0.0
	for rate := 200.0; rate <= 3200; rate *= 1.26 {
		answers := s.load(ctx, rate, 2*time.Second)
		if share(answers, func(a driver.Answer) bool { return complete(a) && !late(a) }) < 0.99 {
			break
		}
		best = rate
	}
	s.atLeast("15-service queries a second of one entry VM", best, 0, 200)
	return s.costs(ctx)
}

// costs measures processor time and allocations of a sub-request at half of
// a usual rate, and what one VM costs at rest.
func (s *stage) costs(ctx context.Context) error {
	const rate = 300
	v := s.in.VMs()[0]
	var before, after, rest [2]float64
	names := []string{"process_cpu_seconds_total", "go_memstats_mallocs_total"}
	steps := []struct {
		into *[2]float64
		wait func()
	}{
		{&before, func() {}},
		{&after, func() { s.load(ctx, rate, 5*time.Second) }},
		{&rest, func() { time.Sleep(5 * time.Second) }},
	}
	for _, step := range steps {
		step.wait()
		for i, name := range names {
			n, err := metric(ctx, v.OperatorsAddress(), name)
			if err != nil {
				return err
			}
			step.into[i] = n
		}
	}
	const subRequests = rate * 5 * 15
	s.row("processor time a sub-request, us", 1e6*(after[0]-before[0])/subRequests, 0, 200)
	s.row("allocations a sub-request", (after[1]-before[1])/subRequests, 0, 200)
	s.row("processor at rest, part of a core", (rest[0]-after[0])/5, 0, 0.025)
	return nil
}

func stragglers(ctx context.Context, s *stage) error {
	plain := s.load(ctx, 60, 10*time.Second)
	if err := s.clear(); err != nil {
		return err
	}
	if err := s.set("*", "straggler-share", "0.05"); err != nil {
		return err
	}
	answers := s.load(ctx, 60, 20*time.Second)
	records, err := s.journal()
	if err != nil {
		return err
	}
	s.row("p99 with stragglers, ms", quantile(answers, 0.99), quantile(plain, 0.99), 2*quantile(plain, 0.99))
	s.row("sub-requests per service asked", ran(records, isSub)/float64(15*len(answers)), 1, 1.05)
	return nil
}

func lostLeafs(ctx context.Context, s *stage) error {
	for _, fault := range []string{"down", "silent"} {
		load := s.start(ctx, 60, 14*time.Second)
		time.Sleep(2 * time.Second)
		at := time.Now()
		if err := s.set(firstLeafs, fault, "true"); err != nil {
			return err
		}
		answers := load.wait()
		s.row(fault+": answers after their deadline", count(answers, late), 0, 0)
		s.complete(fault+": complete from 2 s on", since(answers, at.Add(2*time.Second)), 0.999)
		if err := s.set(firstLeafs, fault, "false"); err != nil {
			return err
		}
		s.load(ctx, warmRate, 3*time.Second)
	}
	return nil
}

func silentConnections(ctx context.Context, s *stage) error {
	load := s.start(ctx, 60, 12*time.Second)
	time.Sleep(2 * time.Second)
	if err := s.set("*", "old-connections-silent", "true"); err != nil {
		return err
	}
	at := time.Now()
	answers := load.wait()
	records, err := s.journal()
	if err != nil {
		return err
	}
	s.complete("complete from 2 s on", since(answers, at.Add(2*time.Second)), 0.999)
	s.row("answers after their deadline", count(answers, late), 0, 0)
	s.row("connections refused by leafs", ran(records, func(r record) bool { return r.outcome == "connection-refused" }), 0, 0)
	return nil
}

func overload(ctx context.Context, s *stage) error {
	// At 40 ms and 2 slots, three leafs of a service bear 150 queries a second.
	const capacity = 150
	if err := s.set("*", "service-time-us", "40000"); err != nil {
		return err
	}
	s.load(ctx, capacity/2, 5*time.Second)
	base := 0.0
	for _, times := range []float64{1, 1.5, 2, 3} {
		if err := s.clear(); err != nil {
			return err
		}
		answers := s.load(ctx, times*capacity, 8*time.Second)
		records, err := s.journal()
		if err != nil {
			return err
		}
		good := count(answers, func(a driver.Answer) bool { return complete(a) && onTime(a) }) / 8
		if times == 1 {
			base = good
		}
		s.atLeast(fmt.Sprintf("complete answers a second at %g times", times), good, base, 0.9*base)
		s.row(fmt.Sprintf("untrue 'not run' at %g times", times), falseRefusals(answers, records), 0, 0)
	}
	return nil
}

// falseRefusals counts the requests that were said not to have run and did.
func falseRefusals(answers []driver.Answer, records []record) float64 {
	reached := make(map[string]bool)
	for _, r := range records {
		if r.outcome == "ran" {
			reached[r.caller] = true
		}
	}
	return count(answers, func(a driver.Answer) bool { return a.Code()/100 == 2 && reached[a.CallerID()] })
}

func connections(ctx context.Context, s *stage) error {
	dialsBefore, err := s.dials(ctx)
	if err != nil {
		return err
	}
	answers := s.load(ctx, 30, 10*time.Second)
	dials, err := s.dials(ctx)
	if err != nil {
		return err
	}
	last := s.in.VMs()[len(s.in.VMs())-1]
	if err := s.in.StopVM(last); err != nil {
		return err
	}
	if err := s.in.StartVM(last); err != nil {
		return err
	}
	if err := s.in.WaitVMReady(ctx, last); err != nil {
		return err
	}
	s.load(ctx, 60, 6*time.Second)
	records, err := s.journal()
	if err != nil {
		return err
	}
	s.row("new connections per query at light load", (dials-dialsBefore)/float64(len(answers)), 0, 0.01)
	s.row("connections refused by leafs", ran(records, func(r record) bool { return r.outcome == "connection-refused" }), 0, 0)
	return nil
}

func restarts(ctx context.Context, s *stage) error {
	load := s.start(ctx, 120, time.Duration(len(s.in.VMs()))*4*time.Second)
	for _, v := range s.in.VMs() {
		s.balancer.without(v, installation.BalancerLag/2)
		if err := s.in.StopVM(v); err != nil {
			return err
		}
		if err := s.in.StartVM(v); err != nil {
			return err
		}
		if err := s.in.WaitVMReady(ctx, v); err != nil {
			return err
		}
		s.balancer.with(v)
	}
	answers := load.wait()
	s.row("requests cut", count(answers, func(a driver.Answer) bool { return a.Err() != nil }), 0, 0)
	s.complete("complete", answers, 0.99)
	return nil
}
