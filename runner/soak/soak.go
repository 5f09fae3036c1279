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
	controlVMs  = 3
	entryVMs    = 3
	callerCount = 12
	// recoveryTimeout is how long after the last fault all must be well again.
	recoveryTimeout = 15 * time.Second
	// calmDuration is how long callers are served after that, and calmShare the
	// share of their requests that must be.
	calmDuration   = 2 * time.Second
	minServedShare = 0.95
	// drainTimeout is how long after its acknowledgement a data centre that is out
	// of service gets nothing more.
	drainTimeout = 3 * time.Second
)

var centres = []string{"dc-1", "dc-2", "dc-3"}

// Run is one run of the soak.
type Run struct {
	seed           uint64
	rng            *rand.Rand
	folder         string
	executions     *executionLog
	leafs          []*leaf
	controls       []*vm
	entries        []*vm
	operator       *operator
	targetList     *http.Server
	targetListDown atomic.Bool
	outcomes       outcomeCounts
	out            io.Writer

	mu         sync.Mutex
	violations []string
	refusedIDs []string
}

// Start starts an installation of a binary, with its files below a folder.
func Start(binary, root string, seed uint64, out io.Writer) (*Run, error) {
	r := &Run{seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), folder: filepath.Join(root, fmt.Sprintf("seed-%d", seed)), out: out,
		executions: &executionLog{counts: make(map[string]int), lastArrivals: make(map[string]time.Time)}}
	r.operator = newOperator(r)
	if err := r.start(binary); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Run) start(binary string) error {
	if err := os.MkdirAll(r.folder, 0o700); err != nil {
		return errors.Wrap(err, "folder")
	}
	targetsAddress, err := r.startTargets()
	if err != nil {
		return err
	}
	return r.startVMs(binary, targetsAddress)
}

// startTargets starts the leafs and the list that names them.
func (r *Run) startTargets() (string, error) {
	services := []string{"once", "long"}
	for n := range shardCount {
		services = append(services, shardName(n))
	}
	for _, s := range services {
		for _, centre := range centres {
			l, err := newLeaf(s, centre, r.executions)
			if err != nil {
				return "", errors.Wrap(err, "leaf")
			}
			r.leafs = append(r.leafs, l)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "list")
	}
	r.targetList = &http.Server{Handler: http.HandlerFunc(r.serveTargetList), ReadHeaderTimeout: time.Minute}
	go (&serveLoop{server: r.targetList, listener: listener}).run()
	return listener.Addr().String(), nil
}

func (r *Run) serveTargetList(w http.ResponseWriter, _ *http.Request) {
	if r.targetListDown.Load() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	var entries []string
	for _, l := range r.leafs {
		entries = append(entries, l.listEntry())
	}
	_, _ = io.WriteString(w, `{"targets": [`+strings.Join(entries, ",\n")+`]}`)
}

// startVMs starts the control VMs, each behind a proxy, and the entry VMs.
func (r *Run) startVMs(binary, targetsAddress string) error {
	var seeds []string
	for n := range controlVMs {
		v, err := newVM(binary, r.folder, loopbackIP(r.seed), fmt.Sprintf("control-%d", n+1), true)
		if err != nil {
			return err
		}
		sessionsAddress, err := freeAddress(loopbackIP(r.seed))
		if err != nil {
			return err
		}
		if v.sessionsProxy, err = proxy.NewDuplex(loopbackIP(r.seed)+":0", sessionsAddress); err != nil {
			return err
		}
		seeds = append(seeds, fmt.Sprintf("%q", v.sessionsProxy.Address()))
		r.controls = append(r.controls, v)
	}
	for n := range entryVMs {
		v, err := newVM(binary, r.folder, loopbackIP(r.seed), fmt.Sprintf("entry-%d", n+1), false)
		if err != nil {
			return err
		}
		r.entries = append(r.entries, v)
	}
	for _, group := range [][]*vm{r.controls, r.entries} {
		for n, v := range group {
			if err := v.configure(centres[n], strings.Join(seeds, ", "), targetsAddress, true); err != nil {
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
		if v.sessionsProxy != nil {
			v.sessionsProxy.Close()
		}
		_ = v.log.Close()
	}
	for _, l := range r.leafs {
		l.close()
	}
	if r.targetList != nil {
		_ = r.targetList.Close()
	}
}

// Execute runs faults for a time, or until ctx ends, and returns what was broken,
// nothing for a run that kept every promise.
func (r *Run) Execute(ctx context.Context, span time.Duration) []string {
	if !r.operator.retry(recoveryTimeout, r.operator.publish) || !r.awaitService() {
		r.reportViolation("no service at the start")
		return r.violations
	}
	loadCtx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(callerCount + 1)
	for n := range callerCount {
		go newCaller(r, n).loop(loadCtx, &wg)
	}
	go r.operator.loop(loadCtx, &wg)
	r.injectFaults(ctx, span)
	r.clearFaults()
	if !r.awaitService() {
		r.reportViolation("no service %v after the last fault", recoveryTimeout)
	}
	r.checkServedShare()
	r.checkDrain()
	cancel()
	wg.Wait()
	if !r.operator.retry(recoveryTimeout, r.operator.read) {
		r.reportViolation("the routes can't be read at the end")
	}
	r.checkExecutions()
	r.logf("seed %d: %d served, %d refused, %d failed, %d versions acknowledged", r.seed,
		r.outcomes.served.Load(), r.outcomes.refused.Load(), r.outcomes.failed.Load(), r.operator.ackedVersion)
	return r.violations
}

// awaitService waits until requests of all kinds are answered by all entry VMs.
func (r *Run) awaitService() bool {
	c := newCaller(r, callerCount)
	for start := time.Now(); time.Since(start) < recoveryTimeout; time.Sleep(callerInterval) {
		served := r.outcomes.served.Load()
		sent := 0
		for _, v := range r.entries {
			for _, path := range []string{pathShards, pathLong} {
				c.send(v, http.MethodGet, path, fmt.Sprintf("w%d-%d", time.Now().UnixNano(), sent))
				sent++
			}
		}
		if r.outcomes.served.Load()-served >= int64(sent) {
			return true
		}
	}
	return false
}

// checkServedShare checks that callers are served once all is well.
func (r *Run) checkServedShare() {
	served, other := r.outcomes.served.Load(), r.outcomes.refused.Load()+r.outcomes.failed.Load()
	time.Sleep(calmDuration)
	served = r.outcomes.served.Load() - served
	other = r.outcomes.refused.Load() + r.outcomes.failed.Load() - other
	if share := float64(served) / float64(max(1, served+other)); share < minServedShare {
		r.reportViolation("%.2f of %d requests were served without any fault", share, served+other)
	}
}

// checkDrain takes a data centre out and checks that it gets nothing more.
func (r *Run) checkDrain() {
	centre := centres[r.rng.IntN(len(centres))]
	if !r.operator.setOutOfService(centre, true) {
		r.reportViolation("a data centre can't be taken out of service")
		return
	}
	ackedAt := time.Now()
	time.Sleep(drainTimeout + time.Second)
	if last := r.executions.lastArrival(centre); last.Sub(ackedAt) > drainTimeout {
		r.reportViolation("%s got a request %v after it was out of service", centre, last.Sub(ackedAt))
	}
	if !r.operator.setOutOfService(centre, false) {
		r.reportViolation("a data centre can't be taken back")
	}
}

// recordRefusal notes a request that was promised not to have run.
func (r *Run) recordRefusal(id string) {
	r.outcomes.refused.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedIDs = append(r.refusedIDs, id)
}

// checkExecutions checks that nothing ran twice that may not, and that what was said
// not to have run did not.
func (r *Run) checkExecutions() {
	r.mu.Lock()
	refusedIDs := r.refusedIDs
	r.mu.Unlock()
	for _, id := range refusedIDs {
		if n := r.executions.count(id); n > 0 {
			r.reportViolation("request %s was refused as not run and ran %d times", id, n)
		}
	}
	r.executions.mu.Lock()
	defer r.executions.mu.Unlock()
	for id, n := range r.executions.counts {
		var caller, number int
		if k, err := fmt.Sscanf(id, "c%d-%d", &caller, &number); err == nil && k == 2 && number%4 == 0 && n > 1 {
			r.reportViolation("request %s ran %d times", id, n)
		}
	}
}

// reportViolation notes a broken promise.
func (r *Run) reportViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.violations = append(r.violations, text)
	r.mu.Unlock()
	r.logf("seed %d: BROKEN: %s", r.seed, text)
}

// Discard removes the logs and data of the run.
func (r *Run) Discard() error { return os.RemoveAll(r.folder) }

func (r *Run) logf(format string, args ...any) {
	// A report that can't be written changes no verdict.
	_, _ = fmt.Fprintf(r.out, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}
