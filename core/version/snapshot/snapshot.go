// Package snapshot selects the index snapshot that all services of one query
// use.
package snapshot

import "slices"

// ServiceSnapshots lists, for each usable leaf of one service, the names of
// the snapshots that the leaf holds. A leaf is usable if it may receive queries.
type ServiceSnapshots struct {
	leafs [][]string
}

// NewServiceSnapshots returns the snapshots of a service, with one list of
// snapshot names for each usable leaf. A name that a list repeats counts once.
func NewServiceSnapshots(leafs [][]string) ServiceSnapshots {
	return ServiceSnapshots{leafs: leafs}
}

// coverage counts the services that can serve a snapshot.
type coverage struct {
	// services is the number of services with at least one leaf that holds the
	// snapshot.
	services int
	// widelyHeldServices is the number of services in which at least half of the
	// leafs hold the snapshot.
	widelyHeldServices int
}

// preferredOver reports whether the snapshot called name is preferred over the
// one called otherName. The snapshot that more services can serve wins. Next
// comes a snapshot that is held by at least half of the leafs in each of these
// services, because the first few leafs of a rollout could not handle the load
// of the whole service. If both are still equal, the newer snapshot, which has
// the greater name, wins.
func (c coverage) preferredOver(name string, other coverage, otherName string) bool {
	if c.services != other.services {
		return c.services > other.services
	}
	widelyHeld := c.widelyHeldServices == c.services
	if otherWidelyHeld := other.widelyHeldServices == other.services; widelyHeld != otherWidelyHeld {
		return widelyHeld
	}
	return name > otherName
}

// Choose returns the snapshot from which a query is answered and the number of
// services that can serve it. It chooses the snapshot that the most services
// can serve. If several snapshots are equal in this, it prefers one that at
// least half of the leafs of each of these services hold, then the newest.
// Snapshot names must sort by age, as dates and fixed-width numbers do. If no
// leaf holds a snapshot, the name is empty and the number is 0.
//
// For example, a rollout from s1 to s2 has reached all leafs of two of three
// services, and these leafs still hold s1 too. Three services can serve s1 and
// only two can serve s2, so s1 is chosen. Once half of the leafs of the third
// service hold both, s2 is chosen.
func Choose(services []ServiceSnapshots) (name string, serviceCount int) {
	coverageByName := make(map[string]coverage)
	for _, s := range services {
		s.addCoverage(coverageByName)
	}
	var best coverage
	for candidate, c := range coverageByName {
		if name == "" || c.preferredOver(candidate, best, name) {
			name = candidate
			best = c
		}
	}
	return name, best.services
}

// addCoverage counts the service once for each snapshot that at least one of
// its leafs holds.
func (s ServiceSnapshots) addCoverage(coverageByName map[string]coverage) {
	for i, leaf := range s.leafs {
		for n, name := range leaf {
			if s.heldByEarlierLeaf(i, name) || slices.Contains(leaf[:n], name) {
				continue
			}
			c := coverageByName[name]
			c.services++
			if 2*s.countHolders(name) >= len(s.leafs) {
				c.widelyHeldServices++
			}
			coverageByName[name] = c
		}
	}
}

// heldByEarlierLeaf reports whether a leaf with an index below i holds the
// snapshot.
func (s ServiceSnapshots) heldByEarlierLeaf(i int, name string) bool {
	for _, leaf := range s.leafs[:i] {
		if slices.Contains(leaf, name) {
			return true
		}
	}
	return false
}

// countHolders returns the number of leafs that hold the snapshot.
func (s ServiceSnapshots) countHolders(name string) int {
	n := 0
	for _, leaf := range s.leafs {
		if slices.Contains(leaf, name) {
			n++
		}
	}
	return n
}
