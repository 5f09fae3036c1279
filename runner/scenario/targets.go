package scenario

import (
	"context"
	"strings"
	"time"

	"github.com/mulberrydale/mulberrydale/runner/driver"
)

func coldTold(ctx context.Context, s *testbed) error { return coldLeaf(ctx, s, "restart-cold", 0) }

func coldUntold(ctx context.Context, s *testbed) error {
	return coldLeaf(ctx, s, "turn-cold-untold", time.Second)
}

// coldLeaf turns the first leaf of each service cold under load. While it is
// cold it must not see more than its cold capacity from all VMs together.
func coldLeaf(ctx context.Context, s *testbed, key string, grace time.Duration) error {
	const rate = 240
	s.sendLoad(ctx, rate, 8*time.Second)
	if err := s.clearJournal(); err != nil {
		return err
	}
	load := s.startLoad(ctx, rate, 45*time.Second)
	time.Sleep(3 * time.Second)
	if err := s.setBehaviour(firstLeafsPattern, key, "true"); err != nil {
		return err
	}
	coldTime := time.Now()
	answers := load.wait()
	records, err := s.readJournal()
	if err != nil {
		return err
	}
	cold := func(r record) bool { return r.cold && r.at.After(coldTime.Add(grace)) }
	s.atMost("most a cold leaf saw in a second", maxPerSecond(records, cold), 0, 30)
	s.completeAtLeast("complete", answers, 0.99)
	recovered := sentSince(answers, coldTime.Add(30*time.Second))
	s.atLeast("share of the turned leafs after 30 s", leafShare(recovered, "-01"), 1.0/3, 0.9/3)
	return nil
}

// leafShare returns the part of the results that leafs with a suffix gave.
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

func centreOut(ctx context.Context, s *testbed) error {
	const rate = 120
	centre := s.inst.Configuration().DataCentres()[0].Name()
	before := s.sendLoad(ctx, rate, 6*time.Second)
	if err := s.clearJournal(); err != nil {
		return err
	}
	load := s.startLoad(ctx, rate, 30*time.Second)
	time.Sleep(2 * time.Second)
	if _, err := s.inst.RunCtl(ctx, s.vmFor(1), "out", centre); err != nil {
		return err
	}
	takenOutAt := time.Now()
	time.Sleep(8 * time.Second)
	if err := s.setBehaviour(centre, "restart-cold", "true"); err != nil {
		return err
	}
	putBackAt := time.Now()
	if _, err := s.inst.RunCtl(ctx, s.vmFor(2), "in", centre); err != nil {
		return err
	}
	answers := load.wait()
	records, err := s.readJournal()
	if err != nil {
		return err
	}
	subRequests := countRecords(records, func(r record) bool {
		return isSubRequest(r) && s.inst.DataCentreOf(r.leaf) == centre && r.at.After(takenOutAt.Add(3*time.Second)) && r.at.Before(putBackAt)
	})
	s.atMost("sub-requests to the centre from 3 s on", subRequests, 0, 0)
	s.atMost("p99, ms", latencyQuantile(answers, 0.99), latencyQuantile(before, 0.99), 2*latencyQuantile(before, 0.99))
	s.atMost("answers lost", countAnswers(answers, func(a driver.Answer) bool { return a.Err() != nil || a.Code()/100 != 1 }), 0, 0)
	s.atMost("most a cold leaf saw in a second", maxPerSecond(records, func(r record) bool { return r.cold }), 0, 30)
	return nil
}

func leavingLeaf(ctx context.Context, s *testbed) error {
	if err := s.setBehaviour("*", "health-lag-ms", "10000"); err != nil {
		return err
	}
	load := s.startLoad(ctx, 60, 16*time.Second)
	time.Sleep(2 * time.Second)
	leavingTime := time.Now()
	if err := s.setBehaviour(firstLeafsPattern, "leaving", "true"); err != nil {
		return err
	}
	answers := load.wait()
	records, err := s.readJournal()
	if err != nil {
		return err
	}
	s.atMost("sub-requests to leaving leafs after 3 s", countRecords(records, func(r record) bool {
		return isSubRequest(r) && strings.HasSuffix(r.leaf, "-01") && r.at.After(leavingTime.Add(3*time.Second))
	}), 0, 0)
	s.completeAtLeast("complete", answers, 0.999)
	return nil
}
