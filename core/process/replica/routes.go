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
type PublishRoutes struct {
	version    uint64
	document   []byte
	appendedAt time.Time
}

// Withdraw takes a data centre out of service, or puts it back.
type SetOutOfService struct {
	dataCentre   string
	outOfService bool
	appendedAt   time.Time
}

func (PublishRoutes) command()   {}
func (SetOutOfService) command() {}

// NewPublishRoutes returns the command that offers a version with its text.
func NewPublishRoutes(version uint64, document []byte) PublishRoutes {
	return PublishRoutes{version: version, document: document}
}

// NewSetOutOfService returns the command that takes a data centre out or back.
func NewSetOutOfService(dataCentre string, outOfService bool) SetOutOfService {
	return SetOutOfService{dataCentre: dataCentre, outOfService: outOfService}
}

// Routes is the accepted version of the routes and the data centres that are
// out of service. Each change of either raises the revision.
type Routes struct {
	revision     uint64
	version      uint64
	document     []byte
	outOfService []string
}

// NewRoutes returns routes as another process sent them.
func NewRoutes(revision, version uint64, document []byte, outOfService []string) Routes {
	return Routes{revision: revision, version: version, document: document, outOfService: outOfService}
}

// Revision counts the changes; it only grows.
func (r Routes) Revision() uint64 { return r.revision }

// Version returns the operator's number of the routes, 0 for none.
func (r Routes) Version() uint64 { return r.version }

// Document returns the text of the routes as it was accepted.
func (r Routes) Document() []byte { return r.document }

// OutOfService returns the data centres that are out of service, sorted.
func (r Routes) OutOfService() []string { return r.outOfService }

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
func (s *State) publishRoutes(c PublishRoutes) RoutesOutcome {
	if c.version > s.routes.version {
		before := s.routes.version
		s.routes.version = c.version
		s.routes.document = c.document
		s.routes.revision++
		s.auditTrail.Add(audit.NewRecord(c.appendedAt, fmt.Sprintf("routes-%d", c.version), "operator", "", before, c.version,
			result.ChangeAccepted, []string{fmt.Sprintf("routes of %d bytes", len(c.document))}))
	}
	return s.routesOutcome()
}

func (s *State) setOutOfService(c SetOutOfService) RoutesOutcome {
	position, found := slices.BinarySearch(s.routes.outOfService, c.dataCentre)
	if found == c.outOfService {
		return s.routesOutcome()
	}
	// Readers hold the old list, so a new one takes its place.
	out := slices.Clone(s.routes.outOfService)
	if c.outOfService {
		out = slices.Insert(out, position, c.dataCentre)
	} else {
		out = slices.Delete(out, position, position+1)
	}
	s.routes.outOfService = out
	s.routes.revision++
	s.auditTrail.Add(audit.NewRecord(c.appendedAt, fmt.Sprintf("revision-%d", s.routes.revision), "operator", "", s.routes.version, s.routes.version,
		result.ChangeAccepted, []string{fmt.Sprintf("data centre %s out of service: %t", c.dataCentre, c.outOfService)}))
	return s.routesOutcome()
}

func (s *State) routesOutcome() RoutesOutcome {
	return RoutesOutcome{revision: s.routes.revision, version: s.routes.version}
}
