package scenario

import (
	"context"
	"fmt"
	"strings"
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
			added = append(added, float64((a.Took()-a.Slowest()).Microseconds())/1000)
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

func coldTold(ctx context.Context, s *stage) error { return coldLeaf(ctx, s, "restart-cold", 0) }

func coldUntold(ctx context.Context, s *stage) error {
	return coldLeaf(ctx, s, "turn-cold-untold", time.Second)
}

// coldLeaf turns the first leaf of each service cold under load. While it is
// cold it must not see more than its cold capacity from all VMs together.
func coldLeaf(ctx context.Context, s *stage, key string, grace time.Duration) error {
	const rate = 240
	s.load(ctx, rate, 8*time.Second)
	if err := s.clear(); err != nil {
		return err
	}
	load := s.start(ctx, rate, 45*time.Second)
	time.Sleep(3 * time.Second)
	if err := s.set(firstLeafs, key, "true"); err != nil {
		return err
	}
	at := time.Now()
	answers := load.wait()
	records, err := s.journal()
	if err != nil {
		return err
	}
	cold := func(r record) bool { return r.cold && r.at.After(at.Add(grace)) }
	s.row("most a cold leaf saw in a second", mostPerSecond(records, cold), 0, 30)
	s.complete("complete", answers, 0.99)
	back := since(answers, at.Add(30*time.Second))
	s.atLeast("share of the turned leafs after 30 s", leafShare(back, "-01"), 1.0/3, 0.9/3)
	return nil
}

// leafShare returns the part of the results that leafs with a suffix gave.
func leafShare(answers []driver.Answer, suffix string) float64 {
	all := 0
	n := 0
	for _, a := range answers {
		for _, leaf := range a.Leafs() {
			all++
			if strings.HasSuffix(leaf, suffix) {
				n++
			}
		}
	}
	return float64(n) / float64(max(all, 1))
}

func centreOut(ctx context.Context, s *stage) error {
	const rate = 120
	centre := s.in.Configuration().DataCentres()[0].Name()
	before := s.load(ctx, rate, 6*time.Second)
	if err := s.clear(); err != nil {
		return err
	}
	load := s.start(ctx, rate, 30*time.Second)
	time.Sleep(2 * time.Second)
	if _, err := s.in.Ctl(ctx, s.vm(1), "out", centre); err != nil {
		return err
	}
	out := time.Now()
	time.Sleep(8 * time.Second)
	if err := s.set(centre, "restart-cold", "true"); err != nil {
		return err
	}
	in := time.Now()
	if _, err := s.in.Ctl(ctx, s.vm(2), "in", centre); err != nil {
		return err
	}
	answers := load.wait()
	records, err := s.journal()
	if err != nil {
		return err
	}
	work := ran(records, func(r record) bool {
		return isSub(r) && s.centreOf(r.leaf) == centre && r.at.After(out.Add(3*time.Second)) && r.at.Before(in)
	})
	s.row("sub-requests to the centre from 3 s on", work, 0, 0)
	s.row("p99, ms", quantile(answers, 0.99), quantile(before, 0.99), 2*quantile(before, 0.99))
	s.row("answers lost", count(answers, func(a driver.Answer) bool { return a.Err() != nil || a.Code()/100 != 1 }), 0, 0)
	s.row("most a cold leaf saw in a second", mostPerSecond(records, func(r record) bool { return r.cold }), 0, 30)
	return nil
}

func (s *stage) centreOf(leaf string) string {
	for _, service := range s.in.Configuration().Services() {
		for _, l := range service.Leafs() {
			if l.Name() == leaf {
				return l.DataCentre()
			}
		}
	}
	return ""
}

func leavingLeaf(ctx context.Context, s *stage) error {
	if err := s.set("*", "health-lag-ms", "10000"); err != nil {
		return err
	}
	load := s.start(ctx, 60, 16*time.Second)
	time.Sleep(2 * time.Second)
	at := time.Now()
	if err := s.set(firstLeafs, "leaving", "true"); err != nil {
		return err
	}
	answers := load.wait()
	records, err := s.journal()
	if err != nil {
		return err
	}
	s.row("sub-requests to leaving leafs after 3 s", ran(records, func(r record) bool {
		return isSub(r) && strings.HasSuffix(r.leaf, "-01") && r.at.After(at.Add(3*time.Second))
	}), 0, 0)
	s.complete("complete", answers, 0.999)
	return nil
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
	if err := s.in.ReadyVM(ctx, last); err != nil {
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
		if err := s.in.ReadyVM(ctx, v); err != nil {
			return err
		}
		s.balancer.with(v)
	}
	answers := load.wait()
	s.row("requests cut", count(answers, func(a driver.Answer) bool { return a.Err() != nil }), 0, 0)
	s.complete("complete", answers, 0.99)
	return nil
}
