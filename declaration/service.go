package declaration

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// Limits is what one leaf of a service can bear. The zero value is no valid
// limit; start from NewLimits.
type Limits struct {
	slots                 int
	connections           int
	connectionCost        time.Duration
	coldCapacityPerSecond int
	reportsLoad           bool
	warmUp                time.Duration
}

// defaultWarmUp is how long a leaf that says nothing of its warmth counts as
// cold, unless WithWarmUp says otherwise.
const defaultWarmUp = 10 * time.Second

// NewLimits returns limits for a leaf that runs the given number of requests
// at the same time and accepts the given number of connections, of which
// a new one takes connectionCost. The cold capacity is the number of requests
// a second that a freshly started leaf bears, over all entry VMs together.
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

// WithoutLoadReports returns the limits of leafs that do not state their load.
func (l Limits) WithoutLoadReports() Limits {
	l.reportsLoad = false
	return l
}

// WithWarmUp returns the limits of leafs that are cold for the given time
// after their start, in whole seconds.
func (l Limits) WithWarmUp(d time.Duration) Limits {
	l.warmUp = d
	return l
}

func (l Limits) toConfiguration() configuration.Limits {
	return configuration.NewLimits(l.slots, l.connections, l.coldCapacityPerSecond, l.connectionCost, l.warmUp)
}

// Service is a declared service; Leaf adds its targets.
type Service struct {
	name   string
	limits Limits
	leafs  []configuration.Leaf
}

// Leaf declares a target of the service in a data centre. The address is an
// IP number and a port.
func (s *Service) Leaf(name, dataCentre, address string) {
	s.leafs = append(s.leafs, configuration.NewLeaf(name, dataCentre, address))
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }
