package configuration

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// Problem is an error in a configuration. Its location is a JSON pointer into
// the document of the configuration.
type Problem struct {
	code    result.Code
	path    string
	message string
	remedy  string
}

// Code returns the result code.
func (p Problem) Code() result.Code { return p.code }

// Path returns the JSON pointer to the invalid value. For a leaf without a data
// centre it points to the leaf.
func (p Problem) Path() string { return p.path }

// Error returns the result code, JSON pointer, message and remedy on one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%d %s: %s: %s; %s", p.code, p.code, p.path, p.message, p.remedy)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,126}$`)

// checker validates a configuration in one pass. It collects the problems and,
// to find duplicates and unknown references, the names and addresses seen so
// far. The names and addresses of leafs must be unique across all services.
type checker struct {
	problems    []Problem
	dataCentres map[string]bool
	services    map[string]bool
	leafs       map[string]bool
	addresses   map[string]string // maps each address to the name of its leaf
}

// Check returns the problems of the configuration: invalid names, limits that
// are too small, services without leafs, queries without services, missing data
// centres, unknown references, invalid addresses and duplicates. A configuration
// may be used only if there are none. Check does not apply the upper bounds of
// numbers or the ranges of durations, which Decode enforces.
func (c Configuration) Check() []Problem {
	k := &checker{
		dataCentres: make(map[string]bool),
		services:    make(map[string]bool),
		leafs:       make(map[string]bool),
		addresses:   make(map[string]string),
	}
	k.checkName("/operator", c.operator, nil)
	k.checkMinimum("/most-entry-vms", c.maxEntryVMs, 1)
	for i, dc := range c.dataCentres {
		k.checkName(fmt.Sprintf("/data-centres/%d/name", i), dc.name, k.dataCentres)
	}
	for i, s := range c.services {
		k.checkService(fmt.Sprintf("/services/%d", i), s)
	}
	// The names of queries and of non-idempotent requests share one namespace.
	requestNames := make(map[string]bool)
	for i, q := range c.queries {
		k.checkQuery(fmt.Sprintf("/queries/%d", i), q, requestNames)
	}
	for i, r := range c.requests {
		path := fmt.Sprintf("/non-idempotent-requests/%d", i)
		k.checkName(path+"/name", r.name, requestNames)
		k.checkServiceReference(path+"/service", r.service)
	}
	return k.problems
}

func (k *checker) addProblem(code result.Code, path, remedy, format string, args ...any) {
	k.problems = append(k.problems, Problem{code: code, path: path, message: fmt.Sprintf(format, args...), remedy: remedy})
}

// checkName checks the syntax of a name. If seen is not nil, checkName also
// records a problem if the name is already in seen, and adds the name to seen.
func (k *checker) checkName(path, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		k.addProblem(result.BadName, path, "use a-z, 0-9 and -, at most 127 characters, and do not start with -", "the name %q is not valid", name)
	}
	if seen == nil {
		return
	}
	if seen[name] {
		k.addProblem(result.DuplicateName, path, "use each name once", "duplicate name %q", name)
	}
	seen[name] = true
}

func (k *checker) checkMinimum(path string, n, minimum int) {
	if n < minimum {
		k.addProblem(result.LimitOutOfRange, path, fmt.Sprintf("write %d or more", minimum), "%d is out of range", n)
	}
}

func (k *checker) checkService(path string, s Service) {
	k.checkName(path+"/name", s.name, k.services)
	k.checkMinimum(path+"/slots-per-leaf", s.limits.slots, 1)
	k.checkMinimum(path+"/connections-per-leaf", s.limits.connections, 1)
	k.checkMinimum(path+"/cold-capacity-per-second", s.limits.coldCapacityPerSecond, 1)
	if len(s.leafs) == 0 {
		k.addProblem(result.ServiceWithoutLeafs, path+"/leafs", "declare at least one leaf or remove the service", "the service %q has no leafs", s.name)
	}
	for i, l := range s.leafs {
		k.checkLeaf(fmt.Sprintf("%s/leafs/%d", path, i), l)
	}
}

func (k *checker) checkLeaf(path string, l Leaf) {
	k.checkName(path+"/name", l.name, k.leafs)
	if l.dataCentre == "" {
		k.addProblem(result.NoDataCentre, path, "add the key data-centre with the name of a declared data centre", "the leaf %q has no data centre", l.name)
	} else if !k.dataCentres[l.dataCentre] {
		k.addProblem(result.NoDataCentre, path+"/data-centre", "use the name of a declared data centre", "the data centre %q is not declared", l.dataCentre)
	}
	if _, err := netip.ParseAddrPort(l.address); err != nil {
		k.addProblem(result.BadAddress, path+"/address", `write an IP address and a port, such as "127.0.0.1:8080"`, "the address %q is not valid", l.address)
		return
	}
	if other, duplicate := k.addresses[l.address]; duplicate {
		k.addProblem(result.DuplicateAddress, path+"/address", "give each leaf its own address", "the leaf %q has the same address as %q", l.name, other)
	}
	k.addresses[l.address] = l.name
}

func (k *checker) checkQuery(path string, q Query, seen map[string]bool) {
	k.checkName(path+"/name", q.name, seen)
	if len(q.services) == 0 {
		k.addProblem(result.QueryWithoutServices, path+"/services", "name at least one service", "the query %q names no service", q.name)
	}
	seenServices := make(map[string]bool)
	for i, s := range q.services {
		servicePath := fmt.Sprintf("%s/services/%d", path, i)
		k.checkServiceReference(servicePath, s)
		if seenServices[s] {
			k.addProblem(result.DuplicateName, servicePath, "name each service once", "duplicate service %q", s)
		}
		seenServices[s] = true
	}
}

func (k *checker) checkServiceReference(path, service string) {
	if !k.services[service] {
		k.addProblem(result.UnknownReference, path, "use the name of a declared service", "the service %q is not declared", service)
	}
}
