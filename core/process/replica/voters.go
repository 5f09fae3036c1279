// Package replica implements a replicated log with leader election in the manner
// of Raft, and the state machine that the committed commands are applied to. It
// uses pre-votes (see VoteRequest), learners, which receive the log but count in no
// quorum, and voter changes of one member at a time. Its functions depend only on
// their arguments and the state of the node, and do no network or file I/O;
// core/process/control calls them and does the I/O.
package replica

import "sort"

// ID identifies one incarnation of a data folder. A VM that lost its disk gets a
// new id.
type ID string

// Member is a replica and the VM that it runs on.
type Member struct {
	id ID
	vm string
}

// NewMember returns the member with a replica id on a VM.
func NewMember(id ID, vm string) Member { return Member{id: id, vm: vm} }

// ID returns the replica id.
func (m Member) ID() ID { return m.id }

// VM returns the name of the VM.
func (m Member) VM() string { return m.vm }

// Voters is the set of members whose votes and acknowledgements count towards a
// quorum, sorted by VM name.
type Voters struct {
	members []Member
}

// NewVoters returns the set of the given members.
func NewVoters(members []Member) Voters {
	sorted := append([]Member(nil), members...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].vm < sorted[j].vm })
	return Voters{members: sorted}
}

// Members returns the members, sorted by VM name.
func (v Voters) Members() []Member { return v.members }

// Quorum returns the smallest number of voters that is a majority.
func (v Voters) Quorum() int { return len(v.members)/2 + 1 }

// Has reports whether the replica with an id is a voter.
func (v Voters) Has(id ID) bool {
	for _, m := range v.members {
		if m.id == id {
			return true
		}
	}
	return false
}

// ByVM returns the voter on a VM, or false if there is none.
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
