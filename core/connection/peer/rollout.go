package peer

import (
	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
)

// RolloutReports carries what an entry VM has counted of the rollouts that are running, to
// control VMs. It is sent several times a second while one is running.
type RolloutReports struct {
	startID string
	number  uint64
	// confirmation names the latest grants that the VM had.
	confirmation rollout.Confirmation
	reports      []rollout.Report
	// needsRelay is set if the VM gets no grants from the leader itself, so that other
	// control VMs pass the message on.
	needsRelay bool
	// vm is the name of the VM if another one passes the message on, otherwise empty.
	vm string
}

// NewRolloutReports returns a message with the reports of the run of an entry VM that the
// start id identifies. The number increases with each message of the run.
func NewRolloutReports(startID string, number uint64, confirmation rollout.Confirmation, reports []rollout.Report) RolloutReports {
	return RolloutReports{startID: startID, number: number, confirmation: confirmation, reports: reports}
}

// WithNeedsRelay returns the message with a statement whether control VMs that do not lead
// pass it on to the leader.
func (r RolloutReports) WithNeedsRelay(needsRelay bool) RolloutReports {
	r.needsRelay = needsRelay
	return r
}

// PassedOn returns the message of a VM as another one passes it on to the leader.
func (r RolloutReports) PassedOn(vm string) RolloutReports {
	r.vm = vm
	return r
}

// NeedsRelay reports whether control VMs that do not lead pass the message on to the leader.
func (r RolloutReports) NeedsRelay() bool { return r.needsRelay }

// VM returns the name of the VM if another one has passed the message on, otherwise the
// empty string.
func (r RolloutReports) VM() string { return r.vm }

// StartID returns the id of the run of the sending process.
func (r RolloutReports) StartID() string { return r.startID }

// Number returns the number of the message, which the grants that answer it repeat.
func (r RolloutReports) Number() uint64 { return r.number }

// Confirmation names the latest grants that the VM had.
func (r RolloutReports) Confirmation() rollout.Confirmation { return r.confirmation }

// Reports returns the report of each rollout.
func (r RolloutReports) Reports() []rollout.Report { return r.reports }

// RolloutGrants carries what the leader allows an entry VM. The grants are valid for a time
// from when the VM sent the reports that they answer.
type RolloutGrants struct {
	startID string
	term    uint64
	number  uint64
	// answers is the number of the reports that the grants answer.
	answers uint64
	grants  []rollout.Grant
	// vm is the name of the VM to which the receiver passes the message on, or empty.
	vm string
}

// NewRolloutGrants returns a message of the leader of a term for the run of an entry VM
// that the start id identifies. The number is that of the grants in this term, and answers
// that of the reports which they answer.
func NewRolloutGrants(startID string, term, number, answers uint64, grants []rollout.Grant) RolloutGrants {
	return RolloutGrants{startID: startID, term: term, number: number, answers: answers, grants: grants}
}

// Through returns the message as another VM passes it on to the named one.
func (g RolloutGrants) Through(vm string) RolloutGrants {
	g.vm = vm
	return g
}

// VM returns the name of the VM to which the receiver passes the message on, or the empty
// string.
func (g RolloutGrants) VM() string { return g.vm }

// StartID returns the id of the run of the process that the grants are for.
func (g RolloutGrants) StartID() string { return g.startID }

// Term returns the term of the leader.
func (g RolloutGrants) Term() uint64 { return g.term }

// Number returns the number of the grants in the term.
func (g RolloutGrants) Number() uint64 { return g.number }

// Answers returns the number of the reports that the grants answer.
func (g RolloutGrants) Answers() uint64 { return g.answers }

// Grants returns the grant for each rollout.
func (g RolloutGrants) Grants() []rollout.Grant { return g.grants }

func (RolloutReports) message() {}
func (RolloutGrants) message()  {}

func encodeRolloutReports(enc *frame.Encoder, r RolloutReports) {
	enc.String(r.startID)
	enc.Uint(r.number)
	enc.Uint(r.confirmation.Term)
	enc.Uint(r.confirmation.Number)
	enc.Bool(r.needsRelay)
	enc.String(r.vm)
	enc.Uint(uint64(len(r.reports)))
	for _, report := range r.reports {
		rollout.EncodeReport(enc, report)
	}
}

func decodeRolloutReports(dec *frame.Decoder) RolloutReports {
	r := RolloutReports{
		startID:      dec.String(),
		number:       dec.Uint(),
		confirmation: rollout.Confirmation{Term: dec.Uint(), Number: dec.Uint()},
		needsRelay:   dec.Bool(),
		vm:           dec.String(),
	}
	for range dec.Len() {
		r.reports = append(r.reports, rollout.DecodeReport(dec))
	}
	return r
}

func encodeRolloutGrants(enc *frame.Encoder, g RolloutGrants) {
	enc.String(g.startID)
	enc.Uint(g.term)
	enc.Uint(g.number)
	enc.Uint(g.answers)
	enc.String(g.vm)
	enc.Uint(uint64(len(g.grants)))
	for _, grant := range g.grants {
		rollout.EncodeGrant(enc, grant)
	}
}

func decodeRolloutGrants(dec *frame.Decoder) RolloutGrants {
	g := RolloutGrants{startID: dec.String(), term: dec.Uint(), number: dec.Uint(), answers: dec.Uint(), vm: dec.String()}
	for range dec.Len() {
		g.grants = append(g.grants, rollout.DecodeGrant(dec))
	}
	return g
}
