package cluster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// documentWithTeams begins a document whose routes need a confirmation.
const documentWithTeams = "teams"

// waitUntilConfirmed waits until all processes hold a confirmation of their routes.
func (in *installation) waitUntilConfirmed() {
	in.t.Helper()
	for _, p := range in.processes {
		poll.WaitOn(in.t, func(poll.LogT) poll.Result {
			if !p.cluster.Confirmation().Confirmed(bootclock.Now()) {
				return poll.Continue("%s is not confirmed", p.name)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	}
}

// Every process must hold a confirmation soon after the first routes with teams, and must keep
// it while the control VMs, one of which leads, restart one after another.
func TestProcessesStayConfirmedWhileControlVMsRestart(t *testing.T) {
	in := newInstallation(t, 4, 3)
	in.publish("control-0", 1)
	in.waitForVersion(1)
	in.publishDocument("control-0", 2, []byte(documentWithTeams))
	in.waitForVersion(2)
	in.waitUntilConfirmed()
	for _, name := range []string{"control-0", "control-1", "control-2"} {
		in.restart(name, in.processes[name].folder)
		began := time.Now()
		for time.Since(began) < 2500*time.Millisecond {
			for _, p := range in.processes {
				// The restarted VM, which has no proof yet, is not an entry VM.
				if p.folder == "" {
					assert.Assert(t, p.cluster.Confirmation().Confirmed(bootclock.Now()), "%s lost its confirmation %v after the restart of %s", p.name, time.Since(began), name)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	in.waitUntilConfirmed()
}

// An entry VM that restarts must be confirmed soon after it has its routes, since until then it
// refuses requests with keys.
func TestRestartedEntryVMIsConfirmedSoon(t *testing.T) {
	in := newInstallation(t, 3, 2)
	in.publishDocument("control-0", 2, []byte(documentWithTeams))
	in.waitForVersion(2)
	in.waitUntilConfirmed()
	in.processes["entry-0"].stop()
	p := in.start("entry-0", "", false)
	in.waitForVersion(2)
	adopted := time.Now()
	in.waitUntilConfirmed()
	assert.Assert(t, p.cluster.Confirmation().Confirmed(bootclock.Now()))
	assert.Assert(t, time.Since(adopted) < time.Second, "%v", time.Since(adopted))
}

// Without a quorum every process must lose its confirmation in time, whatever the control VMs
// that are left answer.
func TestConfirmationsEndWithoutAQuorum(t *testing.T) {
	in := newInstallation(t, 3, 2)
	in.publishDocument("control-0", 2, []byte(documentWithTeams))
	in.waitForVersion(2)
	in.waitUntilConfirmed()
	in.processes["control-0"].stop()
	in.processes["control-1"].stop()
	stopped := bootclock.Now()
	for _, name := range []string{"entry-0", "entry-1", "control-2"} {
		h := in.processes[name].cluster.Confirmation()
		for h.Confirmed(bootclock.Now()) {
			assert.Assert(t, bootclock.Now().Sub(stopped) < 4250*time.Millisecond, "%s is still confirmed", name)
			time.Sleep(20 * time.Millisecond)
		}
		proof, _ := h.Latest()
		assert.Assert(t, proof.Since().Before(stopped), "%s has a proof that is later than the last quorum", name)
	}
}

// Routes without teams must cause no questions: no entry VM gets a proof.
func TestRoutesWithoutTeamsAreNotConfirmed(t *testing.T) {
	in := newInstallation(t, 3, 2)
	in.publish("control-0", 2)
	in.waitForVersion(2)
	time.Sleep(time.Second)
	for _, name := range []string{"entry-0", "entry-1"} {
		_, ok := in.processes[name].cluster.Confirmation().Latest()
		assert.Assert(t, !ok, "%s asked for a proof", name)
	}
}
