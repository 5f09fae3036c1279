package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/connection/operator"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/runner/installation"
	"github.com/mulberrydale/mulberrydale/runner/proxy"
)

const (
	// changeTimeout is how long an operator repeats one change, and the time
	// limit of most waits in these scenarios.
	changeTimeout      = 15 * time.Second
	statusPollInterval = 20 * time.Millisecond
	// maxConflicts is the largest number of attempts of an operator to read the
	// configuration and send a change. Another attempt follows a failed read or
	// a version conflict.
	maxConflicts = 10
)

// waitInForce waits until the given VMs have at least a version of the
// configuration in force, and returns how long that took. It gives up when it
// has waited for changeTimeout in all, which the caller can tell only from the
// returned time.
func (tb *testbed) waitInForce(ctx context.Context, version uint64, among []*installation.VM) time.Duration {
	began := time.Now()
	for _, v := range among {
		for time.Since(began) < changeTimeout {
			if status, err := operator.NewClient(v.OperatorsAddress()).Status(ctx); err == nil && status.Version() >= version {
				break
			}
			time.Sleep(statusPollInterval / 4)
		}
	}
	return time.Since(began)
}

// waitForLeader waits until a control VM reports itself as the leader of the
// log, and returns it and the other control VMs. The control VMs are the first
// three VMs of the installation.
func (tb *testbed) waitForLeader(ctx context.Context) (leader *installation.VM, others []*installation.VM, err error) {
	for end := time.Now().Add(changeTimeout); time.Now().Before(end); time.Sleep(statusPollInterval) {
		for _, v := range tb.inst.VMs()[:3] {
			status, err := operator.NewClient(v.OperatorsAddress()).Status(ctx)
			if err != nil || status.Leader() != v.Name() {
				continue
			}
			for _, o := range tb.inst.VMs()[:3] {
				if o != v {
					others = append(others, o)
				}
			}
			return v, others, nil
		}
	}
	return nil, nil, errors.New("no control VM reported itself as leader before the timeout")
}

// inForce measures the time until a change is in force on the 8 running VMs of
// 9, while one voter is dead.
func inForce(ctx context.Context, tb *testbed) error {
	_, others, err := tb.waitForLeader(ctx)
	if err != nil {
		return err
	}
	killed := others[0]
	tb.inst.KillVM(killed)
	var alive []*installation.VM
	for _, v := range tb.inst.VMs() {
		if v != killed {
			alive = append(alive, v)
		}
	}
	rec := newChangeRecorder(tb)
	var seconds []float64
	for i := range 30 {
		began := time.Now()
		outcome := rec.toggle(ctx, alive[i%len(alive)], fmt.Sprintf("in-force-%d", i))
		tb.waitInForce(ctx, outcome.Version(), alive)
		seconds = append(seconds, time.Since(began).Seconds())
	}
	tb.atMost("seconds to in force, median", floatQuantile(seconds, 0.5), 0, 1)
	tb.atMost("seconds to in force, worst", floatQuantile(seconds, 1), 0, 3)
	tb.atLeast("changes accepted", float64(len(rec.accepted)), 30, 30)
	return rec.checkAuditTrail(ctx)
}

// racingOperators has three operators each send a change of their own, all with
// the same base version, through different VMs. Each operator sends its change
// twice. Exactly one of the three changes must be accepted.
func racingOperators(ctx context.Context, tb *testbed) error {
	rec := newChangeRecorder(tb)
	wrongRaces := 0
	for round := range 30 {
		version, cfg, _, err := operator.NewClient(tb.inst.VMs()[0].OperatorsAddress()).Configuration(ctx)
		if err != nil {
			return err
		}
		var wg sync.WaitGroup
		race := make([]racer, 3)
		for i := range race {
			race[i] = racer{recorder: rec, vm: tb.inst.VMs()[i], id: fmt.Sprintf("race-%d-%d", round, i), base: version, inService: !cfg.DataCentres()[0].InService(), wg: &wg}
			wg.Add(1)
			go race[i].run(ctx)
		}
		wg.Wait()
		winners := 0
		newest := uint64(0)
		for _, r := range race {
			if _, won := rec.accepted[r.id]; won {
				winners++
				newest = max(newest, rec.accepted[r.id])
			}
		}
		if winners != 1 {
			wrongRaces++
		}
		tb.waitInForce(ctx, newest, tb.inst.VMs())
	}
	tb.atMost("races without exactly one winner", float64(wrongRaces), 0, 0)
	return rec.checkAuditTrail(ctx)
}

// racer is one of the operators that send changes with the same base version.
type racer struct {
	recorder  *changeRecorder
	vm        *installation.VM
	id        string
	base      uint64
	inService bool
	wg        *sync.WaitGroup
}

// run sends the same change twice.
func (r *racer) run(ctx context.Context) {
	defer r.wg.Done()
	for range 2 {
		r.recorder.sendChange(ctx, r.vm, r.id, r.base, r.inService)
	}
}

// killLeader kills the leader between changes and restarts it, five times.
func killLeader(ctx context.Context, tb *testbed) error {
	rec := newChangeRecorder(tb)
	for round := range 5 {
		leader, others, err := tb.waitForLeader(ctx)
		if err != nil {
			return err
		}
		for i := range 4 {
			rec.toggle(ctx, others[i%2], fmt.Sprintf("kill-%d-%d", round, i))
			if i == 1 {
				tb.inst.KillVM(leader)
			}
		}
		if err := tb.inst.StartVM(leader); err != nil {
			return err
		}
		if err := tb.inst.WaitVMReady(ctx, leader); err != nil {
			return err
		}
	}
	tb.atLeast("changes accepted", float64(len(rec.accepted)), 20, 18)
	return rec.checkAuditTrail(ctx)
}

// lostDisks removes the data of the three control VMs, one after another. Each
// VM is a voter again before the next one loses its data.
func lostDisks(ctx context.Context, tb *testbed) error {
	rec := newChangeRecorder(tb)
	for i, v := range tb.inst.VMs()[:3] {
		for j := range 5 {
			rec.toggle(ctx, tb.inst.VMs()[3+j%3], fmt.Sprintf("disk-%d-%d", i, j))
		}
		tb.inst.KillVM(v)
		if err := tb.inst.RemoveDataFolder(v); err != nil {
			return err
		}
		if err := tb.inst.StartVM(v); err != nil {
			return err
		}
		if err := tb.waitForVoter(ctx, v); err != nil {
			return err
		}
	}
	rec.toggle(ctx, tb.inst.VMs()[4], "disk-last")
	tb.atLeast("changes accepted", float64(len(rec.accepted)), 16, 16)
	return rec.checkAuditTrail(ctx)
}

// waitForVoter waits until the metric mulberrydale_control_voter of a control
// VM says that the VM is a voter of the log again.
func (tb *testbed) waitForVoter(ctx context.Context, v *installation.VM) error {
	for end := time.Now().Add(2 * changeTimeout); time.Now().Before(end); time.Sleep(statusPollInterval) {
		n, err := readMetric(ctx, v.OperatorsAddress(), "mulberrydale_control_voter")
		if err == nil && n == 1 {
			return nil
		}
	}
	return errors.Newf("VM %s did not become a voter again before the timeout", v.Name())
}

// cutLeader drops messages between the leader and all other VMs in four rounds:
// those from the leader, those to the leader, and in two rounds both.
// Connections stay open. In each round at least one of the changes sent to the
// VMs that aren't control VMs must be accepted, and after the round a change
// sent to the former leader must be in force on all VMs within 4 seconds of its
// outcome.
func cutLeader(ctx context.Context, tb *testbed) error {
	rec := newChangeRecorder(tb)
	highestVersions := make(map[string]uint64)
	decreases := 0
	for round, direction := range []string{"out", "in", "both", "both"} {
		leader, _, err := tb.waitForLeader(ctx)
		if err != nil {
			return err
		}
		for _, v := range tb.inst.VMs() {
			if v == leader {
				continue
			}
			if direction != "in" {
				tb.inst.SetLinkMode(leader, v, proxy.Discard)
			}
			if direction != "out" {
				tb.inst.SetLinkMode(v, leader, proxy.Discard)
			}
		}
		began := time.Now()
		accepted := 0
		for i := 0; time.Since(began) < 6*time.Second; i++ {
			if rec.toggle(ctx, tb.inst.VMs()[3+i%3], fmt.Sprintf("cut-%d-%d", round, i)).Code() == result.ChangeAccepted {
				accepted++
			}
			decreases += tb.countVersionDecreases(ctx, highestVersions)
			time.Sleep(200 * time.Millisecond)
		}
		tb.atLeast("changes accepted while the leader is cut, "+direction, float64(accepted), 0, 1)
		tb.inst.RestoreLinks()
		outcome := rec.toggle(ctx, leader, fmt.Sprintf("healed-%d", round))
		tb.atMost("seconds to in force after the cut, "+direction, tb.waitInForce(ctx, outcome.Version(), tb.inst.VMs()).Seconds(), 0, 4)
	}
	tb.atMost("versions that fell on a VM", float64(decreases), 0, 0)
	return rec.checkAuditTrail(ctx)
}

// countVersionDecreases counts the VMs whose version in force is lower than the
// highest one seen before, and updates the highest versions, which are keyed by
// the name of the VM.
func (tb *testbed) countVersionDecreases(ctx context.Context, highestVersions map[string]uint64) int {
	decreases := 0
	for _, v := range tb.inst.VMs() {
		status, err := operator.NewClient(v.OperatorsAddress()).Status(ctx)
		if err != nil {
			continue
		}
		if status.Version() < highestVersions[v.Name()] {
			decreases++
		}
		highestVersions[v.Name()] = max(highestVersions[v.Name()], status.Version())
	}
	return decreases
}

// manyChanges makes 500 changes, then kills and restarts all VMs. The last
// version must survive.
func manyChanges(ctx context.Context, tb *testbed) error {
	rec := newChangeRecorder(tb)
	began := time.Now()
	for i := range 500 {
		rec.toggle(ctx, tb.inst.VMs()[0], fmt.Sprintf("many-%d", i))
	}
	tb.atLeast("changes a second, one after another", 500/time.Since(began).Seconds(), 0, 2)
	version, _, _, err := operator.NewClient(tb.inst.VMs()[0].OperatorsAddress()).Configuration(ctx)
	if err != nil {
		return err
	}
	for _, v := range tb.inst.VMs() {
		tb.inst.KillVM(v)
	}
	began = time.Now()
	for _, v := range tb.inst.VMs() {
		if err := tb.inst.StartVM(v); err != nil {
			return err
		}
	}
	if err := tb.inst.WaitReady(ctx); err != nil {
		return err
	}
	tb.atMost("seconds to ready after all restarted", time.Since(began).Seconds(), 0, 10)
	tb.waitInForce(ctx, version, tb.inst.VMs())
	after, _, _, err := operator.NewClient(tb.inst.VMs()[5].OperatorsAddress()).Configuration(ctx)
	if err != nil {
		return err
	}
	tb.atMost("versions lost", float64(version)-float64(after), 0, 0)
	return rec.checkAuditTrail(ctx)
}
