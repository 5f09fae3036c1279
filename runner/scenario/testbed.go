// Package scenario measures an installation of real processes under load and
// faults, and compares each measurement with a baseline and a bound. Answers are
// checked against the stand-in's journal instead of the VMs' own statements.
package scenario

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/version/document"
	"github.com/mulberrydale/mulberrydale/runner/driver"
	"github.com/mulberrydale/mulberrydale/runner/installation"
)

// Under a load of warmUpRate queries a second for warmUpTime, all targets
// become warm.
const (
	warmUpRate = 60
	warmUpTime = 8 * time.Second
)

// testbed is a running installation, the caller that sends load to it, and the
// measurements of a scenario. query is the name of the query that sendLoad
// sends, which asks 15 services.
type testbed struct {
	inst         *installation.Installation
	caller       *driver.Caller
	query        string
	deployment   string
	requestCount atomic.Int64
	measurements []Measurement
	scenario     string

	balancer balancer
}

// setUp starts an installation of n VMs, applies its configuration, and sends
// load for warmUpTime, so that the targets are warm. The testbed is returned
// together with an error if processes may have been started.
func setUp(ctx context.Context, binaryFolder, folder, file string, n int, seed uint64) (*testbed, error) {
	inst, err := installation.New(binaryFolder, folder, file, n, seed, true)
	if err != nil {
		return nil, err
	}
	tb := &testbed{inst: inst, caller: driver.NewCaller(), deployment: inst.Configuration().Operator(),
		balancer: balancer{stopsAt: make(map[*installation.VM]time.Time)}}
	for _, q := range inst.Configuration().Queries() {
		if len(q.Services()) == 15 {
			tb.query = q.Name()
		}
	}
	if err := inst.Start(ctx); err != nil {
		return tb, err
	}
	if _, err := inst.RunCtl(ctx, inst.VMs()[0], "--yes", "apply", file); err != nil {
		return tb, err
	}
	if err := inst.WaitReady(ctx); err != nil {
		return tb, err
	}
	time.Sleep(time.Second)
	tb.sendLoad(ctx, warmUpRate, warmUpTime)
	return tb, tb.clearJournal()
}

// atMost adds a measurement with an upper bound.
func (tb *testbed) atMost(figure string, value, baseline, bound float64) {
	tb.measurements = append(tb.measurements, Measurement{Scenario: tb.scenario, Deployment: tb.deployment, Figure: figure, Value: value, Baseline: baseline, Bound: bound})
}

// atLeast adds a measurement with a lower bound.
func (tb *testbed) atLeast(figure string, value, baseline, bound float64) {
	tb.atMost(figure, value, baseline, bound)
	tb.measurements[len(tb.measurements)-1].AtLeast = true
}

// completeAtLeast adds the fraction of the answers that are complete, with a
// lower bound. If the fraction is lower, it prints a summary of the other
// answers.
func (tb *testbed) completeAtLeast(figure string, answers []driver.Answer, bound float64) {
	fraction := fractionOf(answers, isComplete)
	tb.atLeast(figure, fraction, 1, bound)
	if fraction < bound {
		fmt.Println("  " + summarizeIncomplete(answers))
	}
}

// vmFor returns the VM that request i goes to: the VMs in turn, without those
// to which the balancer doesn't send. If it sends to none, vmFor returns the
// first VM.
func (tb *testbed) vmFor(i int) *installation.VM {
	vms := tb.inst.VMs()
	for j := range vms {
		if v := vms[(i+j)%len(vms)]; tb.balancer.sendsTo(v) {
			return v
		}
	}
	return vms[0]
}

// openedConnections returns the number of connections that all VMs together
// have opened to targets.
func (tb *testbed) openedConnections(ctx context.Context) (float64, error) {
	total := 0.0
	for _, v := range tb.inst.VMs() {
		n, err := readMetric(ctx, v.OperatorsAddress(), "mulberrydale_leaf_dials")
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

// readMetric reads the metrics of the VM at an operators' address and returns
// the sum of all values whose metric name starts with name.
func readMetric(ctx context.Context, address, name string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return 0, errors.Wrap(err, "create the request for the metrics")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "request the metrics")
	}
	defer res.Body.Close()
	total := 0.0
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		line := lines.Text()
		if !strings.HasPrefix(line, name) {
			continue
		}
		var n float64
		if _, err := fmt.Sscan(line[strings.LastIndexByte(line, ' ')+1:], &n); err != nil {
			return 0, errors.Wrapf(err, "parse a value of metric %s", name)
		}
		total += n
	}
	return total, errors.Wrap(lines.Err(), "read the metrics")
}

// sendLoad sends the 15-service query to all VMs in turn, at the given number
// of queries a second, and returns the answers.
func (tb *testbed) sendLoad(ctx context.Context, rate float64, d time.Duration) []driver.Answer {
	return tb.sendLoadTo(ctx, rate, d, tb.vmFor)
}

// sendLoadTo is like sendLoad, but sends request i to the VM to(i).
func (tb *testbed) sendLoadTo(ctx context.Context, rate float64, d time.Duration, to func(i int) *installation.VM) []driver.Answer {
	return driver.NewLoad(tb.caller, rate, func(i int) driver.Request {
		return driver.NewQuery(to(i).CallersAddress(), tb.query, tb.nextCallerID(), callerDeadline)
	}).Run(ctx, d)
}

// callerDeadline is the deadline of the queries that scenarios send.
const callerDeadline = 260 * time.Millisecond

// nextCallerID returns a caller id that is unique within the testbed.
func (tb *testbed) nextCallerID() string { return fmt.Sprintf("call-%d", tb.requestCount.Add(1)) }

// backgroundLoad is a load that runs while the scenario goes on.
type backgroundLoad struct {
	testbed  *testbed
	rate     float64
	duration time.Duration
	answers  []driver.Answer
	done     chan struct{}
}

// startLoad starts a load in the background. Its method wait blocks until the
// load ends and returns the answers.
func (tb *testbed) startLoad(ctx context.Context, rate float64, d time.Duration) *backgroundLoad {
	b := &backgroundLoad{testbed: tb, rate: rate, duration: d, done: make(chan struct{})}
	go b.run(ctx)
	return b
}

func (b *backgroundLoad) run(ctx context.Context) {
	defer close(b.done)
	b.answers = b.testbed.sendLoad(ctx, b.rate, b.duration)
}

func (b *backgroundLoad) wait() []driver.Answer {
	<-b.done
	return b.answers
}

// setBehaviour changes one setting of the behaviour of the stand-in's leafs.
// leafs is a pattern of leaf names, or the name of a data centre, which stands
// for all leafs in it.
func (tb *testbed) setBehaviour(leafs, key, value string) error {
	q := url.Values{"leafs": {leafs}, "key": {key}, "value": {value}}
	res, err := http.Post("http://"+tb.inst.StandinAddress()+"/set?"+q.Encode(), "", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "send a setting to the stand-in")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body)
		return errors.Newf("stand-in: leafs %s: setting %s was rejected: %s", leafs, key, text)
	}
	return nil
}

// clearJournal empties the stand-in's journal.
func (tb *testbed) clearJournal() error {
	req, err := http.NewRequest(http.MethodDelete, "http://"+tb.inst.StandinAddress()+"/journal", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "create the request to clear the journal of the stand-in")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "clear the journal of the stand-in")
	}
	return res.Body.Close()
}

// readJournal returns the records of the stand-in's journal in order of time.
func (tb *testbed) readJournal() ([]record, error) {
	res, err := http.Get("http://" + tb.inst.StandinAddress() + "/journal")
	if err != nil {
		return nil, errors.Wrap(err, "request the journal of the stand-in")
	}
	defer res.Body.Close()
	var records []record
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		doc, err := document.Parse(lines.Bytes())
		if err != nil {
			return nil, err
		}
		o := doc.Root()
		records = append(records, record{
			at: time.UnixMicro(int64(o.Int("at-us", 0, 1<<60))), leaf: o.String("leaf"), operation: o.String("operation"),
			caller: o.String("caller"), snapshot: o.String("snapshot"), outcome: o.String("outcome"),
			fault: o.String("fault"), subRequestID: o.String("request"), cold: o.Bool("cold"),
		})
	}
	// The stand-in writes a record when a request ends, with the time at which
	// it arrived.
	slices.SortFunc(records, func(a, b record) int { return a.at.Compare(b.at) })
	return records, errors.Wrap(lines.Err(), "read the journal of the stand-in")
}

// close kills the processes of the installation and closes its proxies.
func (tb *testbed) close() {
	tb.inst.Close()
}

// firstLeafsPattern matches the first leaf of each service.
const firstLeafsPattern = "*-01"

// Run runs the scenarios whose name starts with one of the prefixes against a
// deployment, and reports the measurements of each scenario as soon as it ends.
// It stops at the first scenario that returns an error, whose measurements so
// far are reported and returned too, and whose folder is kept.
func Run(ctx context.Context, binaryFolder, file string, prefixes []string, seed uint64, report func([]Measurement)) ([]Measurement, error) {
	var measurements []Measurement
	for _, sc := range scenarios {
		if !slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(sc.name, prefix) }) {
			continue
		}
		folder, err := os.MkdirTemp("", "mulberrydale-bench-")
		if err != nil {
			return measurements, errors.Wrap(err, "create the folder of the scenario")
		}
		tb, err := setUp(ctx, binaryFolder, folder, file, sc.vms, seed)
		if err == nil {
			tb.scenario = sc.name
			err = sc.run(ctx, tb)
		}
		if tb != nil {
			tb.close()
			measurements = append(measurements, tb.measurements...)
			report(tb.measurements)
		}
		if err != nil {
			return measurements, errors.Wrapf(err, "run scenario %s", sc.name)
		}
		if err := os.RemoveAll(folder); err != nil {
			return measurements, errors.Wrap(err, "remove the folder of the scenario")
		}
	}
	return measurements, nil
}
