// Command runner starts an installation of real processes on loopback, for a
// demonstration, for measured scenarios and for soak tests.
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
	app := kingpin.New("runner", "Runs an installation of real processes on loopback, to demonstrate, measure or test it.")
	binaries := app.Flag("binaries", "Folder with the built programs.").Default("build").String()
	demo := app.Command("demo", "Send queries to three entry VMs while a data centre is taken out of service and put back.")
	demoFile := demo.Arg("configuration", "Configuration file.").Required().String()

	up := app.Command("up", "Start three entry VMs and all leafs, and keep them running until interrupted.")
	upFile := up.Arg("configuration", "Configuration file.").Required().String()
	bench := app.Command("bench", "Run scenarios and compare the measured figures with their bounds.")
	benchFiles := bench.Arg("configurations", "Configuration files, one for each deployment.").Required().Strings()
	scenarioPrefixes := bench.Flag("scenario", "Run only scenarios whose name starts with one of these, separated by commas; all by default.").String()
	seed := bench.Flag("seed", "Seed of all random choices.").Default("1").Uint64()
	jsonFile := bench.Flag("json", "Also write the figures to this file, one JSON object a line.").String()

	soakCommand := app.Command("soak", "Run real processes under random faults and check the guarantees of the system.")
	soakSeed := soakCommand.Flag("seed", "Seed of the first run.").Default("1").Uint64()
	soakRuns := soakCommand.Flag("runs", "Number of runs, each with the next seed.").Default("1").Int()
	soakTime := soakCommand.Flag("time", "How long faults are injected in each run.").Default("15s").Duration()
	soakFolder := soakCommand.Flag("folder", "Folder for the logs and data of the runs.").Default("build/soak").String()

	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case demo.FullCommand():
		err = runDemo(ctx, *binaries, *demoFile)
	case up.FullCommand():
		err = runUp(ctx, *binaries, *upFile)
	case bench.FullCommand():
		err = runBench(ctx, *binaries, *benchFiles, *scenarioPrefixes, *seed, *jsonFile)
	case soakCommand.FullCommand():
		err = runSoak(ctx, *binaries, *soakFolder, *soakSeed, *soakRuns, *soakTime)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
