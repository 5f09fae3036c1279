package scenario

import (
	"context"
	"strings"
	"time"

	"github.com/mulberrydale/mulberrydale/runner/driver"
)

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
		for _, leaf := range a.ResultLeafs() {
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
	if _, err := s.in.RunCtl(ctx, s.vm(1), "out", centre); err != nil {
		return err
	}
	out := time.Now()
	time.Sleep(8 * time.Second)
	if err := s.set(centre, "restart-cold", "true"); err != nil {
		return err
	}
	in := time.Now()
	if _, err := s.in.RunCtl(ctx, s.vm(2), "in", centre); err != nil {
		return err
	}
	answers := load.wait()
	records, err := s.journal()
	if err != nil {
		return err
	}
	work := ran(records, func(r record) bool {
		return isSub(r) && s.in.DataCentreOf(r.leaf) == centre && r.at.After(out.Add(3*time.Second)) && r.at.Before(in)
	})
	s.row("sub-requests to the centre from 3 s on", work, 0, 0)
	s.row("p99, ms", quantile(answers, 0.99), quantile(before, 0.99), 2*quantile(before, 0.99))
	s.row("answers lost", count(answers, func(a driver.Answer) bool { return a.Err() != nil || a.Code()/100 != 1 }), 0, 0)
	s.row("most a cold leaf saw in a second", mostPerSecond(records, func(r record) bool { return r.cold }), 0, 30)
	return nil
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
