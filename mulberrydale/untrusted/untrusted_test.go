package untrusted

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// settleTime is how long the callers keep their connections open after they have sent
// everything, so that the process has read what it was sent.
const settleTime = 500 * time.Millisecond

// attack lets callers misuse a listener of a process, and checks that the process stays
// alive and within its resources, and that it answers an ordinary request while they
// are connected and after they have left.
func attack(t *testing.T, s *server, address string, request ordinary, kinds ...kind) {
	t.Helper()
	callers := startHostileCallers(t, address, kinds...)
	callers.wait()
	time.Sleep(settleTime)
	files := s.openFiles()
	assert.Assert(t, s.alive(), "the process has ended")
	assert.Assert(t, files < maxOpenFiles, "%d descriptors are open, the bound is %d", files, maxOpenFiles)
	request.waitUntilAnswered(t)
	callers.end()
	request.waitUntilAnswered(t)
	assert.Assert(t, s.alive(), "the process has ended")
	peak := s.peakMemory()
	t.Logf("peak memory %d MB, %d descriptors", peak>>20, files)
	assert.Assert(t, peak < memoryMB<<20, "the peak memory is %d MB, the bound is %d MB", peak>>20, memoryMB)
}

// Guards against callers that make an entry VM use more memory or descriptors than its
// machine has.
func TestEntryVMWithstandsUntrustedCallers(t *testing.T) {
	i := newInstallation(t)
	for _, k := range kinds() {
		t.Run(k.name, func(t *testing.T) {
			attack(t, i.startEntry(t), i.callers, i.ordinaryQuery, k)
		})
	}
	t.Run("all kinds at once", func(t *testing.T) {
		attack(t, i.startEntry(t), i.callers, i.ordinaryQuery, kinds()...)
	})
}

// Guards against the same callers at the listeners that are not meant for them. The
// ordinary request is one for the role of the process, not for the listener.
func TestOtherListenersWithstandUntrustedCallers(t *testing.T) {
	i := newInstallation(t)
	t.Run("readiness", func(t *testing.T) {
		attack(t, i.startEntry(t), i.readiness, i.ordinaryQuery, kinds()...)
	})
	t.Run("metrics of an entry VM", func(t *testing.T) {
		attack(t, i.startEntry(t), i.metrics, i.ordinaryQuery, kinds()...)
	})
	t.Run("metrics of a control VM", func(t *testing.T) {
		attack(t, i.control, i.controlMetrics, i.ordinaryCall, kinds()...)
	})
	t.Run("operators", func(t *testing.T) {
		attack(t, i.control, i.operators, i.ordinaryCall, operatorKinds()...)
	})
	t.Run("sessions", func(t *testing.T) {
		attack(t, i.control, i.sessions, i.ordinaryCall, sessionKinds()...)
	})
}
