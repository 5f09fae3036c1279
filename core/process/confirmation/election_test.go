package confirmation_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// faultyRun is a run of a simulation in which the leader is deposed every 8 s, unless election
// is 0, the time after which the next one is elected. The first time, a number of control VMs
// is lost.
type faultyRun struct {
	sim      *sim
	lost     int
	election time.Duration
	// unconfirmed counts the times at which a VM was not confirmed, and oldest is the
	// greatest age of a proof.
	unconfirmed int
	oldest      time.Duration
}

// check looks at one of the entry VMs, once they have had a second for their first proof.
func (r *faultyRun) check() {
	s := r.sim
	if s.now < time.Second {
		return
	}
	v := s.entries[s.events.Added()%len(s.entries)]
	if !v.holder.Confirmed(s.boot(v)) {
		r.unconfirmed++
	}
	if age, _ := v.holder.Status(s.boot(v)).Age(); age > r.oldest {
		r.oldest = age
	}
}

// depose ends the leadership. With loseVMs, the leader and the control VM after it are lost. A
// control VM that is left leads after the time of an election.
func (r *faultyRun) depose(loseVMs bool) {
	s := r.sim
	old := s.leader.number
	s.leader.leads = false
	if loseVMs {
		for n := range r.lost {
			s.controls[(old+n)%len(s.controls)].down = true
		}
	}
	s.leader = nil
	s.after(nil, r.election, func() {
		for n := range s.controls {
			if v := s.controls[(old+2+n)%len(s.controls)]; !v.down {
				s.elect(v)
				return
			}
		}
	})
}

func (r *faultyRun) run() {
	for round := range 4 {
		r.sim.run(time.Duration(5+8*round)*time.Second, r.check)
		if r.election > 0 {
			r.depose(round == 0)
		}
	}
	r.sim.run(40*time.Second, r.check)
}

// Without faults, through elections and with two of six control VMs lost at once, every VM that
// reaches control VMs must hold a confirmation all the time.
func TestVMsInTouchStayConfirmed(t *testing.T) {
	const election = 1200 * time.Millisecond
	tests := []struct {
		name              string
		controls, entries int
		lost              int
		election          time.Duration
		oldest            time.Duration
	}{
		{"no faults, 79 VMs", 6, 79, 0, 0, 2 * time.Second},
		{"no faults, 300 VMs", 6, 300, 0, 0, 2 * time.Second},
		{"no faults, 1,280 VMs for four control VMs", 4, 1280, 0, 0, 2 * time.Second},
		{"no faults, 3,200 VMs for three control VMs", 3, 3200, 0, 0, 2600 * time.Millisecond},
		{"an election, 1,067 VMs for each control VM", 3, 3200, 0, election, 3800 * time.Millisecond},
		{"an election", 6, 79, 0, election, 3 * time.Second},
		{"two control VMs lost, one of them the leader", 6, 79, 2, election, 3 * time.Second},
		{"the same with 300 VMs", 6, 300, 2, election, 3 * time.Second},
		{"two of five lost", 5, 79, 2, election, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &faultyRun{sim: newSim(tt.controls, tt.entries, 3), lost: tt.lost, election: tt.election}
			r.run()
			t.Logf("oldest confirmation %v, %.2f questions a second and VM", r.oldest, float64(r.sim.asks)/40/float64(tt.entries))
			assert.Equal(t, r.unconfirmed, 0)
			assert.Assert(t, r.oldest < tt.oldest, "%v", r.oldest)
		})
	}
}
