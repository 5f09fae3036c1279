// Command mulberryctl is the operators' command line.
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

// globalFlags are what every command may be given.
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
	app := kingpin.New("mulberryctl", "Operates a mulberrydale installation.")
	app.Flag("vm", "Operators' address of any VM.").Envar("MULBERRYCTL_VM").Default("127.0.0.1:9101").StringVar(&f.address)
	app.Flag("author", "Who makes the change.").Default(currentUser()).StringVar(&f.author)
	app.Flag("reason", "Why, for the audit trail.").StringVar(&f.reason)
	app.Flag("change-id", "Id of the change; repeat it to send a change again.").StringVar(&f.changeID)
	app.Flag("yes", "Do not ask.").Short('y').BoolVar(&f.yes)
	app.Flag("json", "Print JSON lines.").BoolVar(&f.json)
	app.Flag("timeout", "How long to wait until a version is in force.").Default("15s").DurationVar(&f.timeout)

	apply := app.Command("apply", "Put a configuration file in force.")
	applyFile := apply.Arg("file", "Configuration file, - for standard input.").Required().String()
	diff := app.Command("diff", "Show what a configuration file would change.")
	diffFile := diff.Arg("file", "Configuration file, - for standard input.").Required().String()
	show := app.Command("show", "Print the configuration in force.")
	out := app.Command("out", "Take a data centre out of service.")
	outName := out.Arg("data-centre", "Name of the data centre.").Required().String()
	in := app.Command("in", "Put a data centre back into service.")
	inName := in.Arg("data-centre", "Name of the data centre.").Required().String()
	status := app.Command("status", "Show the VMs and the version at each.")
	wait := app.Command("wait", "Wait until a version is in force everywhere.")
	waitVersion := wait.Arg("version", "Number of the version.").Required().Uint64()
	audit := app.Command("audit", "Print the attempts at changes.")

	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	if f.changeID == "" {
		f.changeID = uuid.NewString()
	}
	t := &tool{flags: f, client: operator.NewClient(f.address), console: console.New(os.Stdout, f.json)}
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

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
