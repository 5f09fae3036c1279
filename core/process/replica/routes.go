package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// Publish offers a version of the routes. The highest version offered wins,
// whoever sent it and in whatever order the offers arrive.
type Publish struct {
	version  uint64
	document []byte
	at       time.Time
}

// Withdraw takes a data centre out of service, or puts it back.
type Withdraw struct {
	centre string
	out    bool
	at     time.Time
}

func (Publish) command()  {}
func (Withdraw) command() {}

// NewPublishRoutes returns the command that offers a version with its text.
func NewPublishRoutes(version uint64, document []byte) Publish {
	return Publish{version: version, document: document}
}

// NewSetOutOfService returns the command that takes a data centre out or back.
func NewSetOutOfService(centre string, out bool) Withdraw {
	return Withdraw{centre: centre, out: out}
}

// Routes is the accepted version of the routes and the data centres that are
// out of service. Each change of either raises the revision.
type Routes struct {
	revision uint64
	version  uint64
	document []byte
	out      []string
}

// NewRoutes returns routes as another process sent them.
func NewRoutes(revision, version uint64, document []byte, out []string) Routes {
	return Routes{revision: revision, version: version, document: document, out: out}
}

// Revision counts the changes; it only grows.
func (r Routes) Revision() uint64 { return r.revision }

// Version returns the operator's number of the routes, 0 for none.
func (r Routes) Version() uint64 { return r.version }

// Document returns the text of the routes as it was accepted.
func (r Routes) Document() []byte { return r.document }

// OutOfService returns the data centres that are out of service, sorted.
func (r Routes) OutOfService() []string { return r.out }

// RoutesOutcome says what the routes are after a Publish or Withdraw.
type RoutesOutcome struct {
	revision uint64
	version  uint64
}

func (RoutesOutcome) outcome() {}

// Revision returns the revision after the command.
func (o RoutesOutcome) Revision() uint64 { return o.revision }

// Version returns the version in force after the command.
func (o RoutesOutcome) Version() uint64 { return o.version }

// Routes returns the accepted routes.
func (s *State) Routes() Routes { return s.routes }

// publish takes a version over if it is higher than the present one. A version
// that came before is acknowledged again and changes nothing, so that a change
// may be sent any number of times.
func (s *State) publish(c Publish) RoutesOutcome {
	if c.version > s.routes.version {
		before := s.routes.version
		s.routes.version = c.version
		s.routes.document = c.document
		s.routes.revision++
		s.trail.Add(audit.NewRecord(c.at, fmt.Sprintf("routes-%d", c.version), "operator", "", before, c.version,
			result.ChangeAccepted, []string{fmt.Sprintf("routes of %d bytes", len(c.document))}))
	}
	return s.routesOutcome()
}

func (s *State) withdraw(c Withdraw) RoutesOutcome {
	at, found := slices.BinarySearch(s.routes.out, c.centre)
	if found == c.out {
		return s.routesOutcome()
	}
	// Readers hold the old list, so a new one takes its place.
	out := slices.Clone(s.routes.out)
	if c.out {
		out = slices.Insert(out, at, c.centre)
	} else {
		out = slices.Delete(out, at, at+1)
	}
	s.routes.out = out
	s.routes.revision++
	s.trail.Add(audit.NewRecord(c.at, fmt.Sprintf("revision-%d", s.routes.revision), "operator", "", s.routes.version, s.routes.version,
		result.ChangeAccepted, []string{fmt.Sprintf("data centre %s out of service: %t", c.centre, c.out)}))
	return s.routesOutcome()
}

func (s *State) routesOutcome() RoutesOutcome {
	return RoutesOutcome{revision: s.routes.revision, version: s.routes.version}
}
