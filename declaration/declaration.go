// Package declaration is the library with which operators write a
// configuration as a Go program. The program declares data centres, services
// with their leafs, queries and non-idempotent requests, and prints the
// configuration as JSON with comments. The output is deterministic: the same
// program always prints the same bytes, so that changes can be compared and
// reviewed and the program can be run again.
package declaration

import (
	"fmt"
	"io"
	"time"

	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// Declaration collects the parts of one configuration. The document lists the
// parts of each kind in the order in which they were declared.
type Declaration struct {
	operator    string
	maxEntryVMs int
	notes       configuration.Notes
	dataCentres []configuration.DataCentre
	services    []*Service
	queries     []configuration.Query
	requests    []configuration.NonIdempotentRequest
}

// New returns an empty declaration for the named operator. maxEntryVMs is the
// maximum number of entry VMs that run at the same time.
func New(operator string, maxEntryVMs int) *Declaration {
	return &Declaration{operator: operator, maxEntryVMs: maxEntryVMs}
}

// Note sets the comment at the top of the document.
func (d *Declaration) Note(text string) {
	d.notes = d.notes.With("operator", text)
}

// DataCentre declares a data centre that is in service.
func (d *Declaration) DataCentre(name, region string) {
	d.dataCentres = append(d.dataCentres, configuration.NewDataCentre(name, region, true))
}

// OutOfService takes the named data centre out of service. It has no effect if
// the data centre has not been declared yet. In an emergency, mulberryctl is
// faster; this method makes the state part of the declaration.
func (d *Declaration) OutOfService(name string) {
	for i, dc := range d.dataCentres {
		if dc.Name() == name {
			d.dataCentres[i] = configuration.NewDataCentre(name, dc.Region(), false)
		}
	}
}

// Service declares a service without leafs and returns it, so that the caller
// can add them. The limits apply to each leaf.
func (d *Declaration) Service(name string, limits Limits) *Service {
	s := &Service{name: name, limits: limits}
	d.services = append(d.services, s)
	return s
}

// Query declares a query that is sent to the given services. The note is
// printed as a comment before the query. The deadline applies if the caller
// sets none; the document holds it in whole milliseconds, and a fraction is
// dropped.
func (d *Declaration) Query(name, note string, deadline time.Duration, services ...*Service) {
	names := make([]string, 0, len(services))
	for _, s := range services {
		names = append(names, s.name)
	}
	d.notes = d.notes.With("query "+name, note)
	d.queries = append(d.queries, configuration.NewQuery(name, deadline, names))
}

// NonIdempotentRequest declares a request that runs at most once for each
// request id, on one leaf of the service. The note is printed as a comment
// before the request. The deadline applies if the caller sets none. Request
// ids are kept for idRetention after their first use. The document holds the
// deadline in whole milliseconds and idRetention in whole seconds; fractions are
// dropped.
func (d *Declaration) NonIdempotentRequest(name, note string, deadline time.Duration, service *Service, idRetention time.Duration) {
	d.notes = d.notes.With("request "+name, note)
	d.requests = append(d.requests, configuration.NewNonIdempotentRequest(name, deadline, service.name, idRetention))
}

// Configuration returns the declared configuration without checking it.
func (d *Declaration) Configuration() configuration.Configuration {
	services := make([]configuration.Service, 0, len(d.services))
	for _, s := range d.services {
		services = append(services, configuration.NewService(s.name, s.limits.toConfiguration(), s.limits.reportsLoad, s.leafs))
	}
	return configuration.New(d.operator, d.maxEntryVMs, d.dataCentres, services, d.queries, d.requests)
}

// Print writes the document of the declaration to w. If the declaration has
// problems, Print writes nothing and returns an error that lists all of them:
// those of configuration.Configuration.Check, or else those that
// configuration.Decode finds in the document, such as a number over its upper
// bound.
func (d *Declaration) Print(w io.Writer) error {
	cfg := d.Configuration()
	if problems := cfg.Check(); len(problems) > 0 {
		return joinProblems(problems)
	}
	text := configuration.Encode(cfg, d.notes)
	if _, err := configuration.Decode(text); err != nil {
		return err
	}
	_, err := w.Write(text)
	return err
}

// joinProblems returns an error that wraps all problems. Each problem after
// the first is on a line of its own, which starts with the number of problems
// from this line to the last.
func joinProblems(problems []configuration.Problem) error {
	first := problems[0]
	if len(problems) == 1 {
		return first
	}
	return fmt.Errorf("%w\nand %d more: %w", first, len(problems)-1, joinProblems(problems[1:]))
}
