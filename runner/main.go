// Command runner runs an installation of real processes on loopback: a
// demonstration, and scenarios with bounds.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("runner", "Runs an installation of real processes on loopback.")
	binaries := app.Flag("binaries", "Folder of the built programs.").Default("build").String()
	demo := app.Command("demo", "Show the main job from end to end.")
	demoFile := demo.Arg("configuration", "Configuration file.").Required().String()

	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	var err error
	if kingpin.MustParse(app.Parse(os.Args[1:])) == demo.FullCommand() {
		err = runDemo(ctx, *binaries, *demoFile)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
