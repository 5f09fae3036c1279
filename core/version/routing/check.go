package routing

import "github.com/mulberrydale/mulberrydale/core/result"

// Check returns the first fault for which the version must be refused, or nil.
func (t *Table) Check() error {
	type place struct{ host, prefix string }
	taken := make(map[place]string, len(t.routes))
	for _, r := range t.routes {
		if err := t.checkRoute(r); err != nil {
			return err
		}
		p := place{host: hostKey(r.host), prefix: r.prefix}
		if other, twice := taken[p]; twice {
			return result.New(result.DuplicateName, "the routes %q and %q serve the same host and path %s%s", other, r.name, r.host, r.prefix)
		}
		taken[p] = r.name
	}
	return nil
}

func (t *Table) checkRoute(r Route) error {
	if r.timeout <= 0 {
		return result.New(result.LimitOutOfRange, "route %q: the timeout must be over 0", r.name)
	}
	if len(r.Services()) == 0 {
		return result.New(result.MissingKey, "route %q: no service is named", r.name)
	}
	for _, name := range r.Services() {
		if _, known := t.services[name]; !known {
			return result.New(result.UnknownReference, "route %q: no service %q is declared", r.name, name)
		}
	}
	if len(r.shards) > 0 {
		return nil
	}
	total := 0.0
	for _, s := range r.split {
		if s.weight < 0 {
			return result.New(result.LimitOutOfRange, "route %q: a weight is under 0", r.name)
		}
		total += s.weight
	}
	if total <= 0 {
		return result.New(result.LimitOutOfRange, "route %q: the weights add up to 0", r.name)
	}
	return nil
}
