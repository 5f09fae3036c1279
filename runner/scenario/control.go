package scenario

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/connection/operator"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/runner/driver"
	"github.com/mulberrydale/mulberrydale/runner/installation"
	"github.com/mulberrydale/mulberrydale/runner/proxy"
)

const (
	// changeLimit is how long an operator sends one change again.
	changeLimit = 15 * time.Second
	statusPoll  = 20 * time.Millisecond
	// maxConflicts bounds how often an operator reads again after a conflict.
	maxConflicts = 10
)

// everywhere waits until every VM has a version in force, and returns how long
// that took.
func (s *stage) everywhere(ctx context.Context, version uint64, among []*installation.VM) time.Duration {
	began := time.Now()
	for _, v := range among {
		for time.Since(began) < changeLimit {
			if status, err := operator.NewClient(v.OperatorsAddress()).Status(ctx); err == nil && status.Version() >= version {
				break
			}
			time.Sleep(statusPoll / 4)
		}
	}
	return time.Since(began)
}

// leader returns the VM that leads and the other control VMs.
func (s *stage) leader(ctx context.Context) (leader *installation.VM, others []*installation.VM, err error) {
	for limit := time.Now().Add(changeLimit); time.Now().Before(limit); time.Sleep(statusPoll) {
		for _, v := range s.in.VMs()[:3] {
			status, err := operator.NewClient(v.OperatorsAddress()).Status(ctx)
			if err != nil || status.Leader() != v.Name() {
				continue
			}
			for _, o := range s.in.VMs()[:3] {
				if o != v {
					others = append(others, o)
				}
			}
			return v, others, nil
		}
	}
	return nil, nil, errors.New("no VM leads")
}

// inForce measures the time until a change is in force on 9 VMs while one
// voter is dead.
func inForce(ctx context.Context, s *stage) error {
	_, others, err := s.leader(ctx)
	if err != nil {
		return err
	}
	dead := others[0]
	s.in.KillVM(dead)
	var alive []*installation.VM
	for _, v := range s.in.VMs() {
		if v != dead {
			alive = append(alive, v)
		}
	}
	o := newOperators(s)
	var took []float64
	for i := range 30 {
		began := time.Now()
		outcome := o.next(ctx, alive[i%len(alive)], fmt.Sprintf("in-force-%d", i))
		s.everywhere(ctx, outcome.Version(), alive)
		took = append(took, time.Since(began).Seconds())
	}
	s.row("seconds to in force, median", median(took, 0.5), 0, 1)
	s.row("seconds to in force, worst", median(took, 1), 0, 3)
	s.atLeast("changes accepted", float64(len(o.accepted)), 30, 30)
	return o.judge(ctx)
}

// racingOperators lets three operators send changes from equal versions
// through different VMs, and each send its change twice.
func racingOperators(ctx context.Context, s *stage) error {
	o := newOperators(s)
	double := 0
	for round := range 30 {
		version, cfg, _, err := operator.NewClient(s.in.VMs()[0].OperatorsAddress()).Configuration(ctx)
		if err != nil {
			return err
		}
		var wg sync.WaitGroup
		race := make([]racer, 3)
		for i := range race {
			race[i] = racer{operators: o, vm: s.in.VMs()[i], id: fmt.Sprintf("race-%d-%d", round, i), base: version, inService: !cfg.DataCentres()[0].InService(), wg: &wg}
			wg.Add(1)
			go race[i].run(ctx)
		}
		wg.Wait()
		winners := 0
		newest := uint64(0)
		for _, r := range race {
			if _, won := o.accepted[r.id]; won {
				winners++
				newest = max(newest, o.accepted[r.id])
			}
		}
		if winners != 1 {
			double++
		}
		s.everywhere(ctx, newest, s.in.VMs())
	}
	s.row("races without exactly one winner", float64(double), 0, 0)
	return o.judge(ctx)
}

// racer is one operator of a race.
type racer struct {
	operators *operators
	vm        *installation.VM
	id        string
	base      uint64
	inService bool
	wg        *sync.WaitGroup
}

func (r *racer) run(ctx context.Context) {
	defer r.wg.Done()
	for range 2 {
		r.operators.change(ctx, r.vm, r.id, r.base, r.inService)
	}
}

// killLeader kills and restarts the leader again and again under changes.
func killLeader(ctx context.Context, s *stage) error {
	o := newOperators(s)
	for round := range 5 {
		leader, others, err := s.leader(ctx)
		if err != nil {
			return err
		}
		for i := range 4 {
			o.next(ctx, others[i%2], fmt.Sprintf("kill-%d-%d", round, i))
			if i == 1 {
				s.in.KillVM(leader)
			}
		}
		if err := s.in.StartVM(leader); err != nil {
			return err
		}
		if err := s.in.WaitVMReady(ctx, leader); err != nil {
			return err
		}
	}
	s.atLeast("changes accepted", float64(len(o.accepted)), 20, 18)
	return o.judge(ctx)
}

// lostDisks loses the disk of one control VM, then of a second one right after
// the first is repaired, then of the third.
func lostDisks(ctx context.Context, s *stage) error {
	o := newOperators(s)
	for i, v := range s.in.VMs()[:3] {
		for j := range 5 {
			o.next(ctx, s.in.VMs()[3+j%3], fmt.Sprintf("disk-%d-%d", i, j))
		}
		s.in.KillVM(v)
		if err := s.in.RemoveDataFolder(v); err != nil {
			return err
		}
		if err := s.in.StartVM(v); err != nil {
			return err
		}
		if err := s.repaired(ctx, v); err != nil {
			return err
		}
	}
	o.next(ctx, s.in.VMs()[4], "disk-last")
	s.atLeast("changes accepted", float64(len(o.accepted)), 16, 16)
	return o.judge(ctx)
}

// repaired waits until a control VM is a voter of the log again, by the log
// line that says so at the leader.
func (s *stage) repaired(ctx context.Context, v *installation.VM) error {
	for limit := time.Now().Add(2 * changeLimit); time.Now().Before(limit); time.Sleep(statusPoll) {
		n, err := metric(ctx, v.OperatorsAddress(), "mulberrydale_control_voter")
		if err == nil && n == 1 {
			return nil
		}
	}
	return errors.Newf("VM %s was not repaired", v.Name())
}

// cutLeader cuts the leader off from the others, one way and both, silently.
func cutLeader(ctx context.Context, s *stage) error {
	o := newOperators(s)
	highest := make(map[string]uint64)
	fell := 0
	for round, cut := range []string{"out", "in", "both", "both"} {
		leader, _, err := s.leader(ctx)
		if err != nil {
			return err
		}
		for _, v := range s.in.VMs() {
			if v == leader {
				continue
			}
			if cut != "in" {
				s.in.SetLinkMode(leader, v, proxy.Discard)
			}
			if cut != "out" {
				s.in.SetLinkMode(v, leader, proxy.Discard)
			}
		}
		began := time.Now()
		accepted := 0
		for i := 0; time.Since(began) < 6*time.Second; i++ {
			if o.next(ctx, s.in.VMs()[3+i%3], fmt.Sprintf("cut-%d-%d", round, i)).Code() == result.ChangeAccepted {
				accepted++
			}
			fell += s.watchVersions(ctx, highest)
			time.Sleep(200 * time.Millisecond)
		}
		s.atLeast("changes accepted while the leader is cut, "+cut, float64(accepted), 0, 1)
		s.in.RestoreLinks()
		outcome := o.next(ctx, leader, fmt.Sprintf("healed-%d", round))
		s.row("seconds to in force after the cut, "+cut, s.everywhere(ctx, outcome.Version(), s.in.VMs()).Seconds(), 0, 4)
	}
	s.row("versions that fell on a VM", float64(fell), 0, 0)
	return o.judge(ctx)
}

// watchVersions counts the VMs whose version in force is lower than before.
func (s *stage) watchVersions(ctx context.Context, highest map[string]uint64) int {
	fell := 0
	for _, v := range s.in.VMs() {
		status, err := operator.NewClient(v.OperatorsAddress()).Status(ctx)
		if err != nil {
			continue
		}
		if status.Version() < highest[v.Name()] {
			fell++
		}
		highest[v.Name()] = max(highest[v.Name()], status.Version())
	}
	return fell
}

// freeze stops an entry VM by a signal, takes a data centre out meanwhile, and
// sends queries to it the moment it goes on.
func freeze(ctx context.Context, s *stage) error {
	centre := s.in.Configuration().DataCentres()[0].Name()
	frozen := s.in.VMs()[4]
	// Queries that are on their way when the VM freezes go on when it does.
	waiting := make(chan []driver.Answer, 1)
	go (&frozenLoad{stage: s, vm: frozen, out: waiting}).run(ctx)
	time.Sleep(time.Second)
	if err := s.in.Signal(frozen, syscall.SIGSTOP); err != nil {
		return err
	}
	// The command can't see the version in force everywhere, as one is frozen.
	if text, err := s.in.RunCtl(ctx, s.vm(1), "--timeout", "2s", "out", centre); err != nil && !strings.Contains(text, "606") {
		return err
	}
	time.Sleep(27 * time.Second)
	if err := s.clear(); err != nil {
		return err
	}
	if err := s.in.Signal(frozen, syscall.SIGCONT); err != nil {
		return err
	}
	answers := <-waiting
	after := s.loadTo(ctx, 100, 3*time.Second, func(int) *installation.VM { return frozen })
	records, err := s.journal()
	if err != nil {
		return err
	}
	s.row("sub-requests on what it knew before", ran(records, func(r record) bool {
		return isSub(r) && s.in.DataCentreOf(r.leaf) == centre
	}), 0, 0)
	s.atLeast("queries sent to the frozen VM", float64(len(answers)), 0, 10)
	s.complete("complete after the freeze", after, 0.9)
	return nil
}

// frozenLoad sends queries to a VM before, while and after it is frozen.
type frozenLoad struct {
	stage *stage
	vm    *installation.VM
	out   chan<- []driver.Answer
}

func (f *frozenLoad) run(ctx context.Context) {
	f.out <- f.stage.loadTo(ctx, 20, 32*time.Second, func(int) *installation.VM { return f.vm })
}

// manyChanges makes 500 changes, then restarts every process.
func manyChanges(ctx context.Context, s *stage) error {
	o := newOperators(s)
	began := time.Now()
	for i := range 500 {
		o.next(ctx, s.in.VMs()[0], fmt.Sprintf("many-%d", i))
	}
	s.atLeast("changes a second, one after another", 500/time.Since(began).Seconds(), 0, 2)
	version, _, _, err := operator.NewClient(s.in.VMs()[0].OperatorsAddress()).Configuration(ctx)
	if err != nil {
		return err
	}
	for _, v := range s.in.VMs() {
		s.in.KillVM(v)
	}
	began = time.Now()
	for _, v := range s.in.VMs() {
		if err := s.in.StartVM(v); err != nil {
			return err
		}
	}
	if err := s.in.WaitReady(ctx); err != nil {
		return err
	}
	s.row("seconds to ready after all restarted", time.Since(began).Seconds(), 0, 10)
	s.everywhere(ctx, version, s.in.VMs())
	after, _, _, err := operator.NewClient(s.in.VMs()[5].OperatorsAddress()).Configuration(ctx)
	if err != nil {
		return err
	}
	s.row("versions lost", float64(version)-float64(after), 0, 0)
	return o.judge(ctx)
}
