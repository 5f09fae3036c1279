// Package soak runs an installation of the real program as separate processes,
// with drawn faults that come from outside and overlap, and checks the promises
// of the docs from what callers, operators and targets see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/runner/proxy"
)

const (
	controlVMs = 3
	entryVMs   = 3
	callers    = 12
	// settleLimit is how long after the last fault all must be well again.
	settleLimit = 15 * time.Second
	// calmTime is how long callers are served after that, and calmShare the
	// share of their requests that must be.
	calmTime  = 2 * time.Second
	calmShare = 0.95
	// emptied is how long after its acknowledgement a data centre that is out
	// of service gets nothing more.
	emptied = 3 * time.Second
)

var centres = []string{"dc-1", "dc-2", "dc-3"}

// Run is one run of the soak.
type Run struct {
	seed     uint64
	rng      *rand.Rand
	root     string
	journal  *journal
	leafs    []*leaf
	controls []*vm
	entries  []*vm
	operator *operator
	list     *http.Server
	listDown atomic.Bool
	tally    tally
	out      io.Writer

	mu         sync.Mutex
	violations []string
	promised   []string
}

// Start starts an installation of a binary, with its files below a folder.
func Start(binary, root string, seed uint64, out io.Writer) (*Run, error) {
	r := &Run{seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), root: filepath.Join(root, fmt.Sprintf("seed-%d", seed)), out: out,
		journal: &journal{runs: make(map[string]int), lastAt: make(map[string]time.Time)}}
	r.operator = newOperator(r)
	if err := r.start(binary); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Run) start(binary string) error {
	if err := os.MkdirAll(r.root, 0o700); err != nil {
		return errors.Wrap(err, "folder")
	}
	list, err := r.startTargets()
	if err != nil {
		return err
	}
	return r.startVMs(binary, list)
}

// startTargets starts the leafs and the list that names them.
func (r *Run) startTargets() (string, error) {
	services := []string{"once", "long"}
	for n := range shards {
		services = append(services, shardName(n))
	}
	for _, s := range services {
		for _, centre := range centres {
			l, err := newLeaf(s, centre, r.journal)
			if err != nil {
				return "", errors.Wrap(err, "leaf")
			}
			r.leafs = append(r.leafs, l)
		}
	}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "list")
	}
	r.list = &http.Server{Handler: http.HandlerFunc(r.serveList), ReadHeaderTimeout: time.Minute}
	go (&serveLoop{server: r.list, socket: socket}).run()
	return socket.Addr().String(), nil
}

func (r *Run) serveList(w http.ResponseWriter, _ *http.Request) {
	if r.listDown.Load() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	var entries []string
	for _, l := range r.leafs {
		entries = append(entries, l.entry())
	}
	_, _ = io.WriteString(w, `{"targets": [`+strings.Join(entries, ",\n")+`]}`)
}

// startVMs starts the control VMs, each behind a proxy, and the entry VMs.
func (r *Run) startVMs(binary, list string) error {
	var seeds []string
	for n := range controlVMs {
		v, err := newVM(binary, r.root, loopbackOf(r.seed), fmt.Sprintf("control-%d", n+1), true)
		if err != nil {
			return err
		}
		sessions, err := free(loopbackOf(r.seed))
		if err != nil {
			return err
		}
		if v.link, err = proxy.NewDuplex(loopbackOf(r.seed)+":0", sessions); err != nil {
			return err
		}
		seeds = append(seeds, fmt.Sprintf("%q", v.link.Address()))
		r.controls = append(r.controls, v)
	}
	for n := range entryVMs {
		v, err := newVM(binary, r.root, loopbackOf(r.seed), fmt.Sprintf("entry-%d", n+1), false)
		if err != nil {
			return err
		}
		r.entries = append(r.entries, v)
	}
	for _, group := range [][]*vm{r.controls, r.entries} {
		for n, v := range group {
			if err := v.configure(centres[n], strings.Join(seeds, ", "), list, true); err != nil {
				return err
			}
			if err := v.start(); err != nil {
				return errors.Wrap(err, v.name)
			}
		}
	}
	for _, v := range r.controls {
		// Whoever starts again does not found the log a second time.
		v.mu.Lock()
		v.settings = strings.Replace(v.settings, `"first-start": true`, `"first-start": false`, 1)
		v.mu.Unlock()
	}
	return nil
}

// vms returns all processes of the run.
func (r *Run) vms() []*vm { return slices.Concat(r.controls, r.entries) }

// Close ends all that the run started.
func (r *Run) Close() {
	for _, v := range r.vms() {
		if v.command != nil {
			v.kill()
		}
		if v.link != nil {
			v.link.Close()
		}
		_ = v.log.Close()
	}
	for _, l := range r.leafs {
		l.close()
	}
	if r.list != nil {
		_ = r.list.Close()
	}
}

// Execute runs faults for a time, or until ctx ends, and returns what was broken,
// nothing for a run that kept every promise.
func (r *Run) Execute(ctx context.Context, span time.Duration) []string {
	if !r.operator.until(settleLimit, r.operator.publish) || !r.awaitService() {
		r.fail("no service at the start")
		return r.violations
	}
	asking, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Add(callers + 1)
	for n := range callers {
		go newCaller(r, n).loop(asking, &all)
	}
	go r.operator.loop(asking, &all)
	r.faults(ctx, span)
	r.heal()
	if !r.awaitService() {
		r.fail("no service %v after the last fault", settleLimit)
	}
	r.checkCalm()
	r.checkEmptied()
	cancel()
	all.Wait()
	if !r.operator.until(settleLimit, r.operator.read) {
		r.fail("the routes can't be read at the end")
	}
	r.checkRuns()
	r.say("seed %d: %d served, %d refused, %d failed, %d versions acknowledged", r.seed,
		r.tally.served.Load(), r.tally.refused.Load(), r.tally.failed.Load(), r.operator.version)
	return r.violations
}

// awaitService waits until requests of all kinds are answered by all entry VMs.
func (r *Run) awaitService() bool {
	c := newCaller(r, callers)
	for began := time.Now(); time.Since(began) < settleLimit; time.Sleep(callerPause) {
		served := r.tally.served.Load()
		asked := 0
		for _, v := range r.entries {
			for _, path := range []string{pathShards, pathLong} {
				c.ask(v, http.MethodGet, path, fmt.Sprintf("w%d-%d", time.Now().UnixNano(), asked))
				asked++
			}
		}
		if r.tally.served.Load()-served >= int64(asked) {
			return true
		}
	}
	return false
}

// checkCalm checks that callers are served once all is well.
func (r *Run) checkCalm() {
	served, other := r.tally.served.Load(), r.tally.refused.Load()+r.tally.failed.Load()
	time.Sleep(calmTime)
	served = r.tally.served.Load() - served
	other = r.tally.refused.Load() + r.tally.failed.Load() - other
	if share := float64(served) / float64(max(1, served+other)); share < calmShare {
		r.fail("%.2f of %d requests were served without any fault", share, served+other)
	}
}

// checkEmptied takes a data centre out and checks that it gets nothing more.
func (r *Run) checkEmptied() {
	centre := centres[r.rng.IntN(len(centres))]
	if !r.operator.withdraw(centre, true) {
		r.fail("a data centre can't be taken out of service")
		return
	}
	acked := time.Now()
	time.Sleep(emptied + time.Second)
	if last := r.journal.last(centre); last.Sub(acked) > emptied {
		r.fail("%s got a request %v after it was out of service", centre, last.Sub(acked))
	}
	if !r.operator.withdraw(centre, false) {
		r.fail("a data centre can't be taken back")
	}
}

// refused notes a request that was promised not to have run.
func (r *Run) refused(id string) {
	r.tally.refused.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.promised = append(r.promised, id)
}

// checkRuns checks that nothing ran twice that may not, and that what was said
// not to have run did not.
func (r *Run) checkRuns() {
	r.mu.Lock()
	promised := r.promised
	r.mu.Unlock()
	for _, id := range promised {
		if n := r.journal.count(id); n > 0 {
			r.fail("request %s was refused as not run and ran %d times", id, n)
		}
	}
	r.journal.mu.Lock()
	defer r.journal.mu.Unlock()
	for id, n := range r.journal.runs {
		var caller, number int
		if k, err := fmt.Sscanf(id, "c%d-%d", &caller, &number); err == nil && k == 2 && number%4 == 0 && n > 1 {
			r.fail("request %s ran %d times", id, n)
		}
	}
}

// fail notes a broken promise.
func (r *Run) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.violations = append(r.violations, text)
	r.mu.Unlock()
	r.say("seed %d: BROKEN: %s", r.seed, text)
}

// Discard removes the logs and data of the run.
func (r *Run) Discard() error { return os.RemoveAll(r.root) }

func (r *Run) say(format string, args ...any) {
	// A report that can't be written changes no verdict.
	_, _ = fmt.Fprintf(r.out, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}
