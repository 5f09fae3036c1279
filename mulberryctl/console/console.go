// Package console prints the results of mulberryctl's commands, as plain text or as
// JSON lines.
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

// Console prints the results of commands. Progress lines are overwritten in place if
// the output is a terminal.
type Console struct {
	w        io.Writer
	json     bool
	terminal bool
	progress string
}

// New returns a console that writes to w, as JSON lines if json is true.
func New(w io.Writer, json bool) *Console {
	c := &Console{w: w, json: json}
	if f, ok := w.(*os.File); ok {
		info, err := f.Stat()
		c.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	return c
}

// member is a member of a JSON object, with its value as a string.
type member struct {
	key   string
	value string
}

// writeObject writes a JSON object on a line of its own.
func (c *Console) writeObject(members ...member) {
	var encoded []string
	for _, m := range members {
		encoded = append(encoded, quote(m.key)+":"+quote(m.value))
	}
	fmt.Fprintf(c.w, "{%s}\n", strings.Join(encoded, ","))
}

// quote returns s as a JSON string with its quotation marks, or the empty JSON
// string "" if s is not valid UTF-8.
func quote(s string) string {
	text, err := jsontext.AppendQuote(nil, s)
	if err != nil {
		return `""`
	}
	return string(text)
}

// Line prints a line of text, or with JSON output an object with the member note.
func (c *Console) Line(text string) {
	if c.json {
		c.writeObject(member{"note", text})
		return
	}
	fmt.Fprintln(c.w, text)
}

// VersionNote ends the progress line and prints a line of text about a version.
func (c *Console) VersionNote(text string, version uint64) {
	c.endProgress()
	if c.json {
		c.writeObject(member{"note", text}, member{"version", fmt.Sprint(version)})
		return
	}
	fmt.Fprintf(c.w, "version %d: %s\n", version, text)
}

// Progress prints the state of a wait if it has changed since the last call: on a
// terminal it overwrites the previous state, otherwise it prints a new line.
func (c *Console) Progress(text string) {
	if text == c.progress {
		return
	}
	c.progress = text
	switch {
	case c.json:
		c.writeObject(member{"progress", text})
	case c.terminal:
		fmt.Fprintf(c.w, "\r\x1b[K%s", text)
	default:
		fmt.Fprintln(c.w, text)
	}
}

// endProgress clears the progress line of a terminal.
func (c *Console) endProgress() {
	if c.terminal && !c.json && c.progress != "" {
		fmt.Fprint(c.w, "\r\x1b[K")
	}
	c.progress = ""
}

// Differences prints one line for each difference between two configurations.
func (c *Console) Differences(differences []configuration.Difference) {
	for _, d := range differences {
		if c.json {
			c.writeObject(member{"part", d.Part()}, member{"before", d.Before()}, member{"after", d.After()})
			continue
		}
		fmt.Fprintln(c.w, d)
	}
}

// Outcome prints the result code and the message of a change. JSON output also has the
// version.
func (c *Console) Outcome(o operator.Outcome) {
	if c.json {
		c.writeObject(member{"result-code", fmt.Sprint(int(o.Code()))}, member{"result", o.Code().String()},
			member{"version", fmt.Sprint(o.Version())}, member{"message", o.Message()})
		return
	}
	fmt.Fprintf(c.w, "%d %s: %s\n", o.Code(), o.Code(), o.Message())
}

// Audit prints a record of the audit trail.
func (c *Console) Audit(r audit.Record) {
	at := r.At().UTC().Format(time.RFC3339)
	if c.json {
		c.writeObject(member{"at", at}, member{"author", r.Author()}, member{"reason", r.Reason()},
			member{"change-id", r.ChangeID()}, member{"base-version", fmt.Sprint(r.Base())},
			member{"version", fmt.Sprint(r.Version())}, member{"result", r.Code().String()},
			member{"changes", strings.Join(r.Changes(), "\n")})
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

// Status prints the status of a VM and of its peers. Only plain text has the time since
// the last quorum confirmation and the number of targets in each state.
func (c *Console) Status(s operator.Status) {
	if c.json {
		c.writeObject(member{"vm", s.VM()}, member{"data-centre", s.DataCentre()}, member{"version", fmt.Sprint(s.Version())},
			member{"freshness", s.Freshness()}, member{"leader", s.Leader()})
		for _, p := range s.Peers() {
			c.writeObject(member{"peer", p.VM()}, member{"data-centre", p.DataCentre()}, member{"version", fmt.Sprint(p.Version())},
				member{"state", peerState(p)})
		}
		return
	}
	fmt.Fprintf(c.w, "%-12s %-10s version %-6d %s, quorum confirmed %d ms ago, leader %s\n",
		s.VM(), s.DataCentre(), s.Version(), s.Freshness(), s.QuorumAge().Milliseconds(), s.Leader())
	for _, p := range s.Peers() {
		fmt.Fprintf(c.w, "%-12s %-10s version %-6d %s\n", p.VM(), p.DataCentre(), p.Version(), peerState(p))
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

// peerState returns the state of a peer as status prints it: "not heard" if the VM
// that was asked has received no recent heartbeat of the peer, "leaving" if the peer
// is shutting down, otherwise "heard".
func peerState(p operator.Peer) string {
	switch {
	case !p.Alive():
		return "not heard"
	case p.Leaving():
		return "leaving"
	}
	return "heard"
}
