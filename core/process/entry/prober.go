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
	probeInterval   = time.Second
	healthyInterval = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// newTargets is how often the table is looked through for new targets.
	newTargets = 200 * time.Millisecond
)

// Prober keeps one probe loop for each target of the table.
type Prober struct {
	table  *target.Table
	probed map[*target.Target]context.CancelFunc
}

// NewProber returns a prober for the targets of a table.
func NewProber(table *target.Table) *Prober {
	return &Prober{table: table, probed: make(map[*target.Target]context.CancelFunc)}
}

// Run starts and ends probe loops as targets come and go, until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(newTargets)
	defer ticker.Stop()
	for {
		p.follow(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// follow makes the probe loops match the table.
func (p *Prober) follow(ctx context.Context) {
	present := make(map[*target.Target]bool)
	for _, t := range p.table.Targets() {
		present[t] = true
		if _, running := p.probed[t]; running {
			continue
		}
		probeCtx, cancel := context.WithCancel(ctx)
		p.probed[t] = cancel
		go (&probe{target: t}).loop(probeCtx)
	}
	for t, cancel := range p.probed {
		if !present[t] {
			cancel()
			delete(p.probed, t)
		}
	}
}

// prepareEvery is the number of probes after which all connections that a light
// load uses are proven, so that no query pays for a new one.
const prepareEvery = 20

// probe asks one target for its health again and again.
type probe struct {
	target *target.Target
	count  int
}

// loop probes until ctx ends. The interval varies by a quarter, so that the
// probes of many VMs that started together drift apart.
func (p *probe) loop(ctx context.Context) {
	for {
		if p.count%prepareEvery == 0 {
			p.prepare(ctx)
		}
		p.count++
		p.once(ctx)
		interval := probeInterval
		if len(p.target.Holdings()) > 0 {
			interval = healthyInterval
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
func (p *probe) prepare(ctx context.Context) {
	var wg sync.WaitGroup
	for range min(p.target.Pool().MaxConnections(), p.target.Slots()) - 1 {
		wg.Add(1)
		go (&preparation{probe: p, wg: &wg}).run(ctx)
	}
	p.once(ctx)
	wg.Wait()
}

// preparation is one of several probes at the same time.
type preparation struct {
	probe *probe
	wg    *sync.WaitGroup
}

func (r *preparation) run(ctx context.Context) {
	defer r.wg.Done()
	r.probe.once(ctx)
}

func (p *probe) once(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := p.target.Pool().Probe(ctx)
	now := time.Now()
	p.target.Probed(report, err, now)
	if err != nil {
		p.target.Pool().ReplaceConnections(now, renewInterval)
	}
	p.target.Pool().Sweep(now)
}
