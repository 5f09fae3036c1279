package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// PublishRoutes submits a version of the routes. The highest submitted version
// is the active one, regardless of the sender and the order of arrival.
type PublishRoutes struct {
	version    uint64
	document   []byte
	appendedAt time.Time
}

// SetOutOfService takes a data centre out of service or puts it back into
// service, independently of the version of the routes.
type SetOutOfService struct {
	dataCentre   string
	outOfService bool
	appendedAt   time.Time
}

func (PublishRoutes) command()   {}
func (SetOutOfService) command() {}

// NewPublishRoutes returns the command that submits a version of the routes
// with its document.
func NewPublishRoutes(version uint64, document []byte) PublishRoutes {
	return PublishRoutes{version: version, document: document}
}

// NewSetOutOfService returns the command that takes a data centre out of service
// or puts it back into service.
func NewSetOutOfService(dataCentre string, outOfService bool) SetOutOfService {
	return SetOutOfService{dataCentre: dataCentre, outOfService: outOfService}
}

// Routes is the accepted version of the routes, the data centres that are out of
// service, and the versions in use and rollouts of services. Each change of these
// increments the revision.
type Routes struct {
	revision     uint64
	version      uint64
	document     []byte
	outOfService []string
	// rollouts has the versions in use and the latest rollout of each service, sorted by
	// service.
	rollouts []rollout.Record
}

// NewRoutes returns routes that were received from another process.
func NewRoutes(revision, version uint64, document []byte, outOfService []string) Routes {
	return Routes{revision: revision, version: version, document: document, outOfService: outOfService}
}

// Revision returns the number of changes so far. It never decreases.
func (r Routes) Revision() uint64 { return r.revision }

// Version returns the version that the operator assigned, or 0 if no routes are
// accepted yet.
func (r Routes) Version() uint64 { return r.version }

// Document returns the text of the routes as it was submitted.
func (r Routes) Document() []byte { return r.document }

// OutOfService returns the data centres that are out of service, sorted.
func (r Routes) OutOfService() []string { return r.outOfService }

// RoutesOutcome is the result of a PublishRoutes or SetOutOfService command.
type RoutesOutcome struct {
	revision uint64
	version  uint64
}

func (RoutesOutcome) outcome() {}

// Revision returns the revision after the command.
func (o RoutesOutcome) Revision() uint64 { return o.revision }

// Version returns the active version after the command.
func (o RoutesOutcome) Version() uint64 { return o.version }

// Routes returns the accepted routes.
func (s *State) Routes() Routes { return s.routes }

// publishRoutes accepts a version that is higher than the current one. Any other
// version changes nothing and is acknowledged with the current version, so that
// a client may resend a change any number of times.
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

// setOutOfService records whether a data centre is out of service. The revision
// increases only if this changes.
func (s *State) setOutOfService(c SetOutOfService) RoutesOutcome {
	position, found := slices.BinarySearch(s.routes.outOfService, c.dataCentre)
	if found == c.outOfService {
		return s.routesOutcome()
	}
	// Readers may hold the old slice, so it is copied instead of modified.
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
