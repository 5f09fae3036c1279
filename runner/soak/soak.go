// Package soak starts an installation of the real binary as separate processes,
// injects random, overlapping faults into it from outside, and checks the
// guarantees of the documentation by what callers, operators and targets
// observe.
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
	// recoveryTimeout bounds the time after the start, and after the last fault,
	// until every entry VM answers shards and long requests. It also bounds the
	// retries of the first publication and of the last read of the routes.
	recoveryTimeout = 15 * time.Second
	// faultFreeDuration is how long requests are counted after the recovery, and
	// minServedShare the smallest share of them that must be served.
	faultFreeDuration = 2 * time.Second
	minServedShare    = 0.95
	// drainTimeout is how long a data centre may still get requests after the
	// call that took it out of service was acknowledged.
	drainTimeout = 3 * time.Second
)

var centres = []string{"dc-1", "dc-2", "dc-3"}

// Run is an installation under test with its fake targets, its callers and its
// operator. Faults are drawn from a random number generator with the run's
// seed.
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
	// refusedIDs holds the ids of the requests that were refused with status
	// 503, which guarantees that they were not executed.
	refusedIDs []string
}

// Start starts an installation of the binary. The run's files are in a folder
// named after the seed below root; its progress and its violations are written
// to out.
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
		return errors.Wrap(err, "create the folder of the run")
	}
	targetsAddress, err := r.startTargets()
	if err != nil {
		return err
	}
	return r.startVMs(binary, targetsAddress)
}

// startTargets starts the leafs and the server of the list of targets, and
// returns the address of the server.
func (r *Run) startTargets() (string, error) {
	services := []string{"once", "long"}
	for n := range shardCount {
		services = append(services, shardName(n))
	}
	for _, s := range services {
		for _, centre := range centres {
			l, err := newLeaf(s, centre, r.executions)
			if err != nil {
				return "", errors.Wrap(err, "start a leaf")
			}
			r.leafs = append(r.leafs, l)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for the server of the target list")
	}
	r.targetList = &http.Server{Handler: http.HandlerFunc(r.serveTargetList), ReadHeaderTimeout: time.Minute}
	go (&serveLoop{server: r.targetList, listener: listener}).run()
	return listener.Addr().String(), nil
}

// serveTargetList answers with the list of targets, or with status 429 while
// the list is down.
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

// startVMs starts the control VMs, each with a proxy in front of its sessions
// address, and the entry VMs.
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
				return errors.Wrapf(err, "start VM %s", v.name)
			}
		}
	}
	for _, v := range r.controls {
		// A restarted control VM must not bootstrap the replicated log again.
		v.mu.Lock()
		v.settings = strings.Replace(v.settings, `"first-start": true`, `"first-start": false`, 1)
		v.mu.Unlock()
	}
	return nil
}

// vms returns the control VMs and the entry VMs.
func (r *Run) vms() []*vm { return slices.Concat(r.controls, r.entries) }

// Close kills all processes and closes all servers and proxies of the run.
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

// Execute injects faults until span has passed or ctx ends, while callers send
// requests and the operator publishes and reads routes. Then it ends the faults
// and checks that the installation recovers. It returns the violations found,
// none if every guarantee held.
func (r *Run) Execute(ctx context.Context, span time.Duration) []string {
	if !r.operator.retry(recoveryTimeout, r.operator.publish) || !r.awaitService() {
		r.reportViolation("the routes were not published or not all entry VMs served requests at the start")
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
		r.reportViolation("not all entry VMs served requests %v after the last fault", recoveryTimeout)
	}
	r.checkServedShare()
	r.checkDrain()
	cancel()
	wg.Wait()
	if !r.operator.retry(recoveryTimeout, r.operator.read) {
		r.reportViolation("no control VM returned the routes at the end")
	}
	r.checkExecutions()
	r.logf("seed %d: %d served, %d refused, %d failed, %d versions acknowledged", r.seed,
		r.outcomes.served.Load(), r.outcomes.refused.Load(), r.outcomes.failed.Load(), r.operator.ackedVersion)
	return r.violations
}

// awaitService sends a shards and a long request to every entry VM in rounds. It
// returns true once the run's count of served requests has grown during one round
// by at least the number of requests of the round; while callers run, their
// served requests add to this count. It returns false after recoveryTimeout.
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

// checkServedShare checks that without faults at least minServedShare of the
// callers' requests are served.
func (r *Run) checkServedShare() {
	served, notServed := r.outcomes.served.Load(), r.outcomes.refused.Load()+r.outcomes.failed.Load()
	time.Sleep(faultFreeDuration)
	served = r.outcomes.served.Load() - served
	notServed = r.outcomes.refused.Load() + r.outcomes.failed.Load() - notServed
	if share := float64(served) / float64(max(1, served+notServed)); share < minServedShare {
		r.reportViolation("only a share of %.2f of %d requests was served while no fault was active", share, served+notServed)
	}
}

// checkDrain takes a data centre out of service and checks that it gets no
// requests more than drainTimeout after the acknowledgement.
func (r *Run) checkDrain() {
	centre := centres[r.rng.IntN(len(centres))]
	if !r.operator.setOutOfService(centre, true) {
		r.reportViolation("no control VM took a data centre out of service")
		return
	}
	ackedAt := time.Now()
	time.Sleep(drainTimeout + time.Second)
	if last := r.executions.lastArrival(centre); last.Sub(ackedAt) > drainTimeout {
		r.reportViolation("%s got a request %v after it was taken out of service", centre, last.Sub(ackedAt))
	}
	if !r.operator.setOutOfService(centre, false) {
		r.reportViolation("no control VM took the data centre back into service")
	}
}

// recordRefusal counts a request that was refused with status 503 and keeps its
// id for checkExecutions.
func (r *Run) recordRefusal(id string) {
	r.outcomes.refused.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedIDs = append(r.refusedIDs, id)
}

// checkExecutions checks that no refused request was executed and that no
// non-idempotent request was executed more than once. Callers number their
// requests so that every fourth one is non-idempotent.
func (r *Run) checkExecutions() {
	r.mu.Lock()
	refusedIDs := r.refusedIDs
	r.mu.Unlock()
	for _, id := range refusedIDs {
		if n := r.executions.count(id); n > 0 {
			r.reportViolation("request %s was refused as not executed but was executed %d times", id, n)
		}
	}
	r.executions.mu.Lock()
	defer r.executions.mu.Unlock()
	for id, n := range r.executions.counts {
		var caller, number int
		if k, err := fmt.Sscanf(id, "c%d-%d", &caller, &number); err == nil && k == 2 && number%4 == 0 && n > 1 {
			r.reportViolation("non-idempotent request %s was executed %d times", id, n)
		}
	}
}

// reportViolation records and logs the violation of a guarantee.
func (r *Run) reportViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.violations = append(r.violations, text)
	r.mu.Unlock()
	r.logf("seed %d: VIOLATION: %s", r.seed, text)
}

// Discard deletes the run's folder with its logs and data.
func (r *Run) Discard() error { return os.RemoveAll(r.folder) }

func (r *Run) logf(format string, args ...any) {
	// A failed write must not change the result of the run.
	_, _ = fmt.Fprintf(r.out, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}
