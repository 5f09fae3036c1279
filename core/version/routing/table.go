package routing

import (
	"sort"
	"strings"
)

// Table is one version of the routing table: its routes, services and limits.
type Table struct {
	version  uint64
	routes   []Route
	services map[string]Service
	limits   Limits
	// byHost holds the routes of each hostKey, longest prefix first.
	byHost map[string][]Route
	// declaresTeams is set also if teams is empty.
	declaresTeams bool
	teams         []Team
	// teamByKey holds the index in teams of the team that holds a key.
	teamByKey map[KeyDigest]int
	// leastPriority is described at LeastPriority.
	leastPriority int
}

// NewTable returns a routing table with the given version number. It does not
// validate the routes; call Check before the table is used.
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
	for _, routesOfHost := range t.byHost {
		sort.SliceStable(routesOfHost, func(i, j int) bool { return len(routesOfHost[i].prefix) > len(routesOfHost[j].prefix) })
	}
	return t
}

// Version returns the version number that the operator assigned.
func (t *Table) Version() uint64 { return t.version }

// Routes returns the routes in the order in which the operator declared them.
func (t *Table) Routes() []Route { return t.routes }

// Service returns the service with the given name and whether it exists.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Limits returns the limits for requests of callers.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of the host with the longest prefix that matches the
// path, and whether there is one. The comparison of hosts ignores case. The host
// may include a port, which is ignored.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.byHost[hostKey(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// hostKey returns the host in lower case and without its port. An IPv6 address
// must be in brackets, because everything after the last colon of any other host
// is taken as the port.
func hostKey(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
