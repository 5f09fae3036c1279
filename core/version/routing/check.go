package routing

import "github.com/mulberrydale/mulberrydale/core/result"

// Check returns the first error in the routes, or nil. A table with an error
// must be rejected.
func (t *Table) Check() error {
	type hostAndPrefix struct{ host, prefix string }
	routeNames := make(map[hostAndPrefix]string, len(t.routes))
	for _, r := range t.routes {
		if err := t.checkRoute(r); err != nil {
			return err
		}
		key := hostAndPrefix{host: hostKey(r.host), prefix: r.prefix}
		if other, duplicate := routeNames[key]; duplicate {
			return result.New(result.DuplicateName, "the routes %q and %q match the same host and path prefix %s%s", other, r.name, r.host, r.prefix)
		}
		routeNames[key] = r.name
	}
	return t.checkTeams()
}

func (t *Table) checkRoute(r Route) error {
	if r.timeout <= 0 {
		return result.New(result.LimitOutOfRange, "route %q: the timeout must be greater than 0", r.name)
	}
	if len(r.Services()) == 0 {
		return result.New(result.MissingKey, "route %q: at least one service is required", r.name)
	}
	for _, name := range r.Services() {
		if _, declared := t.services[name]; !declared {
			return result.New(result.UnknownReference, "route %q: the service %q is not declared", r.name, name)
		}
	}
	// A route with shards does not use the weights.
	if len(r.shards) > 0 {
		return nil
	}
	totalWeight := 0.0
	for _, s := range r.split {
		if s.weight < 0 {
			return result.New(result.LimitOutOfRange, "route %q: the weights must not be negative", r.name)
		}
		totalWeight += s.weight
	}
	if totalWeight <= 0 {
		return result.New(result.LimitOutOfRange, "route %q: the sum of the weights must be greater than 0", r.name)
	}
	return nil
}
