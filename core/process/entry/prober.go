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
	// receive queries, and healthyInterval of one that may.
	probeInterval        = time.Second
	healthyProbeInterval = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// newTargets is how often the table is looked through for new targets.
	tableScanInterval = 200 * time.Millisecond
)

// Prober keeps one probe loop for each target of the table.
type Prober struct {
	table        *target.Table
	cancelProbes map[*target.Target]context.CancelFunc
}

// NewProber returns a prober for the targets of a table.
func NewProber(table *target.Table) *Prober {
	return &Prober{table: table, cancelProbes: make(map[*target.Target]context.CancelFunc)}
}

// Run starts and ends probe loops as targets come and go, until ctx ends.
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

// follow makes the probe loops match the table.
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

// prepareEvery is the number of probes after which all connections that a light
// load uses are proven, so that no query pays for a new one.
const probesPerConnectionCheck = 20

// probe asks one target for its health again and again.
type probe struct {
	target *target.Target
	count  int
}

// loop probes until ctx ends. The interval varies by a quarter, so that the
// probes of many VMs that started together drift apart.
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

// prepare proves as many connections at once as the leaf has slots, within
// this VM's share.
func (p *probe) probeConnections(ctx context.Context) {
	var wg sync.WaitGroup
	for range min(p.target.Pool().Share(), p.target.Slots()) - 1 {
		wg.Add(1)
		go (&concurrentProbe{probe: p, wg: &wg}).run(ctx)
	}
	p.probeOnce(ctx)
	wg.Wait()
}

// preparation is one of several probes at the same time.
type concurrentProbe struct {
	probe *probe
	wg    *sync.WaitGroup
}

func (r *concurrentProbe) run(ctx context.Context) {
	defer r.wg.Done()
	r.probe.probeOnce(ctx)
}

func (p *probe) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := p.target.Pool().Probe(ctx)
	now := time.Now()
	p.target.RecordProbe(report, err, now)
	if err != nil {
		p.target.Pool().Renew(now, minRenewInterval)
	}
	p.target.Pool().Sweep(now)
}
