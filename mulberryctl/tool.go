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
	// waitPollInterval is the pause between two status requests of wait.
	waitPollInterval = 100 * time.Millisecond
	// resendDelay is the pause after an attempt to send a change that failed, found
	// no quorum or has an unknown outcome.
	resendDelay = 300 * time.Millisecond
	// maxAttempts limits how often one change is sent.
	maxAttempts = 5
)

// tool implements the commands by calls to the operators' API of one VM.
type tool struct {
	flags   *globalFlags
	client  *operator.Client
	printer *console.Console
}

// apply shows the differences between a configuration file and the current
// configuration, asks for confirmation unless --yes is set, and sends the change. It
// sends nothing if there are no differences.
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
	t.printer.Differences(differences)
	if len(differences) == 0 {
		t.printer.VersionNote("already in force; nothing to change", base)
		return nil
	}
	if !t.flags.yes && !confirm(fmt.Sprintf("Apply these %d differences to version %d?", len(differences), base)) {
		return result.New(result.NothingChanged, "the change was not confirmed; nothing was sent")
	}
	change := operator.NewDocumentChange(t.flags.changeID, base, t.flags.author, t.flags.reason, string(text))
	return t.send(ctx, change)
}

// setDataCentre takes a data centre out of service or puts it back.
func (t *tool) setDataCentre(ctx context.Context, name string, inService bool) error {
	base, _, _, err := t.client.Configuration(ctx)
	if err != nil {
		return err
	}
	return t.send(ctx, operator.NewDataCentreChange(t.flags.changeID, base, t.flags.author, t.flags.reason, name, inService))
}

// send sends a change until it is accepted or rejected, at most maxAttempts times. If
// it is accepted, send waits until all VMs have confirmed the version. Sending the
// change again is safe, since the VM accepts only one change with the same id. After a
// version conflict send prints the changes that were accepted since the base version.
func (t *tool) send(ctx context.Context, change operator.Change) error {
	t.printer.Line("change id " + change.ID())
	var outcome operator.Outcome
	var err error
	for range maxAttempts {
		outcome, err = t.client.Send(ctx, change)
		if err == nil && outcome.Code() != result.NoQuorum && outcome.Code() != result.ChangeUnknown {
			break
		}
		time.Sleep(resendDelay)
	}
	if err != nil {
		return err
	}
	t.printer.Outcome(outcome)
	switch outcome.Code() {
	case result.ChangeAccepted, result.ChangeRepeated:
		return t.wait(ctx, outcome.Version())
	case result.VersionConflict:
		t.printChangesSince(ctx, change.BaseVersion())
	}
	return result.New(outcome.Code(), "%s", outcome.Message())
}

// printChangesSince prints the changes that were accepted after a version. It prints
// nothing if the audit trail can't be read, for example because the VM is not a
// control VM and has none.
func (t *tool) printChangesSince(ctx context.Context, version uint64) {
	records, err := t.client.Audit(ctx)
	if err != nil {
		return
	}
	for _, r := range audit.AcceptedAfter(records, version) {
		t.printer.Audit(r)
	}
}

// diff prints the differences between a configuration file and the current
// configuration.
func (t *tool) diff(ctx context.Context, path string) error {
	_, cfg, err := readFile(path)
	if err != nil {
		return err
	}
	_, current, _, err := t.client.Configuration(ctx)
	if err != nil {
		return err
	}
	t.printer.Differences(configuration.Diff(current, cfg))
	return nil
}

// show writes the text of the current configuration to standard output. The error is
// NoConfiguration if there is none.
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

// status prints the status of the VM and of its peers.
func (t *tool) status(ctx context.Context) error {
	s, err := t.client.Status(ctx)
	if err != nil {
		return err
	}
	t.printer.Status(s)
	return nil
}

// wait waits until every VM has confirmed a version. A failed status request is
// repeated. After the timeout or the end of ctx the error is NotInForce and names the
// VMs that had not confirmed it in the last status, none if no request succeeded.
func (t *tool) wait(ctx context.Context, version uint64) error {
	began := time.Now()
	var unconfirmed []string
	for {
		s, err := t.client.Status(ctx)
		if err == nil {
			unconfirmed = s.Unconfirmed(version)
			if len(unconfirmed) == 0 {
				t.printer.VersionNote(fmt.Sprintf("in force on all VMs after %d ms", time.Since(began).Milliseconds()), version)
				return nil
			}
			t.printer.Progress(fmt.Sprintf("version %d is not confirmed by %s", version, strings.Join(unconfirmed, ", ")))
		}
		if time.Since(began) > t.flags.timeout || ctx.Err() != nil {
			return result.New(result.NotInForce, "version %d is accepted but not confirmed by %s", version, strings.Join(unconfirmed, ", "))
		}
		time.Sleep(waitPollInterval)
	}
}

// audit prints the audit trail of attempted changes, which only a control VM has.
func (t *tool) audit(ctx context.Context) error {
	records, err := t.client.Audit(ctx)
	if err != nil {
		return err
	}
	for _, r := range records {
		t.printer.Audit(r)
	}
	return nil
}

// readFile reads and decodes a configuration file, or standard input if path is "-".
// It returns the text and the decoded configuration. The error is DocumentMissing if
// the file can't be read, otherwise it is that of configuration.Decode.
func readFile(path string) ([]byte, configuration.Configuration, error) {
	var text []byte
	var err error
	if path == "-" {
		text, err = io.ReadAll(os.Stdin)
	} else {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, configuration.Configuration{}, result.Wrap(err, result.DocumentMissing, "read the configuration")
	}
	cfg, err := configuration.Decode(text)
	return text, cfg, err
}

// confirm asks a question on standard error and reads the reply from standard input.
// Only a line with y or yes, in upper or lower case, counts as a confirmation. A reply
// that can't be read, for example after a configuration was piped in, counts as no.
func confirm(question string) bool {
	fmt.Fprintf(os.Stderr, "%s [y/N] ", question)
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil {
		return false
	}
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}
