package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/target"
)

const (
	// probeInterval is the time between two probes of a target.
	probeInterval = time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// newTargets is how often the table is looked through for new targets.
	newTargets = 50 * time.Millisecond
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

// probe asks one target for its health again and again.
type probe struct {
	target *target.Target
}

// loop probes until ctx ends. The interval varies by a quarter, so that the
// probes of many VMs that started together drift apart.
func (p *probe) loop(ctx context.Context) {
	for {
		p.once(ctx)
		wait := probeInterval*3/4 + rand.N(probeInterval/2)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

func (p *probe) once(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := p.target.Pool().Probe(ctx)
	now := time.Now()
	p.target.Probed(report, err, now)
	if err != nil {
		p.target.Pool().Renew(now, renewInterval)
	}
	p.target.Pool().Sweep(now)
}
