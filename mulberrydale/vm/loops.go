package vm

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/control"
	"github.com/mulberrydale/mulberrydale/core/process/entry"
	"github.com/mulberrydale/mulberrydale/core/process/membership"
	"github.com/mulberrydale/mulberrydale/core/process/target"
)

// newsInterval is the time between two rounds of news about targets.
const newsInterval = 100 * time.Millisecond

type meshLoop struct {
	vm     *VM
	socket net.Listener
}

func (l *meshLoop) run(ctx context.Context) { l.vm.mesh.Run(ctx, l.socket) }

type probeLoop struct{ vm *VM }

func (l *probeLoop) run(ctx context.Context) { entry.NewProber(l.vm.table).Run(ctx) }

type controlLoop struct {
	vm   *VM
	fail context.CancelCauseFunc
}

func (l *controlLoop) run(ctx context.Context) {
	if err := l.vm.control.Run(ctx); err != nil {
		l.fail(err)
	}
}

// acceptLoop puts what the log accepted in force here, and at the peers when
// this VM leads.
type acceptLoop struct{ vm *VM }

func (l *acceptLoop) run(ctx context.Context) {
	for {
		select {
		case <-l.vm.control.Accepted():
		case <-ctx.Done():
			return
		}
		s := l.vm.control.Status()
		now := time.Now()
		if s.Version() == 0 || !l.vm.accept(s.Version(), s.Document(), now) {
			continue
		}
		if s.Leads() {
			l.vm.mesh.Broadcast(peer.NewConfigurationPush(s.Version(), s.Document()))
		}
		l.vm.beat(now)
	}
}

// beatLoop tells the peers that this VM lives, and what changed.
type beatLoop struct{ vm *VM }

func (l *beatLoop) run(ctx context.Context) {
	ticker := time.NewTicker(newsInterval)
	defer ticker.Stop()
	var beatAt time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		l.vm.view.Tick(now)
		l.vm.sendNews()
		if now.Sub(beatAt) >= membership.BeatInterval {
			beatAt = now
			l.vm.beat(now)
		}
		l.vm.limitToHeard(now)
		l.vm.showDials()
	}
}

// beat sends a beat to every peer.
func (v *VM) beat(now time.Time) {
	version := v.current().version
	base := peer.NewHeartbeat(v.startID, v.settings.DataCentre(), version, v.leaving.Load())
	if v.control != nil {
		s := v.control.Status()
		base = base.WithReplica(string(s.Member().ID()), s.Bootstrapped(), s.Leader())
		v.view.Confirm(s.QuorumAge(now), s.Version(), now)
		v.showVoter(s)
	}
	age, confirmed := v.view.Quorum(now)
	base = base.WithQuorum(age, confirmed)
	for _, vm := range v.mesh.Peers() {
		v.mesh.Send(vm, base.WithLastReceivedAge(v.view.HeardAge(vm, now)))
	}
}

// showVoter publishes whether this replica counts in the log.
func (v *VM) showVoter(s control.Status) {
	counts := 0.0
	if s.Voters().Has(s.Member().ID()) {
		counts = 1
	}
	v.voter.Update(counts)
}

// sendNews tells the peers which targets left, turned cold or proved warm.
func (v *VM) sendNews() {
	var items []peer.TargetUpdate
	for _, c := range v.table.TakeChanges() {
		items = append(items, peer.NewTargetUpdate(c.Target(), c.StartID(), c.State(), 0, 0))
		v.log.Info("target changed", zap.String("target", c.Target()), zap.String("start-id", c.StartID()), zap.String("state", c.State()))
	}
	if len(items) > 0 {
		v.mesh.Broadcast(peer.NewTargetUpdates(items))
	}
}

// allNews returns what a VM that has just started should know.
func (v *VM) allNews(now time.Time) peer.TargetUpdates {
	var items []peer.TargetUpdate
	for _, t := range v.table.Targets() {
		state, startID, age, rate := t.News(now)
		switch state {
		case target.Warm, target.Warming, target.Leaving:
			items = append(items, peer.NewTargetUpdate(t.Name(), startID, state, age, rate))
		}
	}
	return peer.NewTargetUpdates(items)
}

// limitToHeard keeps an isolated VM to the data centres that it still hears:
// another one may have been taken out of service without this VM knowing.
func (v *VM) limitToHeard(now time.Time) {
	isolated := v.view.Freshness(v.current().version, now) == membership.Isolated
	heard := v.view.Centres(now)
	heard[v.settings.DataCentre()] = true
	for _, t := range v.table.Targets() {
		t.SetHeard(!isolated || heard[t.DataCentre()])
	}
}

// showDials publishes the connections opened to targets so far.
func (v *VM) showDials() {
	dials := int64(0)
	for _, t := range v.table.Targets() {
		dials += t.Pool().Dials()
	}
	v.dials.Update(float64(dials))
}
