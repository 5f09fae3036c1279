// Package snapshot chooses the index snapshot that one query is answered from.
package snapshot

// Holdings lists, for one service, the snapshots that its usable leafs hold.
type Holdings struct {
	held []string
}

// NewHoldings returns the holdings of a service; names may stand twice.
func NewHoldings(held []string) Holdings {
	return Holdings{held: held}
}

// Choose returns the snapshot that the most services can serve, the newest of
// equals, and the number of services that can. Names sort by age, as dates
// and fixed-width numbers do. Without any holdings the name is empty.
//
// For example, while a roll from s1 to s2 has reached two of three services
// and the leafs there still hold s1, s1 serves three services and s2 two, so
// s1 is chosen; once the third holds both, s2 is chosen.
func Choose(services []Holdings) (name string, servable int) {
	counts := make(map[string]int)
	for _, s := range services {
		for j, held := range s.held {
			if !contains(s.held[:j], held) {
				counts[held]++
			}
		}
	}
	for held, n := range counts {
		if n > servable || n == servable && held > name {
			name = held
			servable = n
		}
	}
	return name, servable
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
