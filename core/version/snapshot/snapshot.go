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
type standing struct {
	// services can serve the snapshot, broad ones by half of their leafs.
	services int
	broad    int
}

// better reports whether a snapshot is to be preferred. Coverage goes first;
// then a snapshot that half of the leafs hold everywhere, because the first
// leafs of a roll could not bear the load of all; then the newer one.
func (s standing) better(name string, other standing, otherName string) bool {
	if s.services != other.services {
		return s.services > other.services
	}
	wide := s.broad == s.services
	if otherWide := other.broad == other.services; wide != otherWide {
		return wide
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
func Choose(services []ServiceSnapshots) (name string, servable int) {
	standings := make(map[string]standing)
	for _, s := range services {
		s.count(standings)
	}
	var best standing
	for held, st := range standings {
		if name == "" || st.better(held, best, name) {
			name = held
			best = st
		}
	}
	return name, best.services
}

// count adds a service to the standings of the snapshots that it can serve.
func (h ServiceSnapshots) count(standings map[string]standing) {
	for i, leaf := range h.leafs {
		for _, name := range leaf {
			if h.heldBefore(i, name) {
				continue
			}
			st := standings[name]
			st.services++
			if 2*h.holders(name) >= len(h.leafs) {
				st.broad++
			}
			standings[name] = st
		}
	}
}

// heldBefore reports whether a leaf before number i holds the snapshot.
func (h ServiceSnapshots) heldBefore(i int, name string) bool {
	for _, leaf := range h.leafs[:i] {
		if slices.Contains(leaf, name) {
			return true
		}
	}
	return false
}

// holders counts the leafs that hold the snapshot.
func (h ServiceSnapshots) holders(name string) int {
	n := 0
	for _, leaf := range h.leafs {
		if slices.Contains(leaf, name) {
			n++
		}
	}
	return n
}
