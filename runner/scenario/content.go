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
// while queries run. In between, each leaf holds both snapshots. At the end,
// one leaf of each service holds only a third snapshot and answers from it,
// even if the sub-request names another one.
func snapshotRoll(ctx context.Context, tb *testbed) error {
	var leafs []string
	for _, service := range tb.inst.Configuration().Services() {
		for _, l := range service.Leafs() {
			leafs = append(leafs, l.Name())
		}
	}
	rng := rand.New(rand.NewPCG(tb.inst.Seed(), 8))
	load := tb.startLoad(ctx, 60, 16*time.Second)
	for _, snapshots := range []string{"snapshot-0001,snapshot-0002", "snapshot-0002"} {
		time.Sleep(time.Second)
		rng.Shuffle(len(leafs), func(i, j int) { leafs[i], leafs[j] = leafs[j], leafs[i] })
		for _, l := range leafs {
			if err := tb.setBehaviour(l, "snapshots", snapshots); err != nil {
				return err
			}
			time.Sleep(40 * time.Millisecond)
		}
	}
	// Results of leafs that ignore the requested snapshot must not be mixed
	// into an answer either.
	if err := tb.setBehaviour(firstLeafsPattern, "ignores-pin", "true"); err != nil {
		return err
	}
	if err := tb.setBehaviour(firstLeafsPattern, "snapshots", "snapshot-0003"); err != nil {
		return err
	}
	answers := load.wait()
	records, err := tb.readJournal()
	if err != nil {
		return err
	}
	tb.atMost("answers that mix or overstate", countContradicted(answers, records), 0, 0)
	tb.completeAtLeast("complete", answers, 0.99)
	return nil
}

// badAnswers makes leafs spoil a tenth of their responses, in five ways with a
// probability of 2 % each: the result of another request (crossed), a response
// cut off before its end (truncated), an oversized body, a malformed body, and
// a connection closed without a response (dropped).
func badAnswers(ctx context.Context, tb *testbed) error {
	for _, fault := range []string{"crossed", "truncated", "oversized", "malformed", "dropped"} {
		if err := tb.setBehaviour("*", fault, "0.02"); err != nil {
			return err
		}
	}
	answers := tb.sendLoad(ctx, 60, 12*time.Second)
	records, err := tb.readJournal()
	if err != nil {
		return err
	}
	tb.atMost("answers with foreign or uncounted content", countContradicted(answers, records), 0, 0)
	tb.atMost("spoiled results that were counted", countSpoiledResults(answers, records), 0, 0)
	tb.atMost("answers after their deadline", countAnswers(answers, isLate), 0, 0)
	return nil
}

// countSpoiledResults counts the results in answers for which the journal has
// no record that the leaf ran a sub-request of that caller and returned an
// unspoiled response.
func countSpoiledResults(answers []driver.Answer, records []record) float64 {
	intact := make(map[string]int)
	for _, r := range records {
		if r.outcome == "ran" && r.fault == "" {
			intact[r.caller+" "+r.leaf]++
		}
	}
	n := 0
	for _, a := range answers {
		for _, leaf := range a.ResultLeafs() {
			if intact[a.CallerID()+" "+leaf] == 0 {
				n++
			}
		}
	}
	return float64(n)
}

// atMostOnce sends non-idempotent requests while leafs shed load, stop
// responding, drop answers, leave and restart, and while a VM is killed and
// restarted. Callers send a request through one VM after another until its
// outcome is known, at most three times in all.
func atMostOnce(ctx context.Context, tb *testbed) error {
	request := tb.inst.Configuration().NonIdempotentRequests()[0]
	load := &resendLoad{testbed: tb, name: request.Name(), end: time.Now().Add(20 * time.Second)}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Add(1)
		go (&resendingCaller{load: load, number: i, wg: &wg}).run(ctx)
	}
	pattern := request.Service() + "-*"
	for _, setting := range []string{"dropped=0.2", "silent=true", "shedding=true", "truncated=0.2", "leaving=true", "restart-cold=true"} {
		key, value := splitSetting(setting)
		if err := tb.setBehaviour(pattern, key, value); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		if err := tb.setBehaviour(pattern, key, resetValue(value)); err != nil {
			return err
		}
	}
	restarted := tb.inst.VMs()[2]
	tb.inst.KillVM(restarted)
	if err := tb.inst.StartVM(restarted); err != nil {
		return err
	}
	wg.Wait()
	records, err := tb.readJournal()
	if err != nil {
		return err
	}
	runs := make(map[string]int)
	for _, r := range records {
		if r.operation == request.Name() && r.outcome == "ran" {
			runs[r.caller]++
		}
	}
	duplicates := 0
	for _, n := range runs {
		if n > 1 {
			duplicates++
		}
	}
	tb.atMost("request ids that ran twice", float64(duplicates), 0, 0)
	tb.atMost("untrue 'not run'", load.refusedIDsThatRan(runs), 0, 0)
	tb.atLeast("request ids sent", float64(len(load.codesByID)), 0, 100)
	return nil
}

// splitSetting splits a setting of the form key=value.
func splitSetting(setting string) (key, value string) {
	i := slices.Index([]byte(setting), '=')
	return setting[:i], setting[i+1:]
}

// resetValue returns the value that switches off a setting with the given
// value.
func resetValue(value string) string {
	if value == "true" {
		return "false"
	}
	return "0"
}

// resendLoad is the state that the callers of atMostOnce share. codesByID holds
// the result codes of all attempts for each request id.
type resendLoad struct {
	testbed *testbed
	name    string
	end     time.Time

	mu        sync.Mutex
	codesByID map[string][]int
}

// refusedIDsThatRan counts the request ids that ran although every answer to
// them was a refusal, which states that the request did not run. An id that was
// refused, sent again and then run is correct. The map runs holds how often each
// id ran according to the journal.
func (l *resendLoad) refusedIDsThatRan(runs map[string]int) float64 {
	n := 0
	for id, codes := range l.codesByID {
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

// resendingCaller is one caller of atMostOnce.
type resendingCaller struct {
	load   *resendLoad
	number int
	wg     *sync.WaitGroup
}

// run sends one request after another. Each is sent up to three times, until
// the result code is 100 (complete) or 301 (claimed-before, so an earlier
// attempt claimed the request id).
func (r *resendingCaller) run(ctx context.Context) {
	defer r.wg.Done()
	for i := 0; time.Now().Before(r.load.end); i++ {
		id := fmt.Sprintf("once-%d-%d", r.number, i)
		var codes []int
		for attempt := range 3 {
			v := r.load.testbed.vmFor(r.number + attempt)
			a := r.load.testbed.caller.Send(ctx, driver.NewNonIdempotent(v.CallersAddress(), r.load.name, id, id, 400*time.Millisecond))
			codes = append(codes, a.Code())
			if a.Code() == 100 || a.Code() == 301 {
				break
			}
		}
		r.load.mu.Lock()
		if r.load.codesByID == nil {
			r.load.codesByID = make(map[string][]int)
		}
		r.load.codesByID[id] = codes
		r.load.mu.Unlock()
	}
}

// balancer models the platform's load balancer. It goes on sending requests to
// a removed VM for the balancer's lag and then stops. The map stopsAt holds the
// time from which a removed VM gets no more requests.
type balancer struct {
	mu      sync.Mutex
	stopsAt map[*installation.VM]time.Time
}

// remove takes a VM out of rotation after the lag.
func (b *balancer) remove(v *installation.VM, lag time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopsAt[v] = time.Now().Add(lag)
}

// restore puts a VM back into rotation.
func (b *balancer) restore(v *installation.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.stopsAt, v)
}

// sendsTo reports whether the balancer still sends requests to a VM.
func (b *balancer) sendsTo(v *installation.VM) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, removed := b.stopsAt[v]
	return !removed || time.Now().Before(at)
}

// floatQuantile returns the q-quantile of values, with q from 0 to 1 and the
// rank rounded down. It sorts values in place, and they must not be empty.
func floatQuantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
