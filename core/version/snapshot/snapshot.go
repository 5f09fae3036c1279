// Package snapshot chooses the index snapshot that one query is answered from.
package snapshot

import "slices"

// ServiceSnapshots lists, for one service, the snapshots that each usable leaf holds.
type ServiceSnapshots struct {
	leafs [][]string
}

// NewServiceSnapshots returns the holdings of a service, a list of names for each leaf.
func NewServiceSnapshots(leafs [][]string) ServiceSnapshots {
	return ServiceSnapshots{leafs: leafs}
}

// standing is how well a snapshot is held.
type coverage struct {
	// services can serve the snapshot, broad ones by half of their leafs.
	services           int
	widelyHeldServices int
}

// better reports whether a snapshot is to be preferred. Coverage goes first;
// then a snapshot that half of the leafs hold everywhere, because the first
// leafs of a roll could not bear the load of all; then the newer one.
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

// Choose returns the snapshot that the most services can serve, the newest of
// equals, and the number of services that can. Names sort by age, as dates
// and fixed-width numbers do. Without any holdings the name is empty.
//
// For example, while a roll from s1 to s2 has reached two of three services
// and the leafs there still hold s1, s1 serves three services and s2 two, so
// s1 is chosen; once half of the leafs of the third hold both, s2 is chosen.
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

// count adds a service to the standings of the snapshots that it can serve.
func (s ServiceSnapshots) addCoverage(coverageByName map[string]coverage) {
	for i, leaf := range s.leafs {
		for _, name := range leaf {
			if s.heldByEarlierLeaf(i, name) {
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

// heldBefore reports whether a leaf before number i holds the snapshot.
func (s ServiceSnapshots) heldByEarlierLeaf(i int, name string) bool {
	for _, leaf := range s.leafs[:i] {
		if slices.Contains(leaf, name) {
			return true
		}
	}
	return false
}

// holders counts the leafs that hold the snapshot.
func (s ServiceSnapshots) countHolders(name string) int {
	n := 0
	for _, leaf := range s.leafs {
		if slices.Contains(leaf, name) {
			n++
		}
	}
	return n
}
