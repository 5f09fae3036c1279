package configuration

import (
	"fmt"
	"sort"
	"strings"
)

// Difference is one part of a configuration that was added, removed or
// changed.
type Difference struct {
	part   string
	before string
	after  string
}

// Part returns the kind and name of the part, such as "data-centre oulu-1".
func (d Difference) Part() string { return d.part }

// Before returns the old description of the part, or the empty string if the
// part was added.
func (d Difference) Before() string { return d.before }

// After returns the new description of the part, or the empty string if the
// part was removed.
func (d Difference) After() string { return d.after }

// String returns the difference on one line. The line starts with + for an
// added part, - for a removed one and ~ for a changed one.
func (d Difference) String() string {
	switch {
	case d.before == "":
		return fmt.Sprintf("+ %s: %s", d.part, d.after)
	case d.after == "":
		return fmt.Sprintf("- %s: %s", d.part, d.before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.part, d.before, d.after)
}

// Diff returns the differences between two configurations, sorted by part. Two
// valid configurations without a difference behave the same. The order of the
// parts is not compared, except that of the services of a query.
//
// For example, taking a data centre out of service gives
//
//	~ data-centre oulu-1: region pohjois-suomi, in service true -> region pohjois-suomi, in service false
func Diff(before, after Configuration) []Difference {
	oldParts := before.parts()
	newParts := after.parts()
	var out []Difference
	for part, text := range oldParts {
		if newParts[part] != text {
			out = append(out, Difference{part: part, before: text, after: newParts[part]})
		}
	}
	for part, text := range newParts {
		if _, existed := oldParts[part]; !existed {
			out = append(out, Difference{part: part, after: text})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].part < out[j].part })
	return out
}

// parts maps the kind and name of each part of the configuration to a one-line
// description of its values.
func (c Configuration) parts() map[string]string {
	out := make(map[string]string)
	// The zero Configuration, which has no operator, has no parts.
	if c.operator != "" {
		out["operator"] = c.operator
		out["most-entry-vms"] = fmt.Sprint(c.maxEntryVMs)
	}
	for _, dc := range c.dataCentres {
		out["data-centre "+dc.name] = fmt.Sprintf("region %s, in service %t", dc.region, dc.inService)
	}
	for _, s := range c.services {
		out["service "+s.name] = fmt.Sprintf("slots %d, connections %d, connection cost %v, cold capacity %d/s, warm-up %v, reports load %t",
			s.limits.slots, s.limits.connections, s.limits.connectionCost, s.limits.coldCapacityPerSecond, s.limits.warmUp, s.reportsLoad)
		for _, l := range s.leafs {
			out["leaf "+s.name+"/"+l.name] = fmt.Sprintf("data centre %s, address %s", l.dataCentre, l.address)
		}
	}
	for _, q := range c.queries {
		out["query "+q.name] = fmt.Sprintf("deadline %v, services %s", q.deadline, strings.Join(q.services, " "))
	}
	for _, r := range c.requests {
		out["request "+r.name] = fmt.Sprintf("deadline %v, service %s, ids kept %v", r.deadline, r.service, r.idRetention)
	}
	return out
}
