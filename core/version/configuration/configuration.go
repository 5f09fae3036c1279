// Package configuration holds what operators declare: data centres, services
// with their leafs, queries and non-idempotent requests. A Configuration is a
// value that never changes once built; a change makes a new one.
package configuration

import "time"

// Format is the number of the document format that this package reads.
const Format = 1

// Configuration is everything that an operator has declared.
type Configuration struct {
	operator    string
	maxEntryVMs int
	dataCentres []DataCentre
	services    []Service
	queries     []Query
	requests    []NonIdempotentRequest
}

// New returns a configuration of the given parts. It is not checked yet.
// The number of entry VMs is the most that may run at the same time; the
// shares of connections and of cold capacity divide by it.
func New(operator string, maxEntryVMs int, dataCentres []DataCentre, services []Service, queries []Query, requests []NonIdempotentRequest) Configuration {
	return Configuration{
		operator:    operator,
		maxEntryVMs: maxEntryVMs,
		dataCentres: dataCentres,
		services:    services,
		queries:     queries,
		requests:    requests,
	}
}

// Operator returns the name of the installation.
func (c Configuration) Operator() string { return c.operator }

// MaxEntryVMs returns the most entry VMs that may run at the same time.
func (c Configuration) MaxEntryVMs() int { return c.maxEntryVMs }

// DataCentres returns the data centres in the order declared.
func (c Configuration) DataCentres() []DataCentre { return c.dataCentres }

// Services returns the services in the order declared.
func (c Configuration) Services() []Service { return c.services }

// Queries returns the queries in the order declared.
func (c Configuration) Queries() []Query { return c.queries }

// NonIdempotentRequests returns the non-idempotent requests in the order declared.
func (c Configuration) NonIdempotentRequests() []NonIdempotentRequest { return c.requests }

// WithDataCentre returns a copy in which the named data centre is in or out
// of service. The second result tells whether the name is declared.
func (c Configuration) WithDataCentre(name string, inService bool) (Configuration, bool) {
	out := make([]DataCentre, len(c.dataCentres))
	copy(out, c.dataCentres)
	found := false
	for i := range out {
		if out[i].name == name {
			out[i].inService = inService
			found = true
		}
	}
	c.dataCentres = out
	return c, found
}

// DataCentre is a place with entry VMs and targets of its own.
type DataCentre struct {
	name      string
	region    string
	inService bool
}

// NewDataCentre returns a data centre.
func NewDataCentre(name, region string, inService bool) DataCentre {
	return DataCentre{name: name, region: region, inService: inService}
}

// Name returns the name of the data centre.
func (d DataCentre) Name() string { return d.name }

// Region returns the region of the data centre.
func (d DataCentre) Region() string { return d.region }

// InService reports whether targets of the data centre may receive work.
func (d DataCentre) InService() bool { return d.inService }

// Limits is what one leaf of a service can bear.
type Limits struct {
	slots                 int
	connections           int
	coldCapacityPerSecond int
	connectionCost        time.Duration
	warmUp                time.Duration
}

// NewLimits returns the limits of one leaf: requests that it runs at the same
// time, open connections, sub-requests a second while it is cold (over all
// entry VMs together), the time that a new connection takes, and the time for
// which a leaf that says nothing of its warmth counts as cold.
func NewLimits(slots, connections, coldCapacityPerSecond int, connectionCost, warmUp time.Duration) Limits {
	return Limits{
		slots:                 slots,
		connections:           connections,
		coldCapacityPerSecond: coldCapacityPerSecond,
		connectionCost:        connectionCost,
		warmUp:                warmUp,
	}
}

// Slots returns how many requests the leaf runs at the same time.
func (l Limits) Slots() int { return l.slots }

// Connections returns how many connections the leaf accepts.
func (l Limits) Connections() int { return l.connections }

// ColdCapacityPerSecond returns how many sub-requests a second the cold leaf bears,
// over all entry VMs together.
func (l Limits) ColdCapacityPerSecond() int { return l.coldCapacityPerSecond }

// ConnectionCost returns the time that a new connection takes.
func (l Limits) ConnectionCost() time.Duration { return l.connectionCost }

// WarmUp returns how long a leaf that says nothing of its warmth counts as
// cold after its start.
func (l Limits) WarmUp() time.Duration { return l.warmUp }

// Service is one shard of the index, served by leafs that hold the same data.
type Service struct {
	name        string
	limits      Limits
	reportsLoad bool
	leafs       []Leaf
}

// NewService returns a service.
func NewService(name string, limits Limits, reportsLoad bool, leafs []Leaf) Service {
	return Service{name: name, limits: limits, reportsLoad: reportsLoad, leafs: leafs}
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Limits returns what one leaf of the service can bear.
func (s Service) Limits() Limits { return s.limits }

// ReportsLoad reports whether the leafs state their load in responses.
func (s Service) ReportsLoad() bool { return s.reportsLoad }

// Leafs returns the leafs in the order declared.
func (s Service) Leafs() []Leaf { return s.leafs }

// Leaf is one target of a service.
type Leaf struct {
	name       string
	dataCentre string
	address    string
}

// NewLeaf returns a leaf. The address is an IP number and a port.
func NewLeaf(name, dataCentre, address string) Leaf {
	return Leaf{name: name, dataCentre: dataCentre, address: address}
}

// Name returns the name of the leaf.
func (l Leaf) Name() string { return l.name }

// DataCentre returns the name of the leaf's data centre.
func (l Leaf) DataCentre() string { return l.dataCentre }

// Address returns the IP number and port of the leaf.
func (l Leaf) Address() string { return l.address }

// Query is a named request that may be repeated and spans several services.
type Query struct {
	name     string
	deadline time.Duration
	services []string
}

// NewQuery returns a query. The deadline holds where the caller names none.
func NewQuery(name string, deadline time.Duration, services []string) Query {
	return Query{name: name, deadline: deadline, services: services}
}

// Name returns the name of the query.
func (q Query) Name() string { return q.name }

// Deadline returns the time allowed where the caller names none.
func (q Query) Deadline() time.Duration { return q.deadline }

// Services returns the names of the services that the query spans.
func (q Query) Services() []string { return q.services }

// NonIdempotentRequest is a named request that may run at most once, on one service.
type NonIdempotentRequest struct {
	name        string
	deadline    time.Duration
	service     string
	idRetention time.Duration
}

// NewNonIdempotentRequest returns a non-idempotent request. Its request ids are kept for
// the given time after the first use.
func NewNonIdempotentRequest(name string, deadline time.Duration, service string, idRetention time.Duration) NonIdempotentRequest {
	return NonIdempotentRequest{name: name, deadline: deadline, service: service, idRetention: idRetention}
}

// Name returns the name of the request.
func (r NonIdempotentRequest) Name() string { return r.name }

// Deadline returns the time allowed where the caller names none.
func (r NonIdempotentRequest) Deadline() time.Duration { return r.deadline }

// Service returns the name of the service that runs the request.
func (r NonIdempotentRequest) Service() string { return r.service }

// IDRetention returns how long a request id is remembered.
func (r NonIdempotentRequest) IDRetention() time.Duration { return r.idRetention }
