package cluster

import (
	"context"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/process/control"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
)

// proposeDecision writes a decision to the log, unless the same was proposed and has no
// outcome yet.
func (c *Cluster) proposeDecision(ctx context.Context, d rollout.Decision) {
	var command replica.Command
	switch d.Kind() {
	case rollout.StateElapsed:
		command = replica.NewStateElapsed(d.Service(), d.Order(), d.Elapsed())
	case rollout.Succeed:
		command = replica.NewEndRollout(d.Service(), d.Order(), true, d.Reason())
	case rollout.RollBack:
		command = replica.NewEndRollout(d.Service(), d.Order(), false, d.Reason())
	}
	fields := []zap.Field{zap.String("service", d.Service()), zap.Uint64("order", d.Order()), zap.Duration("elapsed", d.Elapsed()), zap.String("reason", d.Reason())}
	c.startProposal(ctx, &rolloutProposal{cluster: c, command: command, name: d.Kind().String() + " " + d.Service(), fields: fields})
}

// recordVersions proposes to record the versions in use of services that have targets in
// the list and no record yet.
func (c *Cluster) recordVersions(ctx context.Context, status control.Status) {
	var missing []replica.ServiceVersions
	for service, versions := range c.listedVersions() {
		record, _ := rollout.Find(status.Routes().Rollouts(), service)
		if len(record.InUse()) > 0 || !c.rollouts.bounds.Enforced() && record.Order() == 0 {
			continue
		}
		if len(record.WithVersions(versions).InUse()) > 0 {
			missing = append(missing, replica.NewServiceVersions(service, versions))
		}
	}
	if len(missing) > 0 {
		c.startProposal(ctx, &rolloutProposal{cluster: c, command: replica.NewRecordVersions(missing), name: "record-versions", fields: []zap.Field{zap.Int("services", len(missing))}})
	}
}

// startProposal proposes a command in the background, unless one of that name has no
// outcome yet.
func (c *Cluster) startProposal(ctx context.Context, p *rolloutProposal) {
	c.rollouts.mu.Lock()
	defer c.rollouts.mu.Unlock()
	if !c.rollouts.proposing[p.name] {
		c.rollouts.proposing[p.name] = true
		go p.run(ctx)
	}
}

// rolloutProposal is a command of the leader about rollouts.
type rolloutProposal struct {
	cluster *Cluster
	command replica.Command
	name    string
	fields  []zap.Field
}

// run commits the command.
func (p *rolloutProposal) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rolloutProposalTimeout)
	defer cancel()
	_, err := p.cluster.control.Propose(ctx, p.command)
	p.cluster.rollouts.mu.Lock()
	delete(p.cluster.rollouts.proposing, p.name)
	p.cluster.rollouts.mu.Unlock()
	fields := append([]zap.Field{zap.String("decision", p.name)}, p.fields...)
	if err != nil {
		p.cluster.log.Warn("rollout decision not acknowledged", append(fields, logsink.Cause(err))...)
		return
	}
	if _, elapsed := p.command.(replica.StateElapsed); !elapsed {
		p.cluster.log.Info("rollout decision", fields...)
	}
}
