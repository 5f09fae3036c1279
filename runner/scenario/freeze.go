package scenario

import (
	"context"
	"strings"
	"syscall"
	"time"

	"github.com/mulberrydale/mulberrydale/runner/driver"
	"github.com/mulberrydale/mulberrydale/runner/installation"
)

// freeze suspends an entry VM with SIGSTOP and takes a data centre out of service
// in the meantime. Queries are sent to the VM before, during and after the
// suspension. After it resumes, the VM must not send sub-requests to that data
// centre, which its outdated configuration would still allow.
func freeze(ctx context.Context, tb *testbed) error {
	centre := tb.inst.Configuration().DataCentres()[0].Name()
	frozen := tb.inst.VMs()[4]
	// The load runs across the suspension, so that some queries are in progress
	// when the VM is suspended and continue when it resumes.
	loadAnswers := make(chan []driver.Answer, 1)
	go (&frozenLoad{testbed: tb, vm: frozen, answers: loadAnswers}).run(ctx)
	time.Sleep(time.Second)
	if err := tb.inst.Signal(frozen, syscall.SIGSTOP); err != nil {
		return err
	}
	// The command ends with code 606 (not-in-force) because it can't confirm
	// that the new version is in force on the suspended VM.
	if text, err := tb.inst.RunCtl(ctx, tb.vmFor(1), "--timeout", "2s", "out", centre); err != nil && !strings.Contains(text, "606") {
		return err
	}
	// With the second before the suspension and the timeout of the command,
	// the VM resumes about 2 seconds before the load of 32 seconds ends.
	time.Sleep(27 * time.Second)
	if err := tb.clearJournal(); err != nil {
		return err
	}
	if err := tb.inst.Signal(frozen, syscall.SIGCONT); err != nil {
		return err
	}
	answers := <-loadAnswers
	after := tb.sendLoadTo(ctx, 100, 3*time.Second, func(int) *installation.VM { return frozen })
	records, err := tb.readJournal()
	if err != nil {
		return err
	}
	tb.atMost("sub-requests on what it knew before", countRecords(records, func(r record) bool {
		return isSubRequest(r) && tb.inst.DataCentreOf(r.leaf) == centre
	}), 0, 0)
	tb.atLeast("queries sent to the frozen VM", float64(len(answers)), 0, 10)
	tb.completeAtLeast("complete after the freeze", after, 0.9)
	return nil
}

// frozenLoad sends queries to a VM before, while and after it is suspended.
type frozenLoad struct {
	testbed *testbed
	vm      *installation.VM
	answers chan<- []driver.Answer
}

func (f *frozenLoad) run(ctx context.Context) {
	f.answers <- f.testbed.sendLoadTo(ctx, 20, 32*time.Second, func(int) *installation.VM { return f.vm })
}
