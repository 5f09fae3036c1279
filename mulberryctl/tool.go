package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/operator"
	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
	"github.com/mulberrydale/mulberrydale/mulberryctl/console"
)

const (
	// waitPoll is the time between two looks at which VMs have a version.
	waitPoll = 100 * time.Millisecond
	// resendPause is the time before a change without an outcome is sent again.
	resendPause = 300 * time.Millisecond
	// maxSends bounds how often one change is sent.
	maxSends = 5
)

// tool runs the commands against one VM.
type tool struct {
	flags  *flags
	client *operator.Client
	out    *console.Console
}

func (t *tool) apply(ctx context.Context, path string) error {
	text, cfg, err := readFile(path)
	if err != nil {
		return err
	}
	base, current, _, err := t.client.Configuration(ctx)
	if err != nil {
		return err
	}
	differences := configuration.Diff(current, cfg)
	t.out.Differences(differences)
	if len(differences) == 0 {
		t.out.Note("nothing to change", base)
		return nil
	}
	if !t.flags.yes && !confirm(fmt.Sprintf("Put these %d differences in force from version %d?", len(differences), base)) {
		return result.New(result.NothingChanged, "not confirmed; nothing was sent")
	}
	change := operator.NewDocumentChange(t.flags.changeID, base, t.flags.author, t.flags.reason, string(text))
	return t.send(ctx, change)
}

func (t *tool) setCentre(ctx context.Context, name string, inService bool) error {
	base, _, _, err := t.client.Configuration(ctx)
	if err != nil {
		return err
	}
	return t.send(ctx, operator.NewDataCentreChange(t.flags.changeID, base, t.flags.author, t.flags.reason, name, inService))
}

// send sends a change until its outcome is known. The change id makes that
// safe: a change that was accepted before is not made again.
func (t *tool) send(ctx context.Context, change operator.Change) error {
	t.out.Text("change id " + change.ID())
	var outcome operator.Outcome
	var err error
	for range maxSends {
		outcome, err = t.client.Send(ctx, change)
		if err == nil && outcome.Code() != result.NoQuorum && outcome.Code() != result.ChangeUnknown {
			break
		}
		time.Sleep(resendPause)
	}
	if err != nil {
		return err
	}
	t.out.Outcome(outcome)
	switch outcome.Code() {
	case result.ChangeAccepted, result.ChangeRepeated:
		return t.wait(ctx, outcome.Version())
	case result.VersionConflict:
		t.showSince(ctx, change.BaseVersion())
	}
	return result.New(outcome.Code(), "%s", outcome.Message())
}

// showSince prints what others changed after the version that this operator
// saw. A VM without a log can't tell.
func (t *tool) showSince(ctx context.Context, version uint64) {
	records, err := t.client.Audit(ctx)
	if err != nil {
		return
	}
	for _, r := range audit.AcceptedAfter(records, version) {
		t.out.Audit(r)
	}
}

func (t *tool) diff(ctx context.Context, path string) error {
	_, cfg, err := readFile(path)
	if err != nil {
		return err
	}
	_, current, _, err := t.client.Configuration(ctx)
	if err != nil {
		return err
	}
	t.out.Differences(configuration.Diff(current, cfg))
	return nil
}

func (t *tool) show(ctx context.Context) error {
	version, _, text, err := t.client.Configuration(ctx)
	if err != nil {
		return err
	}
	if version == 0 {
		return result.New(result.NoConfiguration, "no configuration was accepted yet")
	}
	_, err = os.Stdout.Write(text)
	return err
}

func (t *tool) status(ctx context.Context) error {
	s, err := t.client.Status(ctx)
	if err != nil {
		return err
	}
	t.out.Status(s)
	return nil
}

// wait waits until every VM has confirmed a version, and names those that have
// not when the time is over.
func (t *tool) wait(ctx context.Context, version uint64) error {
	began := time.Now()
	var lacking []string
	for {
		s, err := t.client.Status(ctx)
		if err == nil {
			lacking = s.Unconfirmed(version)
			if len(lacking) == 0 {
				t.out.Note(fmt.Sprintf("in force everywhere after %d ms", time.Since(began).Milliseconds()), version)
				return nil
			}
			t.out.Progress(fmt.Sprintf("version %d is not confirmed by %s", version, strings.Join(lacking, ", ")))
		}
		if time.Since(began) > t.flags.timeout || ctx.Err() != nil {
			return result.New(result.NotInForce, "version %d is accepted but not confirmed by %s", version, strings.Join(lacking, ", "))
		}
		time.Sleep(waitPoll)
	}
}

func (t *tool) audit(ctx context.Context) error {
	records, err := t.client.Audit(ctx)
	if err != nil {
		return err
	}
	for _, r := range records {
		t.out.Audit(r)
	}
	return nil
}

func readFile(path string) ([]byte, configuration.Configuration, error) {
	var text []byte
	var err error
	if path == "-" {
		text, err = io.ReadAll(os.Stdin)
	} else {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, configuration.Configuration{}, result.Wrap(err, result.DocumentMissing, "configuration")
	}
	cfg, err := configuration.Decode(text)
	return text, cfg, err
}

// confirm asks on the terminal. Anything but a clear yes is a no.
func confirm(question string) bool {
	fmt.Fprintf(os.Stderr, "%s [y/N] ", question)
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil {
		return false
	}
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}
