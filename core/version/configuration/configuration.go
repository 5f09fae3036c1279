// Package configuration holds the configuration that operators declare: data
// centres, services with their leafs, queries and non-idempotent requests. A
// Configuration is immutable; WithDataCentre returns a modified copy. Callers
// must not modify the slices that the methods return.
package configuration

import "time"

// Format is the version of the document format that this package reads and
// writes.
const Format = 1

// Configuration is the complete configuration of one installation.
type Configuration struct {
	operator    string
	maxEntryVMs int
	dataCentres []DataCentre
	services    []Service
	queries     []Query
	requests    []NonIdempotentRequest
}

// New returns a configuration without validating it; see Check. maxEntryVMs is
// the maximum number of entry VMs that run at the same time. The limits of a
// leaf for connections and for cold capacity are divided by it to get the
// share of each VM.
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

// Operator returns the name that identifies the installation.
func (c Configuration) Operator() string { return c.operator }

// MaxEntryVMs returns the maximum number of entry VMs that run at the same
// time.
func (c Configuration) MaxEntryVMs() int { return c.maxEntryVMs }

// DataCentres returns the data centres in the order declared.
func (c Configuration) DataCentres() []DataCentre { return c.dataCentres }

// Services returns the services in the order declared.
func (c Configuration) Services() []Service { return c.services }

// Queries returns the queries in the order declared.
func (c Configuration) Queries() []Query { return c.queries }

// NonIdempotentRequests returns the non-idempotent requests in the order
// declared.
func (c Configuration) NonIdempotentRequests() []NonIdempotentRequest { return c.requests }

// WithDataCentre returns a copy in which the named data centre is in service if
// inService is true and out of service otherwise. The second result reports
// whether the data centre is declared; if it is not, the copy has no changes.
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

// DataCentre is a location with its own entry VMs and targets.
type DataCentre struct {
	name      string
	region    string
	inService bool
}

// NewDataCentre returns a data centre. inService is true if its targets may
// receive requests.
func NewDataCentre(name, region string, inService bool) DataCentre {
	return DataCentre{name: name, region: region, inService: inService}
}

// Name returns the name of the data centre.
func (d DataCentre) Name() string { return d.name }

// Region returns the region of the data centre.
func (d DataCentre) Region() string { return d.region }

// InService reports whether the targets of the data centre may receive
// requests.
func (d DataCentre) InService() bool { return d.inService }

// Limits describes the capacity of one leaf of a service, the time to connect
// to it, and the time for which it is cold after its start.
type Limits struct {
	slots                 int
	connections           int
	coldCapacityPerSecond int
	connectionCost        time.Duration
	warmUp                time.Duration
}

// NewLimits returns the limits of one leaf. slots is the number of requests that
// it runs concurrently and connections is the number of connections that it
// accepts. coldCapacityPerSecond is the number of sub-requests per second that
// it can handle while cold, from all entry VMs together. connectionCost is the
// time to set up a new connection. warmUp is the time after its start for which
// it counts as cold; it applies only if the leaf does not report whether it is
// warm.
func NewLimits(slots, connections, coldCapacityPerSecond int, connectionCost, warmUp time.Duration) Limits {
	return Limits{
		slots:                 slots,
		connections:           connections,
		coldCapacityPerSecond: coldCapacityPerSecond,
		connectionCost:        connectionCost,
		warmUp:                warmUp,
	}
}

// Slots returns how many requests the leaf runs concurrently.
func (l Limits) Slots() int { return l.slots }

// Connections returns how many connections the leaf accepts.
func (l Limits) Connections() int { return l.connections }

// ColdCapacityPerSecond returns how many sub-requests per second the leaf can
// handle while cold, from all entry VMs together.
func (l Limits) ColdCapacityPerSecond() int { return l.coldCapacityPerSecond }

// ConnectionCost returns the time to set up a new connection.
func (l Limits) ConnectionCost() time.Duration { return l.connectionCost }

// WarmUp returns how long after its start a leaf counts as cold if it does not
// report whether it is warm.
func (l Limits) WarmUp() time.Duration { return l.warmUp }

// Service is one shard of the index. Its leafs are replicas of the shard, but
// may hold different snapshots of it; see package snapshot.
type Service struct {
	name        string
	limits      Limits
	reportsLoad bool
	leafs       []Leaf
}

// NewService returns a service. reportsLoad is true if its leafs report their
// load in responses.
func NewService(name string, limits Limits, reportsLoad bool, leafs []Leaf) Service {
	return Service{name: name, limits: limits, reportsLoad: reportsLoad, leafs: leafs}
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Limits returns the capacity of one leaf of the service.
func (s Service) Limits() Limits { return s.limits }

// ReportsLoad reports whether the leafs report their load in responses.
func (s Service) ReportsLoad() bool { return s.reportsLoad }

// Leafs returns the leafs in the order declared.
func (s Service) Leafs() []Leaf { return s.leafs }

// Leaf is one target of a service.
type Leaf struct {
	name       string
	dataCentre string
	address    string
}

// NewLeaf returns a leaf. The address is an IP address with a port.
func NewLeaf(name, dataCentre, address string) Leaf {
	return Leaf{name: name, dataCentre: dataCentre, address: address}
}

// Name returns the name of the leaf.
func (l Leaf) Name() string { return l.name }

// DataCentre returns the name of the leaf's data centre.
func (l Leaf) DataCentre() string { return l.dataCentre }

// Address returns the IP address and port of the leaf.
func (l Leaf) Address() string { return l.address }

// Query is a named idempotent request that is sent to one or more services.
type Query struct {
	name     string
	deadline time.Duration
	services []string
}

// NewQuery returns a query. The deadline applies if the caller sets none.
func NewQuery(name string, deadline time.Duration, services []string) Query {
	return Query{name: name, deadline: deadline, services: services}
}

// Name returns the name of the query.
func (q Query) Name() string { return q.name }

// Deadline returns the time limit that applies if the caller sets none.
func (q Query) Deadline() time.Duration { return q.deadline }

// Services returns the names of the services that the query is sent to.
func (q Query) Services() []string { return q.services }

// NonIdempotentRequest is a named request to one service that runs at most
// once for each request id.
type NonIdempotentRequest struct {
	name        string
	deadline    time.Duration
	service     string
	idRetention time.Duration
}

// NewNonIdempotentRequest returns a non-idempotent request. The deadline
// applies if the caller sets none. Each request id is kept for idRetention
// after its first use, so that a repetition of the request within this time is
// recognized and does not run again.
func NewNonIdempotentRequest(name string, deadline time.Duration, service string, idRetention time.Duration) NonIdempotentRequest {
	return NonIdempotentRequest{name: name, deadline: deadline, service: service, idRetention: idRetention}
}

// Name returns the name of the request.
func (r NonIdempotentRequest) Name() string { return r.name }

// Deadline returns the time limit that applies if the caller sets none.
func (r NonIdempotentRequest) Deadline() time.Duration { return r.deadline }

// Service returns the name of the service that runs the request.
func (r NonIdempotentRequest) Service() string { return r.service }

// IDRetention returns how long a request id is kept after its first use.
func (r NonIdempotentRequest) IDRetention() time.Duration { return r.idRetention }
