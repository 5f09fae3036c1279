package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/runner/driver"
	"github.com/mulberrydale/mulberrydale/runner/installation"
)

const (
	// demoVMs is the number of entry VMs, one in each of three data centres.
	demoVMs = 3
	// demoRounds is how often each query is sent to each VM in one phase.
	demoRounds = 2
	// takeOutTime is the time within which a data centre that is taken out of
	// service stops getting new requests. It is used only for the wait before
	// the first phase, which takes half of it.
	takeOutTime = 3 * time.Second
	// latencyAllowance is the time over its deadline that an answer may take to
	// reach the caller.
	latencyAllowance = 50 * time.Millisecond
)

// demo is one run of the demonstration.
type demo struct {
	inst     *installation.Installation
	caller   *driver.Caller
	table    *tabwriter.Writer
	sent     int
	problems []string
}

// runDemo starts an installation, applies the declared configuration, sends
// each declared query before, while and after a data centre is out of service,
// and repeats the non-idempotent requests.
func runDemo(ctx context.Context, binaryFolder, file string) error {
	in, stop, err := startInstallation(ctx, binaryFolder, file)
	if err != nil {
		return err
	}
	defer stop()
	d := &demo{inst: in, caller: driver.NewCaller(), table: tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)}
	if err := d.run(ctx); err != nil {
		return err
	}
	if len(d.problems) > 0 {
		return errors.Newf("%d problems in %d answers:\n%s", len(d.problems), d.sent, strings.Join(d.problems, "\n"))
	}
	fmt.Printf("%d answers, no problems found\n", d.sent)
	return nil
}

// run runs the phases, prints the table of answers and stops the VMs.
func (d *demo) run(ctx context.Context) error {
	vms := d.inst.VMs()
	time.Sleep(takeOutTime / 2)
	fmt.Fprintln(d.table, "phase\tquery\tvm\tcode\tsnapshot\tcoverage\ttime")
	d.sendQueries(ctx, "all in service", "")
	centre := d.inst.Configuration().DataCentres()[0].Name()
	if _, err := d.inst.RunCtl(ctx, vms[1], "--reason", "demonstration", "out", centre); err != nil {
		return err
	}
	d.sendQueries(ctx, centre+" out of service", centre)
	if _, err := d.inst.RunCtl(ctx, vms[2], "--reason", "demonstration", "in", centre); err != nil {
		return err
	}
	d.sendQueries(ctx, centre+" back in service", "")
	d.sendNonIdempotent(ctx)
	if err := d.table.Flush(); err != nil {
		return errors.Wrap(err, "print table of answers")
	}
	for _, v := range vms {
		if err := d.inst.StopVM(v); err != nil {
			return err
		}
	}
	return nil
}

// startInstallation starts an installation with the declared configuration in
// force. It returns a function that stops the processes and removes their
// files.
func startInstallation(ctx context.Context, binaryFolder, file string) (in *installation.Installation, stop func(), err error) {
	folder, err := os.MkdirTemp("", "mulberrydale-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "create temporary folder")
	}
	in, err = installation.New(binaryFolder, folder, file, demoVMs, 1, true)
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, nil, err
	}
	stop = func() {
		in.Close()
		_ = os.RemoveAll(folder)
	}
	if err := startConfigured(ctx, in); err != nil {
		stop()
		return nil, nil, err
	}
	return in, stop, nil
}

// startConfigured starts the processes, applies the declared configuration and
// waits until all VMs are ready.
func startConfigured(ctx context.Context, in *installation.Installation) error {
	if err := in.Start(ctx); err != nil {
		return err
	}
	text, err := in.RunCtl(ctx, in.VMs()[0], "--yes", "--reason", "first configuration", "apply", in.ConfigurationFile())
	if err != nil {
		return err
	}
	fmt.Println(lastLine(text))
	return in.WaitReady(ctx)
}

// runUp starts an installation and keeps it running until ctx ends.
func runUp(ctx context.Context, binaryFolder, file string) error {
	in, stop, err := startInstallation(ctx, binaryFolder, file)
	if err != nil {
		return err
	}
	defer stop()
	for _, v := range in.VMs() {
		fmt.Printf("%s in %s: callers %s, operators %s\n", v.Name(), v.DataCentre(), v.CallersAddress(), v.OperatorsAddress())
	}
	fmt.Printf("stand-in's control page on %s; interrupt to stop\n", in.StandinAddress())
	<-ctx.Done()
	return nil
}

// sendQueries sends each declared query to each VM and checks the answers. No
// result may come from the data centre outCentre; an empty name means that all
// are in service.
func (d *demo) sendQueries(ctx context.Context, phase, outCentre string) {
	cfg := d.inst.Configuration()
	for range demoRounds {
		for _, q := range cfg.Queries() {
			for _, v := range d.inst.VMs() {
				id := fmt.Sprintf("demo-%d", d.sent)
				a := d.caller.Send(ctx, driver.NewQuery(v.CallersAddress(), q.Name(), id, q.Deadline()))
				d.recordAnswer(phase, q.Name(), outCentre, q.Deadline(), v.Name(), a)
			}
		}
	}
}

// sendNonIdempotent sends each non-idempotent request twice with the same
// request id, the second time through another VM, and expects that only the
// first one runs.
func (d *demo) sendNonIdempotent(ctx context.Context) {
	vms := d.inst.VMs()
	for _, r := range d.inst.Configuration().NonIdempotentRequests() {
		for i, want := range []result.Code{result.Complete, result.ClaimedBefore} {
			a := d.caller.Send(ctx, driver.NewNonIdempotent(vms[i].CallersAddress(), r.Name(), "demo-once", "demo-once", r.Deadline()))
			d.recordAnswer("at most once", r.Name(), "", r.Deadline(), vms[i].Name(), a)
			if a.Code() != int(want) {
				d.problems = append(d.problems, fmt.Sprintf("%s: result code %d, expected %d", r.Name(), a.Code(), want))
			}
			// The outcome of the first request is recorded at the voters only
			// after the answer.
			time.Sleep(outcomeDelay)
		}
	}
}

// outcomeDelay is the wait after each non-idempotent request, within which the
// voters are expected to record its outcome.
const outcomeDelay = 200 * time.Millisecond

// recordAnswer adds an answer to the table, and the problems that findProblems
// finds in it to the list.
func (d *demo) recordAnswer(phase, query, outCentre string, deadline time.Duration, vm string, a driver.Answer) {
	d.sent++
	asked, answered := a.Coverage()
	fmt.Fprintf(d.table, "%s\t%s\t%s\t%d\t%s\t%d/%d\t%.1f ms\n", phase, query, vm, a.Code(), a.Snapshot(), answered, asked, float64(a.Latency().Microseconds())/1000)
	for _, problem := range findProblems(d.inst, outCentre, deadline, a) {
		d.problems = append(d.problems, fmt.Sprintf("%s %s at %s: %s", phase, query, vm, problem))
	}
}

// findProblems returns a line for each problem of an answer: an unexpected
// result code, incomplete coverage, an exceeded deadline, or a result for
// another caller, from another snapshot or from the data centre outCentre. If
// there is no valid answer, it returns only the error.
func findProblems(in *installation.Installation, outCentre string, deadline time.Duration, a driver.Answer) []string {
	var problems []string
	if a.Err() != nil {
		return []string{a.Err().Error()}
	}
	code := result.Code(a.Code())
	if code.Class() != result.ClassSuccess && code != result.ClaimedBefore {
		problems = append(problems, fmt.Sprintf("unexpected result code %d", a.Code()))
	}
	asked, answered := a.Coverage()
	if answered != asked || len(a.ResultLeafs()) != answered {
		problems = append(problems, fmt.Sprintf("%d of %d services answered, with %d results, missing %v", answered, asked, len(a.ResultLeafs()), a.MissingServices()))
	}
	if a.Latency() > deadline+latencyAllowance {
		problems = append(problems, fmt.Sprintf("took %v, longer than the deadline of %v plus an allowance of %v", a.Latency(), deadline, latencyAllowance))
	}
	for i, leaf := range a.ResultLeafs() {
		if outCentre != "" && in.DataCentreOf(leaf) == outCentre {
			problems = append(problems, fmt.Sprintf("a result is from leaf %s in data centre %s, which is out of service", leaf, outCentre))
		}
		if a.ResultCallerIDs()[i] != a.CallerID() {
			problems = append(problems, fmt.Sprintf("a result carries the caller id %q of another request", a.ResultCallerIDs()[i]))
		}
		if a.Snapshot() != "" && a.ResultSnapshots()[i] != a.Snapshot() {
			problems = append(problems, fmt.Sprintf("a result is from snapshot %q, which is not that of the answer", a.ResultSnapshots()[i]))
		}
	}
	return problems
}

// lastLine returns the last line of a text, without trailing white space.
func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}
