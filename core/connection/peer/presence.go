package peer

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// Presence says that a process lives, where it can be reached and what it
// knows. It is the first message of a session and is repeated.
type Presence struct {
	vm           string
	address      string
	dataCentre   string
	startID      string
	revision     uint64
	controlVMs   []string
	entryVMCount int
	leader       string
	// replicaID is empty where the sender keeps no log.
	replicaID    string
	bootstrapped bool
	// listNumber is that of the sender's target list, 0 for none.
	listNumber uint64
	listAge    time.Duration
	findings   []discovery.Finding
}

// NewPresence returns the presence of a process at a revision of the routes.
// The address is where control VMs listen for sessions, empty for others.
func NewPresence(vm, address, dataCentre, startID string, revision uint64) Presence {
	return Presence{vm: vm, address: address, dataCentre: dataCentre, startID: startID, revision: revision}
}

// WithReplica returns the presence with what the sender's replica says.
func (p Presence) WithReplica(id string, bootstrapped bool, leader string) Presence {
	p.replicaID = id
	p.bootstrapped = bootstrapped
	p.leader = leader
	return p
}

// WithMembers returns the presence with the control VMs that the sender knows
// and the number of entry VMs that it hears.
func (p Presence) WithMembers(controlVMs []string, entryVMCount int) Presence {
	p.controlVMs = controlVMs
	p.entryVMCount = entryVMCount
	return p
}

// WithList returns the presence with the number and age of the sender's target
// list.
func (p Presence) WithList(number uint64, age time.Duration) Presence {
	p.listNumber = number
	p.listAge = age
	return p
}

// WithFindings returns the presence with what requests showed of targets.
func (p Presence) WithFindings(findings []discovery.Finding) Presence {
	p.findings = findings
	return p
}

// Findings returns what requests showed of targets: those of the sender where
// it is an entry VM, those of all where it is a control VM.
func (p Presence) Findings() []discovery.Finding { return p.findings }

// VM returns the name of the sender.
func (p Presence) VM() string { return p.vm }

// Address returns where the sender listens, empty where it does not.
func (p Presence) Address() string { return p.address }

// DataCentre returns the data centre of the sender.
func (p Presence) DataCentre() string { return p.dataCentre }

// StartID returns the id of the sender's present life.
func (p Presence) StartID() string { return p.startID }

// Revision returns the revision of the routes at the sender.
func (p Presence) Revision() uint64 { return p.revision }

// ControlVMs returns the addresses of the control VMs that the sender knows.
func (p Presence) ControlVMs() []string { return p.controlVMs }

// EntryVMCount returns the number of entry VMs that the sender hears.
func (p Presence) EntryVMCount() int { return p.entryVMCount }

// Leader returns the address of the leader, empty where none is known.
func (p Presence) Leader() string { return p.leader }

// Replica returns the sender's replica id and whether it has a log; the last
// result is false where the sender keeps none.
func (p Presence) Replica() (id string, bootstrapped, control bool) {
	return p.replicaID, p.bootstrapped, p.replicaID != ""
}

// List returns the number and age of the sender's target list, 0 for none.
func (p Presence) List() (number uint64, age time.Duration) { return p.listNumber, p.listAge }

// PublishedRoutes carries the accepted routes.
type PublishedRoutes struct{ routes replica.Routes }

// NewPublishedRoutes returns accepted routes.
func NewPublishedRoutes(routes replica.Routes) PublishedRoutes {
	return PublishedRoutes{routes: routes}
}

// Routes returns the accepted routes.
func (p PublishedRoutes) Routes() replica.Routes { return p.routes }

// ReadRoutes asks the leader for the routes as a quorum confirms them.
type ReadRoutes struct{ number uint64 }

// NewReadRoutes returns a read; the reply repeats its number.
func NewReadRoutes(number uint64) ReadRoutes { return ReadRoutes{number: number} }

// Number returns the number that the reply repeats.
func (r ReadRoutes) Number() uint64 { return r.number }

// TargetList carries what changed in the list of targets since the last one on
// the same session, or all of it.
type TargetList struct {
	full       bool
	number     uint64
	age        time.Duration
	difference discovery.Difference
}

// NewTargetList returns a difference, or a whole list, of a number and age.
func NewTargetList(full bool, number uint64, age time.Duration, difference discovery.Difference) TargetList {
	return TargetList{full: full, number: number, age: age, difference: difference}
}

// Full reports whether the receiver starts from an empty list.
func (t TargetList) Full() bool { return t.full }

// Number returns the number of the list after the difference.
func (t TargetList) Number() uint64 { return t.number }

// Age returns how long before it was sent the list was read.
func (t TargetList) Age() time.Duration { return t.age }

// Difference returns what changed.
func (t TargetList) Difference() discovery.Difference { return t.difference }

func (Presence) message()        {}
func (PublishedRoutes) message() {}
func (ReadRoutes) message()      {}
func (TargetList) message()      {}
