// Package routing holds a version of the routes: which requests, by host and
// path, go to which services, and within which time. A route names one
// service, a weighted split over several, or shards that are all asked.
package routing

import (
	"sort"
	"strings"
	"time"
)

// Kind says whether a request may run more than once.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may be sent again and hedged.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent
)

// WeightedService is one service of a split and its weight among the others.
type WeightedService struct {
	service string
	weight  float64
}

// NewWeightedService returns a service with its weight.
func NewWeightedService(service string, weight float64) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the name of the service.
func (s WeightedService) Service() string { return s.service }

// Weight returns the weight among the other services of the split.
func (s WeightedService) Weight() float64 { return s.weight }

// Route says where the requests of a host and path prefix go.
type Route struct {
	name             string
	host             string
	prefix           string
	kind             Kind
	timeout          time.Duration
	latencyObjective time.Duration
	priority         int
	maxAttempts      int
	split            []WeightedService
	shards           []string
	topK             int
	minShardRatio    float64
}

// NewRoute returns a route of a host and path prefix for idempotent requests,
// with one attempt and no services.
func NewRoute(name, host, prefix string) Route {
	return Route{name: name, host: host, prefix: prefix, maxAttempts: 1}
}

// WithKind returns the route for requests of a kind.
func (r Route) WithKind(k Kind) Route {
	r.kind = k
	return r
}

// WithTimeoutAndObjective returns the route with the longest time a caller is kept waiting,
// and the time within which an answer is worth most.
func (r Route) WithTimeoutAndObjective(timeout, latencyObjective time.Duration) Route {
	r.timeout = timeout
	r.latencyObjective = latencyObjective
	return r
}

// WithPriority returns the route with a rank; 0 is the most urgent.
func (r Route) WithPriority(priority int) Route {
	r.priority = priority
	return r
}

// WithMaxAttempts returns the route with the most targets that one request may
// run on; for shards, the most in each of them.
func (r Route) WithMaxAttempts(n int) Route {
	r.maxAttempts = max(n, 1)
	return r
}

// WithSplit returns the route to the services of a split.
func (r Route) WithSplit(split []WeightedService) Route {
	r.split = split
	return r
}

// WithShards returns the route that asks all shards and merges the greatest
// records. An answer needs at least the given share of the shards.
func (r Route) WithShards(shards []string, topK int, minShardRatio float64) Route {
	r.shards = shards
	r.topK = topK
	r.minShardRatio = minShardRatio
	return r
}

// Name returns the operator's name of the route.
func (r Route) Name() string { return r.name }

// Host returns the host that the route serves.
func (r Route) Host() string { return r.host }

// Prefix returns the path prefix that the route serves.
func (r Route) Prefix() string { return r.prefix }

// Kind returns whether its requests may run more than once.
func (r Route) Kind() Kind { return r.kind }

// Timeout returns the longest time that a caller is kept waiting.
func (r Route) Timeout() time.Duration { return r.timeout }

// LatencyObjective returns the time within which an answer is worth most, the timeout
// where none is declared.
func (r Route) LatencyObjective() time.Duration {
	if r.latencyObjective <= 0 {
		return r.timeout
	}
	return r.latencyObjective
}

// Priority returns the rank; 0 is the most urgent.
func (r Route) Priority() int { return r.priority }

// MaxAttempts returns the most targets that one request may run on.
func (r Route) MaxAttempts() int { return r.maxAttempts }

// Split returns the services among which requests are distributed.
func (r Route) Split() []WeightedService { return r.split }

// Shards returns the services that are all asked, empty for a plain route.
func (r Route) Shards() []string { return r.shards }

// TopK returns the number of records in an answer from shards.
func (r Route) TopK() int { return r.topK }

// MinShards returns the least number of shards in an answer.
func (r Route) MinShards() int {
	n := int(r.minShardRatio * float64(len(r.shards)))
	// A sum such as 0.89 x 100 may fall just below the whole number.
	if float64(n)+1e-9 < r.minShardRatio*float64(len(r.shards)) {
		n++
	}
	return max(n, 1)
}

// Pick returns the service for a draw between 0 and 1, by the weights.
//
// For example, with the weights 3 and 1 a draw of 0.8 picks the second.
func (r Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.split {
		total += s.weight
	}
	remaining := draw * total
	for _, s := range r.split {
		if remaining -= s.weight; remaining < 0 {
			return s.service
		}
	}
	for i := len(r.split) - 1; i >= 0; i-- {
		if r.split[i].weight > 0 {
			return r.split[i].service
		}
	}
	return ""
}

// Services returns every service that the route may send to.
func (r Route) Services() []string {
	if len(r.shards) > 0 {
		return r.shards
	}
	out := make([]string, 0, len(r.split))
	for _, s := range r.split {
		out = append(out, s.service)
	}
	return out
}

// Service is a group of targets that answer alike.
type Service struct {
	name           string
	healthPath     string
	maxConnections int
	warmUp         time.Duration
	maxColdRate    float64
}

// NewService returns a service and the path of its targets' health check.
func NewService(name, healthPath string) Service {
	return Service{name: name, healthPath: healthPath}
}

// WithMaxConnections returns the service with the connections that one of its
// targets accepts from all callers together, 0 for no limit.
func (s Service) WithMaxConnections(n int) Service {
	s.maxConnections = n
	return s
}

// WithWarmUp returns the service with the time for which a target is cold, and
// the requests a second that a cold target bears, 0 for no limit.
func (s Service) WithWarmUp(warmUp time.Duration, maxColdRate float64) Service {
	s.warmUp = warmUp
	s.maxColdRate = maxColdRate
	return s
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// HealthPath returns the path of the health check.
func (s Service) HealthPath() string { return s.healthPath }

// MaxConnections returns the connections that a target accepts, 0 for no limit.
func (s Service) MaxConnections() int { return s.maxConnections }

// WarmUp returns how long a target is cold after its start.
func (s Service) WarmUp() time.Duration { return s.warmUp }

// MaxColdRate returns the requests a second that a cold target bears.
func (s Service) MaxColdRate() float64 { return s.maxColdRate }

// Limits bound what a caller may send, and for how long it may stay idle.
type Limits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewLimits returns limits; zero means that a size or time is not bounded.
func NewLimits(headerBytes int, bodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// HeaderBytes returns the most bytes of a request's header.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the most bytes of a request's body.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns the longest time for a request's header.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns the longest time between two requests of a connection.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// Table is one version of the routes, services and limits.
type Table struct {
	version  uint64
	routes   []Route
	services map[string]Service
	limits   Limits
	byHost   map[string][]Route
}

// NewTable returns a version. Check tells whether it may be accepted.
func NewTable(version uint64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		version:  version,
		routes:   routes,
		services: make(map[string]Service, len(services)),
		limits:   limits,
		byHost:   make(map[string][]Route),
	}
	for _, s := range services {
		t.services[s.name] = s
	}
	for _, r := range routes {
		host := hostKey(r.host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].prefix) > len(list[j].prefix) })
	}
	return t
}

// Version returns the operator's number of the version.
func (t *Table) Version() uint64 { return t.version }

// Routes returns the routes in the operator's order.
func (t *Table) Routes() []Route { return t.routes }

// Service returns a service by its name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of a host with the longest prefix of the path. The
// host may carry a port.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.byHost[hostKey(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// hostKey returns the host in lower case without a port.
func hostKey(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
