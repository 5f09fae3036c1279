package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/target"
)

const (
	// probeInterval is the time between two probes of a target that may not
	// receive queries or has reported no snapshots. healthyProbeInterval is
	// that of other targets.
	probeInterval        = time.Second
	healthyProbeInterval = 2 * time.Second
	// probeTimeout limits the duration of one probe.
	probeTimeout = 500 * time.Millisecond
	// tableScanInterval is the time between two checks of the table for added
	// and removed targets.
	tableScanInterval = 200 * time.Millisecond
)

// Prober runs one probe loop for each target of the table.
type Prober struct {
	table        *target.Table
	cancelProbes map[*target.Target]context.CancelFunc
}

// NewProber returns a prober for the targets of a table.
func NewProber(table *target.Table) *Prober {
	return &Prober{table: table, cancelProbes: make(map[*target.Target]context.CancelFunc)}
}

// Run starts and stops probe loops as targets are added and removed, until ctx
// ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(tableScanInterval)
	defer ticker.Stop()
	for {
		p.syncProbes(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// syncProbes starts a probe loop for each new target and stops those of removed
// targets.
func (p *Prober) syncProbes(ctx context.Context) {
	present := make(map[*target.Target]bool)
	for _, t := range p.table.Targets() {
		present[t] = true
		if _, running := p.cancelProbes[t]; running {
			continue
		}
		probeCtx, cancel := context.WithCancel(ctx)
		p.cancelProbes[t] = cancel
		go (&probe{target: t}).loop(probeCtx)
	}
	for t, cancel := range p.cancelProbes {
		if !present[t] {
			cancel()
			delete(p.cancelProbes, t)
		}
	}
}

// probesPerConnectionCheck is the interval between two calls of
// probeConnections, in iterations of the probe loop. The first iteration calls it
// too. It probes as many connections as the leaf has slots and opens those that
// are missing, so that under light load no query has to open a connection.
const probesPerConnectionCheck = 20

// probe is the probe loop of one target.
type probe struct {
	target *target.Target
	count  int
}

// loop probes the target until ctx ends. The interval varies at random by up to
// a quarter in both directions, so that VMs that started together do not keep
// probing at the same time.
func (p *probe) loop(ctx context.Context) {
	for {
		if p.count%probesPerConnectionCheck == 0 {
			p.probeConnections(ctx)
		}
		p.count++
		p.probeOnce(ctx)
		interval := probeInterval
		if len(p.target.UsableSnapshots()) > 0 {
			interval = healthyProbeInterval
		}
		wait := interval*3/4 + rand.N(interval/2)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// probeConnections sends concurrent probes on as many connections as the leaf
// has slots, but no more than this VM's share of its connections.
func (p *probe) probeConnections(ctx context.Context) {
	var wg sync.WaitGroup
	for range min(p.target.Pool().MaxConnections(), p.target.Slots()) - 1 {
		wg.Add(1)
		go (&concurrentProbe{probe: p, wg: &wg}).run(ctx)
	}
	p.probeOnce(ctx)
	wg.Wait()
}

// concurrentProbe is one of the probes that probeConnections sends in the
// background.
type concurrentProbe struct {
	probe *probe
	wg    *sync.WaitGroup
}

func (r *concurrentProbe) run(ctx context.Context) {
	defer r.wg.Done()
	r.probe.probeOnce(ctx)
}

// probeOnce probes the target and records the result. After a failed probe it
// replaces the idle connections, but at most once per minRenewInterval.
// Replaced connections that were in use are closed by Sweep once they are idle.
func (p *probe) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := p.target.Pool().Probe(ctx)
	now := time.Now()
	p.target.RecordProbe(report, err, now)
	if err != nil {
		p.target.Pool().ReplaceConnections(now, minRenewInterval)
	}
	p.target.Pool().Sweep(now)
}
