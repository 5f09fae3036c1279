// Command standin-3 runs a case of the third review. It starts the processes of a small
// deployment, plays its platform, its leafs, its operator and its clients on loopback
// addresses, and checks one rule with what these have seen.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario is a case: it reports whether the rule was broken. An error means that the case
// could not run.
type scenario func(d *deployment, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"first-start":   firstStart,
	"frozen-leader": frozenLeader,
	"other-writer":  otherWriter,
	"range":         byteRange,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE PROGRAM RECORD")
		os.Exit(exitFailed)
	}
	run, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitFailed)
	}
	os.Exit(play(run, os.Args[2], os.Args[3]))
}

// play runs a scenario in a new deployment and returns the exit status.
func play(run scenario, program, recordPath string) int {
	d, err := newDeployment(program, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.close()
	d.closeOnSignal()
	broken, err := run(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		d.record.write("the case could not run: %v", err)
		return exitFailed
	case broken:
		d.record.write("the rule was broken")
		return exitBroken
	}
	d.record.write("the rule held")
	return exitHeld
}
