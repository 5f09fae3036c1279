package configuration

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// Problem is a fault of a configuration value, placed by a JSON pointer into
// its document.
type Problem struct {
	code    result.Code
	path    string
	message string
	remedy  string
}

// Code returns the numbered code.
func (p Problem) Code() result.Code { return p.code }

// Path returns the JSON pointer to the place.
func (p Problem) Path() string { return p.path }

// Error returns the problem on one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%d %s: %s: %s; %s", p.code, p.code, p.path, p.message, p.remedy)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,126}$`)

// checker walks a configuration once and collects problems.
type checker struct {
	problems  []Problem
	centres   map[string]bool
	services  map[string]bool
	leafs     map[string]bool
	addresses map[string]string
}

// Check returns every problem of the configuration, none if it may be used.
func (c Configuration) Check() []Problem {
	k := &checker{
		centres:   make(map[string]bool),
		services:  make(map[string]bool),
		leafs:     make(map[string]bool),
		addresses: make(map[string]string),
	}
	k.name("/operator", c.operator, nil)
	k.limit("/most-entry-vms", c.entryVMs, 1)
	for i, dc := range c.dataCentres {
		k.name(fmt.Sprintf("/data-centres/%d/name", i), dc.name, k.centres)
	}
	for i, s := range c.services {
		k.service(fmt.Sprintf("/services/%d", i), s)
	}
	requests := make(map[string]bool)
	for i, q := range c.queries {
		k.query(fmt.Sprintf("/queries/%d", i), q, requests)
	}
	for i, r := range c.requests {
		path := fmt.Sprintf("/non-idempotent-requests/%d", i)
		k.name(path+"/name", r.name, requests)
		k.reference(path+"/service", r.service)
	}
	return k.problems
}

func (k *checker) add(code result.Code, path, remedy, format string, args ...any) {
	k.problems = append(k.problems, Problem{code: code, path: path, message: fmt.Sprintf(format, args...), remedy: remedy})
}

// name checks the form of a name and, where seen is given, that it is new.
func (k *checker) name(path, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		k.add(result.BadName, path, "use a-z, 0-9 and -, at most 127 characters, no - in front", "the name %q can't be used", name)
	}
	if seen == nil {
		return
	}
	if seen[name] {
		k.add(result.DuplicateName, path, "give each its own name", "the name %q stands twice", name)
	}
	seen[name] = true
}

func (k *checker) limit(path string, n, low int) {
	if n < low {
		k.add(result.LimitOutOfRange, path, fmt.Sprintf("write %d or more", low), "%d is out of range", n)
	}
}

func (k *checker) service(path string, s Service) {
	k.name(path+"/name", s.name, k.services)
	k.limit(path+"/slots-per-leaf", s.limits.slots, 1)
	k.limit(path+"/connections-per-leaf", s.limits.connections, 1)
	k.limit(path+"/cold-capacity-per-second", s.limits.coldPerSecond, 1)
	if len(s.leafs) == 0 {
		k.add(result.ServiceWithoutLeafs, path+"/leafs", "declare at least one leaf, or remove the service", "the service %q has no leafs", s.name)
	}
	for i, l := range s.leafs {
		k.leaf(fmt.Sprintf("%s/leafs/%d", path, i), l)
	}
}

func (k *checker) leaf(path string, l Leaf) {
	k.name(path+"/name", l.name, k.leafs)
	if l.dataCentre == "" {
		k.add(result.NoDataCentre, path, "add the key data-centre with a declared name", "the target %q is in no data centre", l.name)
	} else if !k.centres[l.dataCentre] {
		k.add(result.NoDataCentre, path+"/data-centre", "use a name from data-centres", "the data centre %q is not declared", l.dataCentre)
	}
	if _, err := netip.ParseAddrPort(l.address); err != nil {
		k.add(result.BadAddress, path+"/address", `write an IP number and a port, such as "127.0.0.1:8080"`, "%q is no address", l.address)
		return
	}
	if other, twice := k.addresses[l.address]; twice {
		k.add(result.DuplicateAddress, path+"/address", "give each target its own address", "the target %q has the address of %q", l.name, other)
	}
	k.addresses[l.address] = l.name
}

func (k *checker) query(path string, q Query, seen map[string]bool) {
	k.name(path+"/name", q.name, seen)
	if len(q.services) == 0 {
		k.add(result.QueryWithoutServices, path+"/services", "name at least one service", "the query %q names no service", q.name)
	}
	named := make(map[string]bool)
	for i, s := range q.services {
		place := fmt.Sprintf("%s/services/%d", path, i)
		k.reference(place, s)
		if named[s] {
			k.add(result.DuplicateName, place, "name each service once", "the service %q stands twice", s)
		}
		named[s] = true
	}
}

func (k *checker) reference(path, service string) {
	if !k.services[service] {
		k.add(result.UnknownReference, path, "use the name of a declared service", "the service %q is not declared", service)
	}
}
