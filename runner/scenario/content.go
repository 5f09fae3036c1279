package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/runner/driver"
	"github.com/mulberrydale/mulberrydale/runner/installation"
)

// snapshotRoll moves the leafs from one snapshot to the next in random order
// while queries run. For a while each leaf holds both.
func snapshotRoll(ctx context.Context, s *stage) error {
	var leafs []string
	for _, service := range s.in.Configuration().Services() {
		for _, l := range service.Leafs() {
			leafs = append(leafs, l.Name())
		}
	}
	rng := rand.New(rand.NewPCG(s.in.Seed(), 8))
	load := s.start(ctx, 60, 16*time.Second)
	for _, held := range []string{"snapshot-0001,snapshot-0002", "snapshot-0002"} {
		time.Sleep(time.Second)
		rng.Shuffle(len(leafs), func(i, j int) { leafs[i], leafs[j] = leafs[j], leafs[i] })
		for _, l := range leafs {
			if err := s.set(l, "snapshots", held); err != nil {
				return err
			}
			time.Sleep(40 * time.Millisecond)
		}
	}
	// Leafs that ignore the pin must not be mixed in either.
	if err := s.set(firstLeafs, "ignores-pin", "true"); err != nil {
		return err
	}
	if err := s.set(firstLeafs, "snapshots", "snapshot-0003"); err != nil {
		return err
	}
	answers := load.wait()
	records, err := s.journal()
	if err != nil {
		return err
	}
	s.row("answers that mix or overstate", untrue(answers, records), 0, 0)
	s.complete("complete", answers, 0.99)
	return nil
}

// badAnswers lets leafs spoil a tenth of their responses in five ways.
func badAnswers(ctx context.Context, s *stage) error {
	for _, fault := range []string{"crossed", "truncated", "oversized", "malformed", "dropped"} {
		if err := s.set("*", fault, "0.02"); err != nil {
			return err
		}
	}
	answers := s.load(ctx, 60, 12*time.Second)
	records, err := s.journal()
	if err != nil {
		return err
	}
	s.row("answers with foreign or uncounted content", untrue(answers, records), 0, 0)
	s.row("spoiled results that were counted", spoiledCounted(answers, records), 0, 0)
	s.row("answers after their deadline", count(answers, late), 0, 0)
	return nil
}

// spoiledCounted counts results in answers that their leaf had spoiled.
func spoiledCounted(answers []driver.Answer, records []record) float64 {
	whole := make(map[string]int)
	for _, r := range records {
		if r.outcome == "ran" && r.fault == "" {
			whole[r.caller+" "+r.leaf]++
		}
	}
	n := 0
	for _, a := range answers {
		for _, leaf := range a.ResultLeafs() {
			if whole[a.CallerID()+" "+leaf] == 0 {
				n++
			}
		}
	}
	return float64(n)
}

// atMostOnce sends non-idempotent requests while leafs shed, fall silent, drop
// answers, leave and restart, and a VM is killed. Callers send again through
// another VM until they have an outcome.
func atMostOnce(ctx context.Context, s *stage) error {
	request := s.in.Configuration().Requests()[0]
	load := &resending{stage: s, name: request.Name(), until: time.Now().Add(20 * time.Second)}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Add(1)
		go (&resender{load: load, number: i, wg: &wg}).run(ctx)
	}
	pattern := request.Service() + "-*"
	for _, f := range []string{"dropped=0.2", "silent=true", "shedding=true", "truncated=0.2", "leaving=true", "restart-cold=true"} {
		key, value := cut(f)
		if err := s.set(pattern, key, value); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		if err := s.set(pattern, key, neutral(value)); err != nil {
			return err
		}
	}
	victim := s.in.VMs()[2]
	s.in.KillVM(victim)
	if err := s.in.StartVM(victim); err != nil {
		return err
	}
	wg.Wait()
	records, err := s.journal()
	if err != nil {
		return err
	}
	runs := make(map[string]int)
	for _, r := range records {
		if r.operation == request.Name() && r.outcome == "ran" {
			runs[r.caller]++
		}
	}
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	s.row("request ids that ran twice", float64(twice), 0, 0)
	s.row("untrue 'not run'", load.untrueRefusals(runs), 0, 0)
	s.atLeast("request ids sent", float64(len(load.ids)), 0, 100)
	return nil
}

func cut(f string) (key, value string) {
	i := slices.Index([]byte(f), '=')
	return f[:i], f[i+1:]
}

func neutral(value string) string {
	if value == "true" {
		return "false"
	}
	return "0"
}

// resending is what the callers of atMostOnce share.
type resending struct {
	stage *stage
	name  string
	until time.Time

	mu  sync.Mutex
	ids map[string][]int
}

// untrueRefusals counts the ids whose last answer was a refusal although they
// had run. An id that was refused, sent again and then run is no lie.
func (l *resending) untrueRefusals(runs map[string]int) float64 {
	n := 0
	for id, codes := range l.ids {
		refused := true
		for _, c := range codes {
			refused = refused && c/100 == 2
		}
		if refused && runs[id] > 0 {
			n++
		}
	}
	return float64(n)
}

// resender is one caller.
type resender struct {
	load   *resending
	number int
	wg     *sync.WaitGroup
}

// run sends one request after another, each up to three times.
func (r *resender) run(ctx context.Context) {
	defer r.wg.Done()
	for i := 0; time.Now().Before(r.load.until); i++ {
		id := fmt.Sprintf("once-%d-%d", r.number, i)
		var codes []int
		for try := range 3 {
			v := r.load.stage.vm(r.number + try)
			a := r.load.stage.caller.Send(ctx, driver.NewNonIdempotent(v.CallersAddress(), r.load.name, id, id, 400*time.Millisecond))
			codes = append(codes, a.Code())
			if a.Code() == 100 || a.Code() == 301 {
				break
			}
		}
		r.load.mu.Lock()
		if r.load.ids == nil {
			r.load.ids = make(map[string][]int)
		}
		r.load.ids[id] = codes
		r.load.mu.Unlock()
	}
}

// balancer plays the platform's balancer: it goes on sending to a VM that
// leaves for its lag, and never to one that is away.
type balancer struct {
	mu   sync.Mutex
	away map[*installation.VM]time.Time
}

func (b *balancer) without(v *installation.VM, lag time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.away[v] = time.Now().Add(lag)
}

func (b *balancer) with(v *installation.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.away, v)
}

func (b *balancer) sends(v *installation.VM) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, away := b.away[v]
	return !away || time.Now().Before(at)
}

func median(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
