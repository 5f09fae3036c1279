// Package routing defines the routing table. A route matches requests by host
// and path prefix, sets their timeout, and sends them to one service, to one
// of several services by weight, or to all shards of an index.
package routing

import "time"

// Kind specifies whether a request may run more than once.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may be retried and hedged.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once each time that a caller sends one.
	NonIdempotent
)

// WeightedService is a service of a traffic split with its weight relative to
// the other services.
type WeightedService struct {
	service string
	weight  float64
}

// NewWeightedService returns a service with its weight in a traffic split.
func NewWeightedService(service string, weight float64) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the name of the service.
func (s WeightedService) Service() string { return s.service }

// Weight returns the weight relative to the other services of the split.
func (s WeightedService) Weight() float64 { return s.weight }

// Route describes where the requests for a host and path prefix are sent, and
// their timeout and retry limit.
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
	public           bool
}

// NewRoute returns a route for idempotent requests to a host and path prefix.
// It allows one attempt and has no timeout and no services yet.
func NewRoute(name, host, prefix string) Route {
	return Route{name: name, host: host, prefix: prefix, maxAttempts: 1}
}

// WithKind returns a copy of the route for requests of the given kind.
func (r Route) WithKind(k Kind) Route {
	r.kind = k
	return r
}

// WithTimeoutAndObjective returns a copy of the route with the maximum time
// that a caller waits for a response and the latency objective; a response that
// takes longer than the objective is worth less to the caller. If the objective
// is 0 or negative, the timeout is used in its place.
func (r Route) WithTimeoutAndObjective(timeout, latencyObjective time.Duration) Route {
	r.timeout = timeout
	r.latencyObjective = latencyObjective
	return r
}

// WithPriority returns a copy of the route with the given priority. 0 is the
// highest priority; greater numbers are less urgent.
func (r Route) WithPriority(priority int) Route {
	r.priority = priority
	return r
}

// WithMaxAttempts returns a copy of the route with the maximum number of
// targets that one request may run on. For a route with shards the limit
// applies to each shard. Values below 1 count as 1.
func (r Route) WithMaxAttempts(n int) Route {
	r.maxAttempts = max(n, 1)
	return r
}

// WithSplit returns a copy of the route that distributes requests over the
// given services by weight.
func (r Route) WithSplit(split []WeightedService) Route {
	r.split = split
	return r
}

// WithShards returns a copy of the route that queries all shards and merges
// their results into the topK greatest records, compared byte by byte. A response
// needs the results of at least the fraction minShardRatio of the shards, from 0
// to 1, and of at least one shard.
func (r Route) WithShards(shards []string, topK int, minShardRatio float64) Route {
	r.shards = shards
	r.topK = topK
	r.minShardRatio = minShardRatio
	return r
}

// WithPublic returns a copy of the route whose requests need no key, even if the table has
// teams.
func (r Route) WithPublic(public bool) Route {
	r.public = public
	return r
}

// Public reports whether requests need no key, even if the table has teams.
func (r Route) Public() bool { return r.public }

// Name returns the name that the operator gave to the route.
func (r Route) Name() string { return r.name }

// Host returns the host that the route matches.
func (r Route) Host() string { return r.host }

// Prefix returns the path prefix that the route matches.
func (r Route) Prefix() string { return r.prefix }

// Kind returns the kind of the route's requests, which specifies whether they
// may run more than once.
func (r Route) Kind() Kind { return r.kind }

// Timeout returns the maximum time that a caller waits for a response.
func (r Route) Timeout() time.Duration { return r.timeout }

// LatencyObjective returns the response time beyond which a response is worth
// less to the caller. It is the timeout if no objective is declared.
func (r Route) LatencyObjective() time.Duration {
	if r.latencyObjective <= 0 {
		return r.timeout
	}
	return r.latencyObjective
}

// Priority returns the priority; 0 is the highest.
func (r Route) Priority() int { return r.priority }

// MaxAttempts returns the maximum number of targets that one request may run
// on; for a route with shards, in each shard.
func (r Route) MaxAttempts() int { return r.maxAttempts }

// Split returns the weighted services that requests are distributed over.
func (r Route) Split() []WeightedService { return r.split }

// Shards returns the services that are all queried. It is empty for a route
// without shards.
func (r Route) Shards() []string { return r.shards }

// TopK returns the maximum number of records in the merged response of a route
// with shards.
func (r Route) TopK() int { return r.topK }

// MinShards returns the minimum number of shards that a response needs. It is
// at least 1.
func (r Route) MinShards() int {
	n := int(r.minShardRatio * float64(len(r.shards)))
	// Round up, but ignore a fraction of up to 1e-9: in floating point, a product
	// such as 0.89 * 100 may be slightly above or below the whole number.
	if float64(n)+1e-9 < r.minShardRatio*float64(len(r.shards)) {
		n++
	}
	return max(n, 1)
}

// Pick maps draw, a random number from [0, 1), to a service of the split, in
// proportion to the weights. If draw is 1, or rounding errors put it past the
// last weight, Pick selects the last service with a positive weight. The result
// is empty if no weight is positive.
//
// For example, with the weights 3 and 1 a draw of 0.8 selects the second
// service.
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

// Services returns the names of all services that the route may send requests
// to.
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
