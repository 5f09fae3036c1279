// Command standin2 plays clients, leafs, operators and the platform for the cases of a
// review, and starts the project's program on loopback addresses. It exits with 0 if the
// rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// verdict is the result of a case.
type verdict int

const (
	held verdict = iota
	broken
	unusable
)

// cases has the function of each case by name. trouble is false for the same case without
// the disruption.
var cases = map[string]func(r *record, trouble bool) (verdict, error){
	"first-start":      firstStart,
	"foreign-entry":    foreignEntry,
	"last-tenant":      lastTenant,
	"unreadable-entry": unreadableEntry,
	"not-json":         notJSON,
	"stale-order":      staleOrder,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(int(unusable))
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(unusable))
	}
	v, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("the case could not run: %v", err)
		v = unusable
	}
	r.say("verdict: %s", []string{"the rule held", "the rule was broken", "the case could not run"}[v])
	os.Exit(int(v))
}
