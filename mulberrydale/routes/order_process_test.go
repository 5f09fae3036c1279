package routes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// operatorTimeout is how long an operator waits for an answer before it gives up and asks
// another control VM.
const operatorTimeout = time.Second

// orderOnce sends an order about the data centre to one control VM, and reports whether it was
// acknowledged within operatorTimeout.
func (d *rolloutDeployment) orderOnce(n int, out bool) bool {
	method := http.MethodDelete
	if out {
		method = http.MethodPut
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, d.operators[n]+pathDataCentres+"oulu-1"+suffixOutOfService, http.NoBody)
	assert.NilError(d.t, err)
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// setOut sends an order to one control VM after another, from the n-th on, until one has
// acknowledged it.
func (d *rolloutDeployment) setOut(n int, out bool) {
	d.t.Helper()
	for end := time.Now().Add(15 * time.Second); !d.orderOnce(n%3, out); n++ {
		assert.Assert(d.t, time.Now().Before(end), "the order was not acknowledged")
	}
}

// served reports whether the targets get requests.
func (d *rolloutDeployment) served() bool {
	before := d.targets.count("v1")
	time.Sleep(600 * time.Millisecond)
	return d.targets.count("v1") > before
}

// Guards, with processes, against an order that a control VM carries out after the one that
// replaced it. A VM, the leader or not, is stopped for 0.2 to 6 s; the operator asks it first,
// gives up, and sends the order and the opposite one to the others. Whatever wakes then, the
// last acknowledged order must hold. ORDER_ROUNDS sets the number of rounds.
func TestOrdersWhileControlVMsArePaused(t *testing.T) {
	rounds := 4
	// Without the variable, or with another text in it, rounds stays as it is.
	_, _ = fmt.Sscan(os.Getenv("ORDER_ROUNDS"), &rounds)
	d := newRolloutDeployment(t)
	rng := rand.New(rand.NewPCG(1, 36))
	out := false
	for round := range rounds {
		stopped := rng.IntN(3)
		pause := 200*time.Millisecond + time.Duration(rng.Int64N(int64(5800*time.Millisecond)))
		if round%2 == 0 {
			pause = 1050*time.Millisecond + time.Duration(rng.Int64N(int64(700*time.Millisecond)))
		}
		process := d.control[stopped].Process
		assert.NilError(t, process.Signal(syscall.SIGSTOP))
		wake := time.AfterFunc(pause, func() { _ = process.Signal(syscall.SIGCONT) })
		stoppedAt := time.Now()
		d.setOut(stopped, !out)
		d.setOut(stopped+1, out)
		if rng.IntN(2) == 0 {
			d.setOut(stopped+1, !out)
			out = !out
		}
		time.Sleep(time.Until(stoppedAt.Add(pause + 1500*time.Millisecond)))
		wake.Stop()
		assert.Equal(t, d.served(), !out, "round %d: VM %d was paused for %v, the last order that was acknowledged has out %t", round, stopped, pause, out)
	}
}
