// Package replica is the system's own replicated log: the decisions of
// elections, replication and repair as functions of state, message and time,
// and the state that the committed commands produce. It opens no socket and no
// file; core/process/control drives it.
package replica

import "sort"

// ID names one life of a data folder. A VM that lost its disk has a new id.
type ID string

// Member is a replica and the VM that it runs on.
type Member struct {
	id ID
	vm string
}

// NewMember returns a member.
func NewMember(id ID, vm string) Member { return Member{id: id, vm: vm} }

// ID returns the replica id.
func (m Member) ID() ID { return m.id }

// VM returns the name of the VM.
func (m Member) VM() string { return m.vm }

// Voters is the set of members that elect and acknowledge, sorted by VM.
type Voters struct {
	members []Member
}

// NewVoters returns the set of the given members.
func NewVoters(members []Member) Voters {
	sorted := append([]Member(nil), members...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].vm < sorted[j].vm })
	return Voters{members: sorted}
}

// Members returns the members, sorted by VM.
func (v Voters) Members() []Member { return v.members }

// Quorum returns the number of voters that is a majority.
func (v Voters) Quorum() int { return len(v.members)/2 + 1 }

// Has reports whether the replica id is a voter.
func (v Voters) Has(id ID) bool {
	for _, m := range v.members {
		if m.id == id {
			return true
		}
	}
	return false
}

// OfVM returns the voter of a VM.
func (v Voters) ByVM(vm string) (Member, bool) {
	for _, m := range v.members {
		if m.vm == vm {
			return m, true
		}
	}
	return Member{}, false
}

func (v Voters) with(m Member) Voters {
	return NewVoters(append(append([]Member(nil), v.members...), m))
}

func (v Voters) without(id ID) Voters {
	var kept []Member
	for _, m := range v.members {
		if m.id != id {
			kept = append(kept, m)
		}
	}
	return NewVoters(kept)
}
