package operator

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/version/document"
)

// Peer is the state of another VM as last reported to a VM.
type Peer struct {
	vm         string
	dataCentre string
	version    uint64
	alive      bool
	leaving    bool
}

// NewPeer returns the state of another VM.
func NewPeer(vm, dataCentre string, version uint64, alive, leaving bool) Peer {
	return Peer{vm: vm, dataCentre: dataCentre, version: version, alive: alive, leaving: leaving}
}

// VM returns the name of the other VM.
func (p Peer) VM() string { return p.vm }

// DataCentre returns the data centre of the other VM.
func (p Peer) DataCentre() string { return p.dataCentre }

// Version returns the active configuration version in the last report of the
// other VM.
func (p Peer) Version() uint64 { return p.version }

// Alive reports whether messages from the other VM arrived recently.
func (p Peer) Alive() bool { return p.alive }

// Leaving reports whether the other VM announced that it is about to stop.
func (p Peer) Leaving() bool { return p.leaving }

// Status is the state of a VM and the state of the other VMs as last reported
// to it.
type Status struct {
	vm         string
	dataCentre string
	version    uint64
	freshness  string
	quorumAge  time.Duration
	leader     string
	peers      []Peer
	targets    map[string]int
}

// NewStatus returns the status of a VM. The map targets holds the number of
// targets in each state.
func NewStatus(vm, dataCentre string, version uint64, freshness string, quorumAge time.Duration, leader string, peers []Peer, targets map[string]int) Status {
	return Status{
		vm:         vm,
		dataCentre: dataCentre,
		version:    version,
		freshness:  freshness,
		quorumAge:  quorumAge,
		leader:     leader,
		peers:      peers,
		targets:    targets,
	}
}

// VM returns the name of the VM.
func (s Status) VM() string { return s.vm }

// DataCentre returns the data centre of the VM.
func (s Status) DataCentre() string { return s.dataCentre }

// Version returns the active configuration version of the VM.
func (s Status) Version() uint64 { return s.version }

// Freshness returns how well the version is confirmed: fresh, stale or isolated.
func (s Status) Freshness() string { return s.freshness }

// QuorumAge returns the time since a quorum was last confirmed.
func (s Status) QuorumAge() time.Duration { return s.quorumAge }

// Leader returns the VM that leads the replicated log, empty if none is known.
func (s Status) Leader() string { return s.leader }

// Peers returns the states of the other VMs as last reported to this VM.
func (s Status) Peers() []Peer { return s.peers }

// Targets returns the number of targets in each state.
func (s Status) Targets() map[string]int { return s.targets }

// Unconfirmed returns the VMs that have not reported the version or a later one
// as active. VMs that are not alive count as unconfirmed.
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

// targetStates lists the states of targets in the order in which their counts
// are encoded.
var targetStates = []string{"unknown", "cold", "warming", "warm", "leaving", "suspect"}

// EncodeStatus encodes a status as JSON.
func EncodeStatus(s Status) ([]byte, error) {
	w := newObjectWriter()
	w.writeString("vm", s.vm)
	w.writeString("data-centre", s.dataCentre)
	w.writeUint("version", s.version)
	w.writeString("freshness", s.freshness)
	w.writeUint("quorum-age-ms", uint64(s.quorumAge.Milliseconds()))
	w.writeString("leader", s.leader)
	w.writeObjects("peers", len(s.peers), func(i int) {
		p := s.peers[i]
		w.writeString("vm", p.vm)
		w.writeString("data-centre", p.dataCentre)
		w.writeUint("version", p.version)
		w.writeBool("alive", p.alive)
		w.writeBool("leaving", p.leaving)
	})
	w.writeObjects("targets", len(targetStates), func(i int) {
		w.writeString("state", targetStates[i])
		w.writeUint("count", uint64(s.targets[targetStates[i]]))
	})
	return w.finish()
}

// DecodeStatus decodes a status from JSON.
func DecodeStatus(text []byte) (Status, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return Status{}, err
	}
	o := doc.Root()
	s := Status{
		vm:         o.String("vm"),
		dataCentre: o.String("data-centre"),
		version:    uint64(o.Int("version", 0, maxExactInt)),
		freshness:  o.String("freshness"),
		quorumAge:  time.Duration(o.Int("quorum-age-ms", 0, maxExactInt)) * time.Millisecond,
		leader:     o.String("leader"),
		targets:    make(map[string]int),
	}
	for _, p := range o.Objects("peers") {
		s.peers = append(s.peers, NewPeer(p.String("vm"), p.String("data-centre"),
			uint64(p.Int("version", 0, maxExactInt)), p.Bool("alive"), p.Bool("leaving")))
	}
	for _, t := range o.Objects("targets") {
		s.targets[t.String("state")] = t.Int("count", 0, maxExactInt)
	}
	return s, doc.Err()
}
