// Command standin plays the platform around one process of the system: the list of
// leafs, the leafs, the operator and the clients. It starts the process with the command
// of the deploy file, runs one case against it, writes what was sent, run and answered to
// a record, and judges the case by that record alone.
//
// It exits with 1 if a rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// testCase runs one case and returns how often the rule was broken.
type testCase func(e *environment, trouble bool) (broken int, err error)

func main() {
	name := flag.String("case", "", "case to run")
	names := flag.String("names", "", "file with the names of the wire and the templates of the documents")
	program := flag.String("program", "", "program under test")
	record := flag.String("record", "", "file for the record")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the random numbers")
	flag.Parse()
	os.Exit(run(*name, *names, *program, *record, *trouble, *seed))
}

// run prepares the environment, runs the case and ends all that was started.
func run(name, names, program, record string, trouble bool, seed uint64) int {
	cases := map[string]testCase{
		"extra-answer":   extraAnswer,
		"same-id":        sameID,
		"leaving-client": leavingClient,
	}
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitCannotRun
	}
	e, err := newEnvironment(names, program, record, seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer e.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		e.close()
		os.Exit(exitCannotRun)
	}()
	e.rec.line("case %s, trouble %t, seed %d", name, trouble, seed)
	broken, err := c(e, trouble)
	if err != nil {
		e.rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	e.rec.line("result: broken %d times", broken)
	fmt.Printf("%s, trouble %t: broken %d times\n", name, trouble, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
