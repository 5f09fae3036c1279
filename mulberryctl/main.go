// Command mulberryctl is the command-line tool for operators of a mulberrydale
// installation.
package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/mulberrydale/mulberrydale/core/connection/operator"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/mulberryctl/console"
)

// globalFlags holds the flags that all commands share.
type globalFlags struct {
	address  string
	author   string
	reason   string
	changeID string
	yes      bool
	json     bool
	timeout  time.Duration
}

func main() {
	f := &globalFlags{}
	app := kingpin.New("mulberryctl", "Manage a mulberrydale installation.")
	app.Flag("vm", "Address of the operators' API of any VM.").Envar("MULBERRYCTL_VM").Default("127.0.0.1:9101").StringVar(&f.address)
	app.Flag("author", "Author of the change, for the audit trail.").Default(currentUser()).StringVar(&f.author)
	app.Flag("reason", "Reason for the change, for the audit trail.").StringVar(&f.reason)
	app.Flag("change-id", "Id of the change; pass the id of an earlier run to send the same change again.").StringVar(&f.changeID)
	app.Flag("yes", "Apply without asking for confirmation.").Short('y').BoolVar(&f.yes)
	app.Flag("json", "Print results as JSON lines.").BoolVar(&f.json)
	app.Flag("timeout", "How long to wait until a version is in force on all VMs.").Default("15s").DurationVar(&f.timeout)

	apply := app.Command("apply", "Apply a configuration file.")
	applyFile := apply.Arg("file", "Configuration file, - for standard input.").Required().String()
	diff := app.Command("diff", "Show what a configuration file would change.")
	diffFile := diff.Arg("file", "Configuration file, - for standard input.").Required().String()
	show := app.Command("show", "Print the configuration in force.")
	out := app.Command("out", "Take a data centre out of service.")
	outName := out.Arg("data-centre", "Name of the data centre.").Required().String()
	in := app.Command("in", "Put a data centre back into service.")
	inName := in.Arg("data-centre", "Name of the data centre.").Required().String()
	status := app.Command("status", "Show the VMs and the configuration version of each.")
	wait := app.Command("wait", "Wait until a version is in force on all VMs.")
	waitVersion := wait.Arg("version", "Number of the version.").Required().Uint64()
	audit := app.Command("audit", "Print the audit trail of attempted changes.")

	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	if f.changeID == "" {
		f.changeID = uuid.NewString()
	}
	t := &tool{flags: f, client: operator.NewClient(f.address), printer: console.New(os.Stdout, f.json)}
	// The flag timeout limits the wait for a version. The calls before it, together
	// with the time that the operator takes to confirm a change, have another 10 s.
	ctx, cancel := context.WithTimeout(context.Background(), f.timeout+10*time.Second)
	defer cancel()
	handlers := map[string]func() error{
		apply.FullCommand():  func() error { return t.apply(ctx, *applyFile) },
		diff.FullCommand():   func() error { return t.diff(ctx, *diffFile) },
		show.FullCommand():   func() error { return t.show(ctx) },
		out.FullCommand():    func() error { return t.setDataCentre(ctx, *outName, false) },
		in.FullCommand():     func() error { return t.setDataCentre(ctx, *inName, true) },
		status.FullCommand(): func() error { return t.status(ctx) },
		wait.FullCommand():   func() error { return t.wait(ctx, *waitVersion) },
		audit.FullCommand():  func() error { return t.audit(ctx) },
	}
	if err := handlers[command](); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(result.CodeOf(err).ExitStatus())
	}
}

// currentUser returns the login name, or "unknown" if it can't be determined.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
