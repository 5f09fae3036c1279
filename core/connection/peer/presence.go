package peer

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// Presence announces a process: that it is alive, its address and its state. It
// is the first message of a session and is repeated periodically.
type Presence struct {
	vm           string
	address      string
	dataCentre   string
	startID      string
	revision     uint64
	controlVMs   []string
	entryVMCount int
	leader       string
	// replicaID is empty if the sender has no replica of the log.
	replicaID    string
	bootstrapped bool
	// listSequenceNumber is the sequence number of the sender's target list, 0 if
	// it has none.
	listSequenceNumber uint64
	listAge            time.Duration
	findings           []discovery.HealthFinding
}

// NewPresence returns the presence of a process; the revision is that of the
// routes that the process has. The address is the one on which a control VM
// accepts sessions; it is empty for other VMs.
func NewPresence(vm, address, dataCentre, startID string, revision uint64) Presence {
	return Presence{vm: vm, address: address, dataCentre: dataCentre, startID: startID, revision: revision}
}

// WithReplica returns the presence with the state of the sender's replica of
// the log. The leader is given by its address, empty if none is known.
func (p Presence) WithReplica(id string, bootstrapped bool, leader string) Presence {
	p.replicaID = id
	p.bootstrapped = bootstrapped
	p.leader = leader
	return p
}

// WithMembers returns the presence with the addresses of the control VMs in the
// sender's list of them, and the number of entry VMs that it receives messages
// from.
func (p Presence) WithMembers(controlVMs []string, entryVMCount int) Presence {
	p.controlVMs = controlVMs
	p.entryVMCount = entryVMCount
	return p
}

// WithList returns the presence with the sequence number and age of the
// sender's target list.
func (p Presence) WithList(number uint64, age time.Duration) Presence {
	p.listSequenceNumber = number
	p.listAge = age
	return p
}

// WithFindings returns the presence with findings about the health of targets
// that result from requests to them.
func (p Presence) WithFindings(findings []discovery.HealthFinding) Presence {
	p.findings = findings
	return p
}

// Findings returns findings about the health of targets that result from
// requests to them: requests of the sender if it is an entry VM, requests of
// all VMs if it is a control VM.
func (p Presence) Findings() []discovery.HealthFinding { return p.findings }

// VM returns the name of the sender.
func (p Presence) VM() string { return p.vm }

// Address returns the address on which the sender accepts sessions, empty if it
// accepts none.
func (p Presence) Address() string { return p.address }

// DataCentre returns the data centre of the sender.
func (p Presence) DataCentre() string { return p.dataCentre }

// StartID returns the id that identifies one run of the sending process.
func (p Presence) StartID() string { return p.startID }

// Revision returns the revision of the routes that the sender has.
func (p Presence) Revision() uint64 { return p.revision }

// ControlVMs returns the addresses of the control VMs in the sender's list of
// them.
func (p Presence) ControlVMs() []string { return p.controlVMs }

// EntryVMCount returns the number of entry VMs that the sender receives messages
// from.
func (p Presence) EntryVMCount() int { return p.entryVMCount }

// Leader returns the address of the leader, empty if none is known.
func (p Presence) Leader() string { return p.leader }

// Replica returns the sender's replica id and whether its log is bootstrapped;
// control is false if the sender has no replica.
func (p Presence) Replica() (id string, bootstrapped, control bool) {
	return p.replicaID, p.bootstrapped, p.replicaID != ""
}

// List returns the sequence number and age of the sender's target list. The
// number is 0 if the sender has none.
func (p Presence) List() (number uint64, age time.Duration) { return p.listSequenceNumber, p.listAge }

// PublishedRoutes carries the accepted routes.
type PublishedRoutes struct{ routes replica.Routes }

// NewPublishedRoutes returns a message with accepted routes.
func NewPublishedRoutes(routes replica.Routes) PublishedRoutes {
	return PublishedRoutes{routes: routes}
}

// Routes returns the accepted routes.
func (p PublishedRoutes) Routes() replica.Routes { return p.routes }

// ReadRoutes requests the current routes from the leader. The leader replies
// after a quorum has confirmed that the routes are current.
type ReadRoutes struct{ number uint64 }

// NewReadRoutes returns a read request. The reply repeats its number.
func NewReadRoutes(number uint64) ReadRoutes { return ReadRoutes{number: number} }

// Number returns the number that the reply repeats.
func (r ReadRoutes) Number() uint64 { return r.number }

// Unchanged takes the place of a presence that differs from the last one on the same
// session only in the target list's sequence number and age, and has no findings. Most
// presences do, and they are most of the bytes between data centres that control takes.
type Unchanged struct {
	listSequenceNumber uint64
	listAge            time.Duration
}

// NewUnchanged returns a message with the sequence number and age of the sender's target
// list, 0 if it has none.
func NewUnchanged(number uint64, age time.Duration) Unchanged {
	return Unchanged{listSequenceNumber: number, listAge: age}
}

// List returns the sequence number and age of the sender's target list.
func (u Unchanged) List() (number uint64, age time.Duration) { return u.listSequenceNumber, u.listAge }

// LateResponses carries the late responses that an entry VM received since its last
// message of this kind, to a control VM.
type LateResponses struct{ list []discovery.LateResponse }

// NewLateResponses returns a message with late responses.
func NewLateResponses(list []discovery.LateResponse) LateResponses { return LateResponses{list: list} }

// List returns the late responses.
func (l LateResponses) List() []discovery.LateResponse { return l.list }

// TargetList carries either the complete list of targets, or the changes since
// the previous TargetList on the same session.
type TargetList struct {
	full       bool
	number     uint64
	age        time.Duration
	difference discovery.Difference
}

// NewTargetList returns a message with the difference to the previous list, or
// with the complete list as the difference to an empty one if full is set.
func NewTargetList(full bool, number uint64, age time.Duration, difference discovery.Difference) TargetList {
	return TargetList{full: full, number: number, age: age, difference: difference}
}

// Full reports whether the difference applies to an empty list.
func (t TargetList) Full() bool { return t.full }

// Number returns the sequence number of the list that results from the
// difference.
func (t TargetList) Number() uint64 { return t.number }

// Age returns the age of the list when the message was sent: the time since the
// list was read from the service that provides it.
func (t TargetList) Age() time.Duration { return t.age }

// Difference returns the changes from the previous list on the session, or from
// an empty list if Full is true.
func (t TargetList) Difference() discovery.Difference { return t.difference }

func (Presence) message()        {}
func (PublishedRoutes) message() {}
func (ReadRoutes) message()      {}
func (TargetList) message()      {}
func (LateResponses) message()   {}
func (Unchanged) message()       {}
