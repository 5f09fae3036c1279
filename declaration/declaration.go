// Package declaration is the operators' library. A Go program that imports it
// declares data centres, services with their leafs, queries and non-idempotent
// requests, and prints the configuration as JSON with comments. The same
// program prints the same bytes each time, so that a change can be read,
// reviewed and run again.
package declaration

import (
	"fmt"
	"io"
	"time"

	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// Declaration collects the parts of one configuration. Methods may be called
// in any order; the document lists the parts in the order of the calls.
type Declaration struct {
	operator    string
	maxEntryVMs int
	notes       configuration.Notes
	dataCentres []configuration.DataCentre
	services    []*Service
	queries     []configuration.Query
	requests    []configuration.NonIdempotentRequest
}

// New returns an empty declaration for the named operator. The number of
// entry VMs is the most that may run at the same time.
func New(operator string, maxEntryVMs int) *Declaration {
	return &Declaration{operator: operator, maxEntryVMs: maxEntryVMs}
}

// Note prints a comment at the top of the document.
func (d *Declaration) Note(text string) {
	d.notes = d.notes.With("operator", text)
}

// DataCentre declares a data centre that is in service.
func (d *Declaration) DataCentre(name, region string) {
	d.dataCentres = append(d.dataCentres, configuration.NewDataCentre(name, region, true))
}

// OutOfService takes a declared data centre out of service. Operators in
// a hurry use mulberryctl; this makes it part of the declaration.
func (d *Declaration) OutOfService(name string) {
	for i, dc := range d.dataCentres {
		if dc.Name() == name {
			d.dataCentres[i] = configuration.NewDataCentre(name, dc.Region(), false)
		}
	}
}

// Service declares a service whose leafs all have the given limits.
func (d *Declaration) Service(name string, limits Limits) *Service {
	s := &Service{name: name, limits: limits}
	d.services = append(d.services, s)
	return s
}

// Query declares a query that spans the given services. The deadline holds
// where a caller names none.
func (d *Declaration) Query(name, note string, deadline time.Duration, services ...*Service) {
	names := make([]string, 0, len(services))
	for _, s := range services {
		names = append(names, s.name)
	}
	d.notes = d.notes.With("query "+name, note)
	d.queries = append(d.queries, configuration.NewQuery(name, deadline, names))
}

// NonIdempotentRequest declares a request that runs at most once for each
// request id, on one leaf of the service. Request ids are kept for the given
// time.
func (d *Declaration) NonIdempotentRequest(name, note string, deadline time.Duration, service *Service, idRetention time.Duration) {
	d.notes = d.notes.With("request "+name, note)
	d.requests = append(d.requests, configuration.NewNonIdempotentRequest(name, deadline, service.name, idRetention))
}

// Configuration returns the declared configuration, unchecked.
func (d *Declaration) Configuration() configuration.Configuration {
	services := make([]configuration.Service, 0, len(d.services))
	for _, s := range d.services {
		services = append(services, configuration.NewService(s.name, s.limits.toConfiguration(), s.limits.reportsLoad, s.leafs))
	}
	return configuration.New(d.operator, d.maxEntryVMs, d.dataCentres, services, d.queries, d.requests)
}

// Print checks the declaration and writes its document to w. Nothing is
// written when the check finds a problem; the error then lists them all.
func (d *Declaration) Print(w io.Writer) error {
	cfg := d.Configuration()
	if problems := cfg.Check(); len(problems) > 0 {
		return joinProblems(problems)
	}
	_, err := w.Write(configuration.Encode(cfg, d.notes))
	return err
}

func joinProblems(problems []configuration.Problem) error {
	first := problems[0]
	if len(problems) == 1 {
		return first
	}
	return fmt.Errorf("%w\nand %d more: %w", first, len(problems)-1, joinProblems(problems[1:]))
}
