package entry

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/target"
	"github.com/mulberrydale/mulberrydale/core/request/admission"
	"github.com/mulberrydale/mulberrydale/core/request/hedge"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
	"github.com/mulberrydale/mulberrydale/core/version/snapshot"
)

// activeConfig is a configuration version prepared for serving queries. It is
// immutable, and a query keeps the one that it started with.
type activeConfig struct {
	version  uint64
	queries  map[string]*queryConfig
	requests map[string]*requestConfig
}

// queryConfig is a declared query with the services that it is sent to.
type queryConfig struct {
	deadline     time.Duration
	serviceNames []string
	services     []*service
}

// requestConfig is a declared non-idempotent request. The outcomes of its
// request ids are kept for the duration idRetention.
type requestConfig struct {
	deadline    time.Duration
	idRetention time.Duration
	service     *service
}

// service is a declared service under one configuration version. Its budget,
// latency and queue are shared with the other versions.
type service struct {
	name    string
	targets []*target.Target
	retries *hedge.Budget
	latency *hedge.LatencyTracker
	queue   *admission.Queue
}

// serviceState is the state of a service that is kept across configuration
// versions.
type serviceState struct {
	retries *hedge.Budget
	latency *hedge.LatencyTracker
	queue   *admission.Queue
}

// newActiveConfig prepares a configuration version. It reads the state of known
// services from the map states and adds the state of new services to that map.
func newActiveConfig(version uint64, cfg configuration.Configuration, targets map[string][]*target.Target, states map[string]serviceState) *activeConfig {
	services := make(map[string]*service)
	for _, s := range cfg.Services() {
		state, ok := states[s.Name()]
		if !ok {
			state = serviceState{retries: hedge.NewRetryBudget(), latency: hedge.NewLatencyTracker(), queue: admission.NewQueue()}
			states[s.Name()] = state
		}
		services[s.Name()] = &service{
			name:    s.Name(),
			targets: targets[s.Name()],
			retries: state.retries,
			latency: state.latency,
			queue:   state.queue,
		}
	}
	active := &activeConfig{
		version:  version,
		queries:  make(map[string]*queryConfig),
		requests: make(map[string]*requestConfig),
	}
	for _, q := range cfg.Queries() {
		query := &queryConfig{deadline: q.Deadline(), serviceNames: q.Services()}
		for _, name := range q.Services() {
			query.services = append(query.services, services[name])
		}
		active.queries[q.Name()] = query
	}
	for _, r := range cfg.NonIdempotentRequests() {
		active.requests[r.Name()] = &requestConfig{
			deadline:    r.Deadline(),
			idRetention: r.IDRetention(),
			service:     services[r.Service()],
		}
	}
	return active
}

// expectedTimes returns two estimates for a query that starts now, each of them
// the longest among its services: the wait in the queue, and the response time.
// The latter is the time after which a sub-request counts as late.
func (q *queryConfig) expectedTimes(now time.Time) (wait, response time.Duration) {
	for _, s := range q.services {
		wait = max(wait, s.queue.ExpectedWait(now))
		response = max(response, s.latency.Delay())
	}
	return wait, response
}

// chooseSnapshot returns the snapshot that the most services can serve now, and
// how many of them can. The name is empty if no usable target holds a snapshot.
func (q *queryConfig) chooseSnapshot() (name string, servable int) {
	servicesSnapshots := make([]snapshot.ServiceSnapshots, 0, len(q.services))
	for _, s := range q.services {
		snapshotsPerLeaf := make([][]string, 0, len(s.targets))
		for _, t := range s.targets {
			if held := t.UsableSnapshots(); len(held) > 0 {
				snapshotsPerLeaf = append(snapshotsPerLeaf, held)
			}
		}
		servicesSnapshots = append(servicesSnapshots, snapshot.NewServiceSnapshots(snapshotsPerLeaf))
	}
	return snapshot.Choose(servicesSnapshots)
}
