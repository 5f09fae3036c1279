// Package console prints for operators: plain lines, or JSON lines for
// programs.
package console

import (
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/mulberrydale/mulberrydale/core/connection/operator"
	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// Console writes the results of commands.
type Console struct {
	w        io.Writer
	json     bool
	terminal bool
	progress string
}

// New returns a console that writes to w, as JSON lines where asked.
func New(w io.Writer, json bool) *Console {
	c := &Console{w: w, json: json}
	if f, ok := w.(*os.File); ok {
		info, err := f.Stat()
		c.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	return c
}

// pair is a member of a JSON line.
type pair struct {
	key   string
	value string
}

func (c *Console) object(pairs ...pair) {
	var members []string
	for _, p := range pairs {
		members = append(members, quote(p.key)+":"+quote(p.value))
	}
	fmt.Fprintf(c.w, "{%s}\n", strings.Join(members, ","))
}

func quote(s string) string {
	text, err := jsontext.AppendQuote(nil, s)
	if err != nil {
		return `""`
	}
	return string(text)
}

// Text prints a line for people; programs get it as a note.
func (c *Console) Text(text string) {
	if c.json {
		c.object(pair{"note", text})
		return
	}
	fmt.Fprintln(c.w, text)
}

// Note prints a line about a version.
func (c *Console) Note(text string, version uint64) {
	c.endProgress()
	if c.json {
		c.object(pair{"note", text}, pair{"version", fmt.Sprint(version)})
		return
	}
	fmt.Fprintf(c.w, "version %d: %s\n", version, text)
}

// Progress shows how far a wait has come: in place on a terminal, a line for
// each new state elsewhere.
func (c *Console) Progress(text string) {
	if text == c.progress {
		return
	}
	c.progress = text
	switch {
	case c.json:
		c.object(pair{"progress", text})
	case c.terminal:
		fmt.Fprintf(c.w, "\r\x1b[K%s", text)
	default:
		fmt.Fprintln(c.w, text)
	}
}

func (c *Console) endProgress() {
	if c.terminal && !c.json && c.progress != "" {
		fmt.Fprint(c.w, "\r\x1b[K")
	}
	c.progress = ""
}

// Differences prints differences in the manner of a patch.
func (c *Console) Differences(list []configuration.Difference) {
	for _, d := range list {
		if c.json {
			c.object(pair{"part", d.Part()}, pair{"before", d.Before()}, pair{"after", d.After()})
			continue
		}
		fmt.Fprintln(c.w, d)
	}
}

// Outcome prints the answer to a change.
func (c *Console) Outcome(o operator.Outcome) {
	if c.json {
		c.object(pair{"result-code", fmt.Sprint(int(o.Code()))}, pair{"result", o.Code().String()},
			pair{"version", fmt.Sprint(o.Version())}, pair{"message", o.Message()})
		return
	}
	fmt.Fprintf(c.w, "%d %s: %s\n", o.Code(), o.Code(), o.Message())
}

// Audit prints an attempt at a change.
func (c *Console) Audit(r audit.Record) {
	at := r.At().UTC().Format(time.RFC3339)
	if c.json {
		c.object(pair{"at", at}, pair{"author", r.Author()}, pair{"reason", r.Reason()},
			pair{"change-id", r.ChangeID()}, pair{"base-version", fmt.Sprint(r.Base())},
			pair{"version", fmt.Sprint(r.Version())}, pair{"result", r.Code().String()},
			pair{"changes", strings.Join(r.Changes(), "\n")})
		return
	}
	outcome := fmt.Sprintf("%d %s", r.Code(), r.Code())
	if r.Code() == result.ChangeAccepted {
		outcome = fmt.Sprintf("version %d", r.Version())
	}
	fmt.Fprintf(c.w, "%s  %s  from %d: %s  %s  (%s)\n", at, r.Author(), r.Base(), outcome, r.Reason(), r.ChangeID())
	for _, change := range r.Changes() {
		fmt.Fprintf(c.w, "    %s\n", change)
	}
}

// Status prints a VM's view of itself and the others.
func (c *Console) Status(s operator.Status) {
	if c.json {
		c.object(pair{"vm", s.VM()}, pair{"data-centre", s.DataCentre()}, pair{"version", fmt.Sprint(s.Version())},
			pair{"freshness", s.Freshness()}, pair{"leader", s.Leader()})
		for _, p := range s.Peers() {
			c.object(pair{"peer", p.VM()}, pair{"data-centre", p.DataCentre()}, pair{"version", fmt.Sprint(p.Version())},
				pair{"state", stateOf(p)})
		}
		return
	}
	fmt.Fprintf(c.w, "%-12s %-10s version %-6d %s, quorum confirmed %d ms ago, leader %s\n",
		s.VM(), s.DataCentre(), s.Version(), s.Freshness(), s.QuorumAge().Milliseconds(), s.Leader())
	for _, p := range s.Peers() {
		fmt.Fprintf(c.w, "%-12s %-10s version %-6d %s\n", p.VM(), p.DataCentre(), p.Version(), stateOf(p))
	}
	var states []string
	for state, n := range s.Targets() {
		if n > 0 {
			states = append(states, fmt.Sprintf("%d %s", n, state))
		}
	}
	sort.Strings(states)
	fmt.Fprintf(c.w, "targets: %s\n", strings.Join(states, ", "))
}

func stateOf(p operator.Peer) string {
	switch {
	case !p.Alive():
		return "not heard"
	case p.Leaving():
		return "leaving"
	}
	return "heard"
}
