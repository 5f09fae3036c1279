package replica

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
	"github.com/mulberrydale/mulberrydale/core/result"
)

const orderTime = 12 * time.Second

func order(s *State, version string, duration time.Duration, renewed bool) result.Code {
	o := s.Apply(NewStartRollout("s", version, duration).WithLeaderView([]string{"v1", "v2"}, renewed))
	return o.(RolloutOutcome).Code()
}

func recordOf(s *State) rollout.Record {
	r, _ := rollout.Find(s.Routes().Rollouts(), "s")
	return r
}

// An accepted order must be acknowledged again whenever it is repeated, another one refused
// while it runs, and a new rollout start from the same order only when the leader says so.
func TestOrdersOfRollouts(t *testing.T) {
	s := NewState()
	assert.Equal(t, order(s, "v2", orderTime, false), result.ChangeAccepted)
	first := recordOf(s)
	assert.DeepEqual(t, first.InUse(), []string{"v1"})
	assert.Equal(t, order(s, "v2", orderTime, true), result.ChangeRepeated)
	assert.Equal(t, order(s, "v3", orderTime, false), result.VersionConflict)
	assert.Equal(t, order(s, "v2", time.Second, false), result.VersionConflict)
	s.Apply(NewEndRollout("s", first.Order()+1, true, "another order"))
	assert.Equal(t, recordOf(s).State(), rollout.Running)
	revision := s.Routes().Revision()
	s.Apply(NewStateElapsed("s", first.Order(), time.Second))
	assert.Equal(t, recordOf(s).Elapsed(), time.Second)
	assert.Equal(t, s.Routes().Revision(), revision)
	s.Apply(NewEndRollout("s", first.Order(), false, "bad"))
	s.Apply(NewEndRollout("s", first.Order(), true, "too late"))
	assert.Equal(t, recordOf(s).State(), rollout.RolledBack)
	assert.Equal(t, order(s, "v2", orderTime, false), result.ChangeRepeated)
	assert.Equal(t, recordOf(s).State(), rollout.RolledBack)
	assert.Equal(t, order(s, "v2", orderTime, true), result.ChangeAccepted)
	assert.Assert(t, recordOf(s).Order() > first.Order())
	s.Apply(NewEndRollout("s", recordOf(s).Order(), true, "good"))
	assert.DeepEqual(t, recordOf(s).InUse(), []string{"v2"})
}

// Versions in use must be those that were recorded first, whatever the list shows later.
func TestVersionsAreRecordedOnce(t *testing.T) {
	s := NewState()
	s.Apply(NewRecordVersions([]ServiceVersions{NewServiceVersions("s", []string{"v1"}), NewServiceVersions("t", []string{""})}))
	assert.Equal(t, s.Routes().Revision(), uint64(1))
	s.Apply(NewRecordVersions([]ServiceVersions{NewServiceVersions("s", []string{"v1", "v2"})}))
	assert.Equal(t, s.Routes().Revision(), uint64(1))
	assert.DeepEqual(t, recordOf(s).InUse(), []string{"v1"})
}

// A snapshot of an earlier version of the program has no rollouts and must be decoded; one
// with rollouts must keep them; and without any the encoding must be the earlier one, which
// other VMs may still run.
func TestSnapshotsWithAndWithoutRollouts(t *testing.T) {
	s := NewState()
	s.Apply(NewPublishRoutes(3, []byte("{}")))
	enc := frame.NewEncoder()
	enc.Uint(1)
	enc.Uint(3)
	enc.Bytes([]byte("{}"))
	enc.Strings(nil)
	encoded := frame.NewEncoder()
	EncodeRoutes(encoded, s.Routes())
	assert.Assert(t, bytes.Equal(encoded.Payload(), enc.Payload()))
	decoded, err := DecodeState(s.Encode())
	assert.NilError(t, err)
	assert.Equal(t, len(decoded.Routes().Rollouts()), 0)

	order(s, "v2", orderTime, false)
	decoded, err = DecodeState(s.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, rollout.EncodeRecords(decoded.Routes().Rollouts()), rollout.EncodeRecords(s.Routes().Rollouts()))
	assert.Equal(t, order(decoded, "v2", orderTime, false), result.ChangeRepeated)
}

func TestRolloutCommandsRoundTrip(t *testing.T) {
	for _, c := range []Command{
		NewRecordVersions([]ServiceVersions{NewServiceVersions("s", []string{"v1", "v2"})}),
		WithAppendTime(NewStartRollout("s", "v2", orderTime).WithLeaderView([]string{"v1"}, true), time.Unix(1, 0)),
		NewEndRollout("s", 3, true, "reason"), NewStateElapsed("s", 3, time.Second),
	} {
		decoded, err := DecodeCommand(EncodeCommand(c))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(EncodeCommand(decoded), EncodeCommand(c)))
	}
	o := RolloutOutcome{code: result.ChangeAccepted, revision: 7}
	decoded, err := DecodeOutcome(EncodeOutcome(o))
	assert.NilError(t, err)
	assert.Equal(t, decoded, Outcome(o))
}
