package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/runner/driver"
	"github.com/mulberrydale/mulberrydale/runner/installation"
)

// scenarios lists the scenarios in the order in which they run, each with its
// number of VMs. run returns an error only if the scenario could not be carried
// out; a measurement out of its bound is no error.
var scenarios = []struct {
	name string
	vms  int
	run  func(ctx context.Context, tb *testbed) error
}{
	{"overhead", 3, overhead},
	{"throughput", 1, throughput},
	{"stragglers", 3, stragglers},
	{"lost-leafs", 3, lostLeafs},
	{"silent-connections", 3, silentConnections},
	{"overload", 3, overload},
	{"cold-told", 9, reportedCold},
	{"cold-untold", 9, unreportedCold},
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

// overhead measures the time that the entry VM adds to the slowest leaf of each
// query.
func overhead(ctx context.Context, tb *testbed) error {
	answers := tb.sendLoad(ctx, 20, 10*time.Second)
	var added []float64
	for _, a := range answers {
		if isComplete(a) {
			added = append(added, float64((a.Latency()-a.MaxLeafTime()).Microseconds())/1000)
		}
	}
	if len(added) == 0 {
		return errors.New("none of the answers was complete")
	}
	tb.atMost("added at the median, ms", floatQuantile(added, 0.5), latencyQuantile(answers, 0.5), 1)
	tb.atMost("added at p99, ms", floatQuantile(added, 0.99), latencyQuantile(answers, 0.99), 10)
	return nil
}

// throughput raises the rate of queries to one entry VM from 200 a second to at
// most 3200, in steps of 26 %, until less than 99 % of the answers are complete
// and on time.
func throughput(ctx context.Context, tb *testbed) error {
	best := 0.0
	for rate := 200.0; rate <= 3200; rate *= 1.26 {
		answers := tb.sendLoad(ctx, rate, 2*time.Second)
		if fractionOf(answers, func(a driver.Answer) bool { return isComplete(a) && !isLate(a) }) < 0.99 {
			break
		}
		best = rate
	}
	tb.atLeast("15-service queries a second of one entry VM", best, 0, 200)
	return tb.measureCosts(ctx)
}

// measureCosts measures processor time and allocations for each sub-request at
// 300 queries a second, which is half of a usual rate, and the processor time
// of an idle VM. The load and the idle period take 5 seconds each, and each
// query has 15 sub-requests.
func (tb *testbed) measureCosts(ctx context.Context) error {
	const rate = 300
	v := tb.inst.VMs()[0]
	var before, after, idle [2]float64
	names := []string{"process_cpu_seconds_total", "go_memstats_mallocs_total"}
	steps := []struct {
		dst *[2]float64
		act func()
	}{
		{&before, func() {}},
		{&after, func() { tb.sendLoad(ctx, rate, 5*time.Second) }},
		{&idle, func() { time.Sleep(5 * time.Second) }},
	}
	for _, step := range steps {
		step.act()
		for i, name := range names {
			n, err := readMetric(ctx, v.OperatorsAddress(), name)
			if err != nil {
				return err
			}
			step.dst[i] = n
		}
	}
	const subRequests = rate * 5 * 15
	tb.atMost("processor time a sub-request, us", 1e6*(after[0]-before[0])/subRequests, 0, 200)
	tb.atMost("allocations a sub-request", (after[1]-before[1])/subRequests, 0, 200)
	tb.atMost("processor at rest, part of a core", (idle[0]-after[0])/5, 0, 0.025)
	return nil
}

// stragglers slows down 5 % of the sub-requests. Hedging must limit the effect
// on p99 at the cost of few additional sub-requests.
func stragglers(ctx context.Context, tb *testbed) error {
	withoutStragglers := tb.sendLoad(ctx, 60, 10*time.Second)
	if err := tb.clearJournal(); err != nil {
		return err
	}
	if err := tb.setBehaviour("*", "straggler-share", "0.05"); err != nil {
		return err
	}
	answers := tb.sendLoad(ctx, 60, 20*time.Second)
	records, err := tb.readJournal()
	if err != nil {
		return err
	}
	tb.atMost("p99 with stragglers, ms", latencyQuantile(answers, 0.99), latencyQuantile(withoutStragglers, 0.99), 2*latencyQuantile(withoutStragglers, 0.99))
	tb.atMost("sub-requests per service asked", countRecords(records, isSubRequest)/float64(15*len(answers)), 1, 1.05)
	return nil
}

// lostLeafs makes one leaf of each service go down, and later stop responding
// while it stays up. Queries must be complete again after 2 seconds.
func lostLeafs(ctx context.Context, tb *testbed) error {
	for _, fault := range []string{"down", "silent"} {
		load := tb.startLoad(ctx, 60, 14*time.Second)
		time.Sleep(2 * time.Second)
		faultTime := time.Now()
		if err := tb.setBehaviour(firstLeafsPattern, fault, "true"); err != nil {
			return err
		}
		answers := load.wait()
		tb.atMost(fault+": answers after their deadline", countAnswers(answers, isLate), 0, 0)
		tb.completeAtLeast(fault+": complete from 2 s on", sentSince(answers, faultTime.Add(2*time.Second)), 0.999)
		if err := tb.setBehaviour(firstLeafsPattern, fault, "false"); err != nil {
			return err
		}
		// The leafs warm up again before the next fault.
		tb.sendLoad(ctx, warmUpRate, 3*time.Second)
	}
	return nil
}

// silentConnections makes the leafs stop responding on all connections that are
// already open. Queries must be complete again after 2 seconds, over new
// connections that the leafs don't refuse.
func silentConnections(ctx context.Context, tb *testbed) error {
	load := tb.startLoad(ctx, 60, 12*time.Second)
	time.Sleep(2 * time.Second)
	if err := tb.setBehaviour("*", "old-connections-silent", "true"); err != nil {
		return err
	}
	faultTime := time.Now()
	answers := load.wait()
	records, err := tb.readJournal()
	if err != nil {
		return err
	}
	tb.completeAtLeast("complete from 2 s on", sentSince(answers, faultTime.Add(2*time.Second)), 0.999)
	tb.atMost("answers after their deadline", countAnswers(answers, isLate), 0, 0)
	tb.atMost("connections refused by leafs", countRecords(records, func(r record) bool { return r.outcome == "connection-refused" }), 0, 0)
	return nil
}

// overload measures the rate of complete answers that are on time at one to
// three times the capacity of the leafs. The rate must stay at 90 % or more of
// that at the capacity itself.
func overload(ctx context.Context, tb *testbed) error {
	// With a service time of 40 ms and 2 slots for each leaf, the three leafs
	// of a service handle 150 queries a second.
	const capacity = 150
	if err := tb.setBehaviour("*", "service-time-us", "40000"); err != nil {
		return err
	}
	tb.sendLoad(ctx, capacity/2, 5*time.Second)
	baseline := 0.0
	for _, factor := range []float64{1, 1.5, 2, 3} {
		if err := tb.clearJournal(); err != nil {
			return err
		}
		answers := tb.sendLoad(ctx, factor*capacity, 8*time.Second)
		records, err := tb.readJournal()
		if err != nil {
			return err
		}
		goodput := countAnswers(answers, func(a driver.Answer) bool { return isComplete(a) && isOnTime(a) }) / 8
		if factor == 1 {
			baseline = goodput
		}
		tb.atLeast(fmt.Sprintf("complete answers a second at %g times", factor), goodput, baseline, 0.9*baseline)
		tb.atMost(fmt.Sprintf("untrue 'not run' at %g times", factor), refusedAnswersThatRan(answers, records), 0, 0)
	}
	return nil
}

// refusedAnswersThatRan counts the requests that ran although their answer was
// a refusal, which states that they did not run.
func refusedAnswersThatRan(answers []driver.Answer, records []record) float64 {
	executed := make(map[string]bool)
	for _, r := range records {
		if r.outcome == "ran" {
			executed[r.caller] = true
		}
	}
	return countAnswers(answers, func(a driver.Answer) bool { return a.Code()/100 == 2 && executed[a.CallerID()] })
}

// connections counts new connections to leafs under light load, of which there
// must be at most one for every 100 queries, and connections that leafs refuse,
// also while a VM restarts, of which there must be none.
func connections(ctx context.Context, tb *testbed) error {
	openedBefore, err := tb.openedConnections(ctx)
	if err != nil {
		return err
	}
	answers := tb.sendLoad(ctx, 30, 10*time.Second)
	opened, err := tb.openedConnections(ctx)
	if err != nil {
		return err
	}
	last := tb.inst.VMs()[len(tb.inst.VMs())-1]
	if err := tb.inst.StopVM(last); err != nil {
		return err
	}
	if err := tb.inst.StartVM(last); err != nil {
		return err
	}
	if err := tb.inst.WaitVMReady(ctx, last); err != nil {
		return err
	}
	tb.sendLoad(ctx, 60, 6*time.Second)
	records, err := tb.readJournal()
	if err != nil {
		return err
	}
	tb.atMost("new connections per query at light load", (opened-openedBefore)/float64(len(answers)), 0, 0.01)
	tb.atMost("connections refused by leafs", countRecords(records, func(r record) bool { return r.outcome == "connection-refused" }), 0, 0)
	return nil
}

// restarts restarts all VMs one after another under load. The balancer stops
// sending to a VM after half the lag that the VM expects.
func restarts(ctx context.Context, tb *testbed) error {
	load := tb.startLoad(ctx, 120, time.Duration(len(tb.inst.VMs()))*4*time.Second)
	for _, v := range tb.inst.VMs() {
		tb.balancer.remove(v, installation.BalancerLag/2)
		if err := tb.inst.StopVM(v); err != nil {
			return err
		}
		if err := tb.inst.StartVM(v); err != nil {
			return err
		}
		if err := tb.inst.WaitVMReady(ctx, v); err != nil {
			return err
		}
		tb.balancer.restore(v)
	}
	answers := load.wait()
	tb.atMost("requests cut", countAnswers(answers, func(a driver.Answer) bool { return a.Err() != nil }), 0, 0)
	tb.completeAtLeast("complete", answers, 0.99)
	return nil
}
