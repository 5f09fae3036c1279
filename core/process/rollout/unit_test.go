package rollout_test

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
)

func noMedian(string) time.Duration { return 0 }

// newController returns a controller that has observed a record.
func newController(r rollout.Record, at bootclock.Time) *rollout.Controller {
	c := rollout.NewController(rollout.DefaultBounds(), rand.New(rand.NewPCG(1, 2)))
	c.Observe([]rollout.Record{r}, at)
	return c
}

// Guards against versions in use that change without an order, or before it succeeds.
func TestVersionsInUse(t *testing.T) {
	r := rollout.NewRecord("s", []string{"v2", "v1", "v1"})
	assert.DeepEqual(t, r.InUse(), []string{"v1", "v2"})
	assert.DeepEqual(t, r.WithVersions([]string{"v9"}).InUse(), []string{"v1", "v2"})
	running := r.Started(5, "v2", time.Second)
	assert.DeepEqual(t, running.InUse(), []string{"v1"})
	assert.Equal(t, running.State(), rollout.Running)
	assert.DeepEqual(t, running.Ended(false).InUse(), []string{"v1"})
	assert.DeepEqual(t, running.Ended(true).InUse(), []string{"v2"})
	assert.Equal(t, rollout.NewRecord("s", []string{"v1"}).Started(5, "v1", time.Second).State(), rollout.Succeeded)
	unlisted := rollout.NewRecord("s", nil).Started(5, "v2", time.Second)
	assert.Equal(t, unlisted.State(), rollout.Running)
	assert.DeepEqual(t, unlisted.WithVersions([]string{"v1", "v2"}).InUse(), []string{"v1"})
	assert.Equal(t, running.WithElapsed(2*time.Second).WithElapsed(time.Second).Elapsed(), 2*time.Second)
}

// A VM without a valid grant must send nothing to the new version, whatever it was allowed
// before, and never more than its allowance.
func TestGateKeepsToItsGrant(t *testing.T) {
	at := bootclock.Time(time.Hour)
	r := rollout.NewRecord("s", []string{"v1"}).Started(5, "v2", time.Minute)
	c := newController(r, at)
	c.SetLeader(true, 1, at)
	g := rollout.NewGate(r, 0.5, noMedian)
	assert.Assert(t, !g.NextMayBeNew(at))
	for range 100 {
		g.CountRequest(false)
	}
	c.TakeReport("vm", "a", 1, g.Report(rollout.InFlight{}, true, at), rollout.Confirmation{}, at)
	later := at.Add(time.Second)
	c.Observe([]rollout.Record{r}, later)
	c.TakeReport("vm", "a", 2, g.Report(rollout.InFlight{}, true, later), rollout.Confirmation{}, later)
	c.Step([]string{"vm"}, true, later)
	_, grants := c.Grants("vm", "a")
	assert.Equal(t, len(grants), 1)
	assert.Assert(t, g.Take(grants[0], later.Add(time.Second)))
	sent := 0
	for g.NextMayBeNew(later) {
		g.CountRequest(true)
		sent++
	}
	assert.Equal(t, sent, 1)
	_, other := c.Grants("vm", "b")
	assert.Equal(t, len(other), 0, "a grant for another run of the VM")

	fresh := rollout.NewGate(r, 0.5, noMedian)
	fresh.Take(grants[0], later.Add(time.Second))
	assert.Assert(t, fresh.NextMayBeNew(later))
	assert.Assert(t, !fresh.NextMayBeNew(later.Add(time.Second)), "the grant has expired")
	next := rollout.NewGate(r.Ended(false).Started(6, "v3", time.Minute), 0.5, noMedian)
	assert.Assert(t, !next.Take(grants[0], later.Add(time.Second)), "a grant for an earlier order")
}

// The same order must count as repeated for 12 s after its end, by the clock of this VM.
func TestSameOrderIsRenewedAfterTwelveSeconds(t *testing.T) {
	at := bootclock.Time(time.Hour)
	r := rollout.NewRecord("s", []string{"v1"}).Started(5, "v2", time.Second)
	c := newController(r, at)
	assert.Assert(t, !c.MayRepeat("s", at.Add(time.Minute)))
	c.Observe([]rollout.Record{r.Ended(false)}, at)
	assert.Assert(t, !c.MayRepeat("s", at.Add(11900*time.Millisecond)))
	c.Observe([]rollout.Record{r.Ended(false)}, at.Add(5*time.Second))
	assert.Assert(t, c.MayRepeat("s", at.Add(12*time.Second)))
}

// Guards against records, reports and grants that other processes decode differently.
func TestCodecRoundTrip(t *testing.T) {
	r := rollout.NewRecord("s", []string{"v1"}).Started(5, "v2", time.Second).WithElapsed(time.Millisecond)
	payload := rollout.EncodeRecords([]rollout.Record{r, rollout.NewRecord("t", []string{""})})
	records, err := rollout.DecodeRecords(payload)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(rollout.EncodeRecords(records), payload))
	for n := range payload {
		_, err := rollout.DecodeRecords(payload[:n])
		assert.Assert(t, err != nil)
	}
	g := rollout.NewGate(r, 0.5, func(string) time.Duration { return time.Millisecond })
	g.CountRequest(true)
	g.CountFailure("a", true)
	g.CountResponse("b", false, 20*time.Millisecond)
	enc := frame.NewEncoder()
	rollout.EncodeReport(enc, g.Report(rollout.InFlight{}, true, 0))
	dec := frame.NewDecoder(enc.Payload())
	again := frame.NewEncoder()
	rollout.EncodeReport(again, rollout.DecodeReport(dec))
	assert.NilError(t, dec.Err())
	assert.Assert(t, bytes.Equal(again.Payload(), enc.Payload()))
}

// Guards against requests that are counted twice because a VM has restarted, or because a
// report of its former run arrives late through another VM.
func TestRestartOfAVMIsNotCountedTwice(t *testing.T) {
	at := bootclock.Time(time.Hour)
	r := rollout.NewRecord("s", []string{"v1"}).Started(5, "v2", time.Minute)
	c := newController(r, at)
	before, after := rollout.NewGate(r, 0, noMedian), rollout.NewGate(r, 0, noMedian)
	before.CountFailure("route", true)
	after.CountFailure("route", true)
	for sequence := range uint64(3) {
		c.TakeReport("vm", "a", sequence+1, before.Report(rollout.InFlight{}, true, at), rollout.Confirmation{}, at)
		c.TakeReport("vm", "b", sequence+1, after.Report(rollout.InFlight{}, true, at), rollout.Confirmation{}, at)
	}
	c.SetLeader(true, 1, at)
	c.Step([]string{"vm"}, true, at)
	assert.Assert(t, strings.HasPrefix(c.Evidence("s"), "2 bad of 2 responses"), c.Evidence("s"))
}
