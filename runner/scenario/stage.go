// Package scenario measures an installation of real processes under load and
// faults, each figure beside its baseline and its bound. Answers are judged by
// the stand-in's journal, not by what the tier says of itself.
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

// warmRate and warmTime are the load under which targets prove to be warm.
const (
	warmRate = 60
	warmTime = 8 * time.Second
)

// stage is a running installation with callers.
type stage struct {
	in     *installation.Installation
	caller *driver.Caller
	query  string
	name   string
	count  atomic.Int64
	rows   []Measurement
	title  string

	balancer balancer
}

// open starts an installation of n VMs, applies its configuration and lets the
// targets warm up under load.
func open(ctx context.Context, binaries, folder, file string, n int, seed uint64) (*stage, error) {
	in, err := installation.New(binaries, folder, file, n, seed, true)
	if err != nil {
		return nil, err
	}
	s := &stage{in: in, caller: driver.NewCaller(), name: in.Configuration().Operator(),
		balancer: balancer{away: make(map[*installation.VM]time.Time)}}
	for _, q := range in.Configuration().Queries() {
		if len(q.Services()) == 15 {
			s.query = q.Name()
		}
	}
	if err := in.Start(ctx); err != nil {
		return s, err
	}
	if _, err := in.RunCtl(ctx, in.VMs()[0], "--yes", "apply", file); err != nil {
		return s, err
	}
	if err := in.WaitReady(ctx); err != nil {
		return s, err
	}
	time.Sleep(time.Second)
	s.load(ctx, warmRate, warmTime)
	return s, s.clear()
}

// row adds a figure that must stay under its bound.
func (s *stage) row(figure string, value, baseline, bound float64) {
	s.rows = append(s.rows, Measurement{Scenario: s.title, Deployment: s.name, Figure: figure, Value: value, Baseline: baseline, Bound: bound})
}

// atLeast adds a figure that must reach its bound.
func (s *stage) atLeast(figure string, value, baseline, bound float64) {
	s.row(figure, value, baseline, bound)
	s.rows[len(s.rows)-1].AtLeast = true
}

// complete adds the part of the answers that are complete, and explains those
// that are not where the bound is not kept.
func (s *stage) complete(figure string, answers []driver.Answer, bound float64) {
	part := share(answers, complete)
	s.atLeast(figure, part, 1, bound)
	if part < bound {
		fmt.Println("  " + explain(answers))
	}
}

// vm returns the VM that request i goes to: one after another, but for those
// that the balancer knows to be away.
func (s *stage) vm(i int) *installation.VM {
	vms := s.in.VMs()
	for j := range vms {
		if v := vms[(i+j)%len(vms)]; s.balancer.sends(v) {
			return v
		}
	}
	return vms[0]
}

// dials returns the connections that all VMs have opened to targets.
func (s *stage) dials(ctx context.Context) (float64, error) {
	total := 0.0
	for _, v := range s.in.VMs() {
		n, err := metric(ctx, v.OperatorsAddress(), "mulberrydale_leaf_dials")
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

// metric reads one metric of a VM, summed over its tags.
func metric(ctx context.Context, address, name string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return 0, errors.Wrap(err, "metrics")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "metrics")
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
			return 0, errors.Wrap(err, name)
		}
		total += n
	}
	return total, errors.Wrap(lines.Err(), "metrics")
}

// load sends the 15-service query at a rate to all VMs in turn.
func (s *stage) load(ctx context.Context, rate float64, d time.Duration) []driver.Answer {
	return s.loadTo(ctx, rate, d, s.vm)
}

func (s *stage) loadTo(ctx context.Context, rate float64, d time.Duration, to func(i int) *installation.VM) []driver.Answer {
	return driver.NewLoad(s.caller, rate, func(i int) driver.Request {
		return driver.NewQuery(to(i).CallersAddress(), s.query, s.nextID(), deadline)
	}).Run(ctx, d)
}

// deadline is what callers of the scenarios allow.
const deadline = 260 * time.Millisecond

func (s *stage) nextID() string { return fmt.Sprintf("call-%d", s.count.Add(1)) }

// background is a load that runs beside what a scenario does.
type background struct {
	stage   *stage
	rate    float64
	d       time.Duration
	answers []driver.Answer
	done    chan struct{}
}

func (s *stage) start(ctx context.Context, rate float64, d time.Duration) *background {
	b := &background{stage: s, rate: rate, d: d, done: make(chan struct{})}
	go b.run(ctx)
	return b
}

func (b *background) run(ctx context.Context) {
	defer close(b.done)
	b.answers = b.stage.load(ctx, b.rate, b.d)
}

func (b *background) wait() []driver.Answer {
	<-b.done
	return b.answers
}

// set switches a behaviour of the stand-in's leafs.
func (s *stage) set(leafs, key, value string) error {
	q := url.Values{"leafs": {leafs}, "key": {key}, "value": {value}}
	res, err := http.Post("http://"+s.in.StandinAddress()+"/set?"+q.Encode(), "", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body)
		return errors.Newf("stand-in: %s %s: %s", leafs, key, text)
	}
	return nil
}

// clear empties the journal.
func (s *stage) clear() error {
	req, err := http.NewRequest(http.MethodDelete, "http://"+s.in.StandinAddress()+"/journal", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	return res.Body.Close()
}

// journal reads the journal.
func (s *stage) journal() ([]record, error) {
	res, err := http.Get("http://" + s.in.StandinAddress() + "/journal")
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	defer res.Body.Close()
	var out []record
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		doc, err := document.Parse(lines.Bytes())
		if err != nil {
			return nil, err
		}
		o := doc.Root()
		out = append(out, record{
			at: time.UnixMicro(int64(o.Int("at-us", 0, 1<<60))), leaf: o.String("leaf"), operation: o.String("operation"),
			caller: o.String("caller"), snapshot: o.String("snapshot"), outcome: o.String("outcome"),
			fault: o.String("fault"), sub: o.String("request"), cold: o.Bool("cold"),
		})
	}
	// A record is written at the end of a request and says when it arrived.
	slices.SortFunc(out, func(a, b record) int { return a.at.Compare(b.at) })
	return out, errors.Wrap(lines.Err(), "journal")
}

// close ends the installation.
func (s *stage) close() {
	s.in.Close()
}

// firstLeafs returns a pattern of the first leaf of each service.
const firstLeafs = "*-01"

// Run runs the scenarios whose name starts with one of the prefixes against
// a deployment, and reports the rows of each as soon as it ends.
func Run(ctx context.Context, binaries, file string, only []string, seed uint64, report func([]Measurement)) ([]Measurement, error) {
	var rows []Measurement
	for _, sc := range scenarios {
		if !slices.ContainsFunc(only, func(prefix string) bool { return strings.HasPrefix(sc.name, prefix) }) {
			continue
		}
		folder, err := os.MkdirTemp("", "mulberrydale-bench-")
		if err != nil {
			return rows, errors.Wrap(err, "folder")
		}
		s, err := open(ctx, binaries, folder, file, sc.vms, seed)
		if err == nil {
			s.title = sc.name
			err = sc.run(ctx, s)
		}
		if s != nil {
			s.close()
			rows = append(rows, s.rows...)
			report(s.rows)
		}
		if err != nil {
			return rows, errors.Wrapf(err, "scenario %s", sc.name)
		}
		if err := os.RemoveAll(folder); err != nil {
			return rows, errors.Wrap(err, "folder")
		}
	}
	return rows, nil
}
