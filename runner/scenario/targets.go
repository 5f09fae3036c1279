package scenario

import (
	"context"
	"strings"
	"time"

	"github.com/mulberrydale/mulberrydale/runner/driver"
)

// reportedCold restarts leafs, which then report that they are cold.
func reportedCold(ctx context.Context, tb *testbed) error {
	return coldLeaf(ctx, tb, "restart-cold", 0)
}

// unreportedCold makes leafs cold without their reporting it. The VMs have a second
// to detect it.
func unreportedCold(ctx context.Context, tb *testbed) error {
	return coldLeaf(ctx, tb, "turn-cold-untold", time.Second)
}

// coldLeaf makes the first leaf of each service cold under load, by the
// setting named key. Once the time grace has passed, all VMs together must not
// send a cold leaf more sub-requests than its cold capacity of 30 a second.
func coldLeaf(ctx context.Context, tb *testbed, key string, grace time.Duration) error {
	const rate = 240
	tb.sendLoad(ctx, rate, 8*time.Second)
	if err := tb.clearJournal(); err != nil {
		return err
	}
	load := tb.startLoad(ctx, rate, 45*time.Second)
	time.Sleep(3 * time.Second)
	if err := tb.setBehaviour(firstLeafsPattern, key, "true"); err != nil {
		return err
	}
	coldTime := time.Now()
	answers := load.wait()
	records, err := tb.readJournal()
	if err != nil {
		return err
	}
	cold := func(r record) bool { return r.cold && r.at.After(coldTime.Add(grace)) }
	tb.atMost("most a cold leaf saw in a second", maxPerSecond(records, cold), 0, 30)
	tb.completeAtLeast("complete", answers, 0.99)
	recovered := sentSince(answers, coldTime.Add(30*time.Second))
	tb.atLeast("share of the turned leafs after 30 s", leafShare(recovered, "-01"), 1.0/3, 0.9/3)
	return nil
}

// leafShare returns the fraction of the results that came from leafs whose name
// ends with a suffix.
func leafShare(answers []driver.Answer, suffix string) float64 {
	total := 0
	matching := 0
	for _, a := range answers {
		for _, leaf := range a.ResultLeafs() {
			total++
			if strings.HasSuffix(leaf, suffix) {
				matching++
			}
		}
	}
	return float64(matching) / float64(max(total, 1))
}

// centreOut takes a data centre out of service under load, restarts its leafs
// cold and puts it back. From 3 seconds after it was taken out until it is put
// back, its leafs must get no sub-requests. Every answer must have a result
// code of the class success.
func centreOut(ctx context.Context, tb *testbed) error {
	const rate = 120
	centre := tb.inst.Configuration().DataCentres()[0].Name()
	before := tb.sendLoad(ctx, rate, 6*time.Second)
	if err := tb.clearJournal(); err != nil {
		return err
	}
	load := tb.startLoad(ctx, rate, 30*time.Second)
	time.Sleep(2 * time.Second)
	if _, err := tb.inst.RunCtl(ctx, tb.vmFor(1), "out", centre); err != nil {
		return err
	}
	takenOutAt := time.Now()
	time.Sleep(8 * time.Second)
	if err := tb.setBehaviour(centre, "restart-cold", "true"); err != nil {
		return err
	}
	putBackAt := time.Now()
	if _, err := tb.inst.RunCtl(ctx, tb.vmFor(2), "in", centre); err != nil {
		return err
	}
	answers := load.wait()
	records, err := tb.readJournal()
	if err != nil {
		return err
	}
	subRequests := countRecords(records, func(r record) bool {
		return isSubRequest(r) && tb.inst.DataCentreOf(r.leaf) == centre && r.at.After(takenOutAt.Add(3*time.Second)) && r.at.Before(putBackAt)
	})
	tb.atMost("sub-requests to the centre from 3 s on", subRequests, 0, 0)
	tb.atMost("p99, ms", latencyQuantile(answers, 0.99), latencyQuantile(before, 0.99), 2*latencyQuantile(before, 0.99))
	tb.atMost("answers lost", countAnswers(answers, func(a driver.Answer) bool { return a.Err() != nil || a.Code()/100 != 1 }), 0, 0)
	tb.atMost("most a cold leaf saw in a second", maxPerSecond(records, func(r record) bool { return r.cold }), 0, 30)
	return nil
}

// leavingLeaf makes one leaf of each service leave while health checks report
// it 10 seconds late, so that the VMs must learn it from the leaf's responses.
func leavingLeaf(ctx context.Context, tb *testbed) error {
	if err := tb.setBehaviour("*", "health-lag-ms", "10000"); err != nil {
		return err
	}
	load := tb.startLoad(ctx, 60, 16*time.Second)
	time.Sleep(2 * time.Second)
	leavingTime := time.Now()
	if err := tb.setBehaviour(firstLeafsPattern, "leaving", "true"); err != nil {
		return err
	}
	answers := load.wait()
	records, err := tb.readJournal()
	if err != nil {
		return err
	}
	tb.atMost("sub-requests to leaving leafs after 3 s", countRecords(records, func(r record) bool {
		return isSubRequest(r) && strings.HasSuffix(r.leaf, "-01") && r.at.After(leavingTime.Add(3*time.Second))
	}), 0, 0)
	tb.completeAtLeast("complete", answers, 0.999)
	return nil
}
