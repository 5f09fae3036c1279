package declaration

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// Limits describes the capacity of one leaf of a service. The zero value is
// not valid; use NewLimits.
type Limits struct {
	slots                 int
	connections           int
	connectionCost        time.Duration
	coldCapacityPerSecond int
	reportsLoad           bool
	warmUp                time.Duration
}

// defaultWarmUp is how long after its start a leaf counts as cold if it does
// not report whether it is warm. WithWarmUp overrides it.
const defaultWarmUp = 10 * time.Second

// NewLimits returns the capacity of a leaf. slots is the number of requests
// that it runs concurrently, connections is the number of connections that it
// accepts, and connectionCost is the time to set up a new one, which the
// document holds in whole milliseconds; a fraction is dropped.
// coldCapacityPerSecond is the number of sub-requests per second that the leaf
// can handle while cold, from all entry VMs together.
func NewLimits(slots, connections int, connectionCost time.Duration, coldCapacityPerSecond int) Limits {
	return Limits{
		slots:                 slots,
		connections:           connections,
		connectionCost:        connectionCost,
		coldCapacityPerSecond: coldCapacityPerSecond,
		reportsLoad:           true,
		warmUp:                defaultWarmUp,
	}
}

// WithoutLoadReports returns a copy of the limits for leafs that do not report
// their load in responses.
func (l Limits) WithoutLoadReports() Limits {
	l.reportsLoad = false
	return l
}

// WithWarmUp returns a copy of the limits in which a leaf counts as cold for the
// given time after its start, if it does not report whether it is warm. The
// document holds whole seconds; a fraction is dropped.
func (l Limits) WithWarmUp(d time.Duration) Limits {
	l.warmUp = d
	return l
}

func (l Limits) toConfiguration() configuration.Limits {
	return configuration.NewLimits(l.slots, l.connections, l.coldCapacityPerSecond, l.connectionCost, l.warmUp)
}

// Service collects the leafs of one service of a Declaration.
type Service struct {
	name   string
	limits Limits
	leafs  []configuration.Leaf
}

// Leaf declares a target of the service in a data centre. The address is an IP
// address with a port.
func (s *Service) Leaf(name, dataCentre, address string) {
	s.leafs = append(s.leafs, configuration.NewLeaf(name, dataCentre, address))
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }
