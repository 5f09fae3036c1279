package entry

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/target"
	"github.com/mulberrydale/mulberrydale/core/request/admission"
	"github.com/mulberrydale/mulberrydale/core/request/hedge"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
	"github.com/mulberrydale/mulberrydale/core/version/snapshot"
)

// serving is what one configuration version means for this VM. It never
// changes; a query that started under it keeps it until its end.
type serving struct {
	version  uint64
	queries  map[string]*servingQuery
	requests map[string]*servingRequest
}

// servingQuery is a declared query with the services that it spans.
type servingQuery struct {
	deadline time.Duration
	names    []string
	services []*service
}

// servingRequest is a declared non-idempotent request.
type servingRequest struct {
	deadline time.Duration
	keepIDs  time.Duration
	service  *service
}

// service is a declared service under one version. What is known of it
// outlives the version.
type service struct {
	name    string
	targets []*target.Target
	retries *hedge.Budget
	latency *hedge.Latency
	queue   *admission.Queue
}

// history is what is known of a service across versions.
type history struct {
	retries *hedge.Budget
	latency *hedge.Latency
	queue   *admission.Queue
}

// newServing works out a version. The histories of known services are taken
// from and added to the map.
func newServing(version uint64, cfg configuration.Configuration, targets map[string][]*target.Target, histories map[string]history) *serving {
	services := make(map[string]*service)
	for _, s := range cfg.Services() {
		known, ok := histories[s.Name()]
		if !ok {
			known = history{retries: hedge.NewRetries(), latency: hedge.NewLatency(), queue: admission.NewQueue()}
			histories[s.Name()] = known
		}
		services[s.Name()] = &service{
			name:    s.Name(),
			targets: targets[s.Name()],
			retries: known.retries,
			latency: known.latency,
			queue:   known.queue,
		}
	}
	out := &serving{
		version:  version,
		queries:  make(map[string]*servingQuery),
		requests: make(map[string]*servingRequest),
	}
	for _, q := range cfg.Queries() {
		query := &servingQuery{deadline: q.Deadline(), names: q.Services()}
		for _, name := range q.Services() {
			query.services = append(query.services, services[name])
		}
		out.queries[q.Name()] = query
	}
	for _, r := range cfg.NonIdempotentRequests() {
		out.requests[r.Name()] = &servingRequest{
			deadline: r.Deadline(),
			keepIDs:  r.IDRetention(),
			service:  services[r.Service()],
		}
	}
	return out
}

// expected returns how long a query that begins now would wait in the longest
// of its queues, and how long the slowest of its services takes to respond.
func (q *servingQuery) expected(now time.Time) (wait, response time.Duration) {
	for _, s := range q.services {
		wait = max(wait, s.queue.Expected(now))
		response = max(response, s.latency.Delay())
	}
	return wait, response
}

// chooseSnapshot returns the snapshot that the most services can serve now,
// and how many of them can.
func (q *servingQuery) chooseSnapshot() (name string, servable int) {
	holdings := make([]snapshot.ServiceSnapshots, 0, len(q.services))
	for _, s := range q.services {
		leafs := make([][]string, 0, len(s.targets))
		for _, t := range s.targets {
			if held := t.Holdings(); len(held) > 0 {
				leafs = append(leafs, held)
			}
		}
		holdings = append(holdings, snapshot.NewServiceSnapshots(leafs))
	}
	return snapshot.Choose(holdings)
}
