package operator

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/version/document"
)

// Peer is what a VM knows of another.
type Peer struct {
	vm      string
	centre  string
	version uint64
	alive   bool
	leaving bool
}

// NewPeer returns what a VM knows of another.
func NewPeer(vm, centre string, version uint64, alive, leaving bool) Peer {
	return Peer{vm: vm, centre: centre, version: version, alive: alive, leaving: leaving}
}

// VM returns the name of the other VM.
func (p Peer) VM() string { return p.vm }

// DataCentre returns the data centre of the other VM.
func (p Peer) DataCentre() string { return p.centre }

// Version returns the version that the other VM last said to be in force.
func (p Peer) Version() uint64 { return p.version }

// Alive reports whether the other VM was heard lately.
func (p Peer) Alive() bool { return p.alive }

// Leaving reports whether the other VM said that it is about to stop.
func (p Peer) Leaving() bool { return p.leaving }

// Status is what a VM says about itself and what it knows of the others.
type Status struct {
	vm        string
	centre    string
	version   uint64
	freshness string
	quorumAge time.Duration
	leader    string
	peers     []Peer
	targets   map[string]int
}

// NewStatus returns the status of a VM. The targets are counted by state.
func NewStatus(vm, centre string, version uint64, freshness string, quorumAge time.Duration, leader string, peers []Peer, targets map[string]int) Status {
	return Status{
		vm:        vm,
		centre:    centre,
		version:   version,
		freshness: freshness,
		quorumAge: quorumAge,
		leader:    leader,
		peers:     peers,
		targets:   targets,
	}
}

// VM returns the name of the VM.
func (s Status) VM() string { return s.vm }

// DataCentre returns the data centre of the VM.
func (s Status) DataCentre() string { return s.centre }

// Version returns the version in force at the VM.
func (s Status) Version() uint64 { return s.version }

// Freshness returns whether the version is confirmed: fresh, stale or isolated.
func (s Status) Freshness() string { return s.freshness }

// QuorumAge returns how long ago a quorum was confirmed.
func (s Status) QuorumAge() time.Duration { return s.quorumAge }

// Leader returns the VM that leads the log, empty where none is known.
func (s Status) Leader() string { return s.leader }

// Peers returns the other VMs.
func (s Status) Peers() []Peer { return s.peers }

// Targets returns the number of targets by state.
func (s Status) Targets() map[string]int { return s.targets }

// Unconfirmed returns the VMs that have not confirmed a version.
func (s Status) Unconfirmed(version uint64) []string {
	var out []string
	if s.version < version {
		out = append(out, s.vm)
	}
	for _, p := range s.peers {
		if !p.alive || p.version < version {
			out = append(out, p.vm)
		}
	}
	return out
}

// targetStates is the order in which counts of targets are written.
var targetStates = []string{"unknown", "cold", "warming", "warm", "leaving", "suspect"}

// EncodeStatus writes a status as JSON.
func EncodeStatus(s Status) ([]byte, error) {
	f := newForm()
	f.text("vm", s.vm)
	f.text("data-centre", s.centre)
	f.number("version", s.version)
	f.text("freshness", s.freshness)
	f.number("quorum-age-ms", uint64(s.quorumAge.Milliseconds()))
	f.text("leader", s.leader)
	f.list("peers", len(s.peers), func(i int) {
		p := s.peers[i]
		f.text("vm", p.vm)
		f.text("data-centre", p.centre)
		f.number("version", p.version)
		f.truth("alive", p.alive)
		f.truth("leaving", p.leaving)
	})
	f.list("targets", len(targetStates), func(i int) {
		f.text("state", targetStates[i])
		f.number("count", uint64(s.targets[targetStates[i]]))
	})
	return f.end()
}

// DecodeStatus reads a status.
func DecodeStatus(text []byte) (Status, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return Status{}, err
	}
	o := doc.Root()
	s := Status{
		vm:        o.String("vm"),
		centre:    o.String("data-centre"),
		version:   uint64(o.Int("version", 0, maxInt)),
		freshness: o.String("freshness"),
		quorumAge: time.Duration(o.Int("quorum-age-ms", 0, maxInt)) * time.Millisecond,
		leader:    o.String("leader"),
		targets:   make(map[string]int),
	}
	for _, p := range o.Objects("peers") {
		s.peers = append(s.peers, NewPeer(p.String("vm"), p.String("data-centre"),
			uint64(p.Int("version", 0, maxInt)), p.Bool("alive"), p.Bool("leaving")))
	}
	for _, t := range o.Objects("targets") {
		s.targets[t.String("state")] = t.Int("count", 0, maxInt)
	}
	return s, doc.Err()
}
