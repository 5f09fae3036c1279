package relay

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

var start = time.Unix(1_000_000, 0)

func request() *Request {
	return NewRequest("id-1", "GET", "h", "/x/1", "/x/1", nil, nil, start).WithTimeout(600 * time.Millisecond)
}

func plainRoute(kind routing.Kind, attempts int) routing.Route {
	return routing.NewRoute("r", "h", "/x/").WithKind(kind).WithTimeoutAndObjective(time.Second, 100*time.Millisecond).
		WithMaxAttempts(attempts).WithSplit([]routing.WeightedService{routing.NewWeightedService("s", 1)})
}

func shardRoute() routing.Route {
	return routing.NewRoute("r", "h", "/x/").WithTimeoutAndObjective(time.Second, 100*time.Millisecond).
		WithMaxAttempts(2).WithShards([]string{"a", "b", "c", "d"}, 2, 0.75)
}

func success(signature string) Outcome {
	return NewAnswered(NewResponse(200, nil, []byte("0123456789abcdef"), signature), Load{})
}

func failure() Outcome {
	return NewAnswered(NewResponse(500, nil, nil, "f"), Load{})
}

func lost() Outcome     { return NewLost(result.New(result.Unreachable, "reset")) }
func unsent() Outcome   { return NewUnsent(result.New(result.Unreachable, "refused")) }
func declined() Outcome { return NewDeclined(Load{}, false, "full") }

func TestActionAfterOutcome(t *testing.T) {
	tests := []struct {
		name    string
		kind    routing.Kind
		outcome Outcome
		action  Action
		done    bool
	}{
		{"a success", routing.Idempotent, success("s"), NoAction, true},
		{"a success, non-idempotent", routing.NonIdempotent, success("s"), NoAction, true},
		{"a failure", routing.Idempotent, failure(), Retry, false},
		{"a failure, non-idempotent", routing.NonIdempotent, failure(), NoAction, true},
		{"a refusal", routing.Idempotent, declined(), Retry, false},
		{"a refusal, non-idempotent", routing.NonIdempotent, declined(), Retry, false},
		{"no byte sent", routing.Idempotent, unsent(), FreeRetry, false},
		{"no byte sent, non-idempotent", routing.NonIdempotent, unsent(), FreeRetry, false},
		{"no response", routing.Idempotent, lost(), Retry, false},
		{"no response, non-idempotent", routing.NonIdempotent, lost(), NoAction, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(NewPlan(plainRoute(tt.kind, 2), "s", request(), 0))
			s.RecordSend(0, nil, 20*time.Millisecond, start)
			assert.Equal(t, s.HandleOutcome(0, tt.outcome), tt.action)
			assert.Equal(t, s.Done(start.Add(time.Millisecond)), tt.done)
		})
	}
}

func TestNonIdempotentRequestIsNeverHedged(t *testing.T) {
	s := NewState(NewPlan(plainRoute(routing.NonIdempotent, 3), "s", request(), 0))
	s.RecordSend(0, nil, 20*time.Millisecond, start)
	assert.Equal(t, len(s.DueHedges(start.Add(500*time.Millisecond))), 0)
}

func TestAttemptsAreBounded(t *testing.T) {
	s := NewState(NewPlan(plainRoute(routing.Idempotent, 2), "s", request(), 0))
	s.RecordSend(0, nil, time.Second, start)
	assert.Equal(t, s.HandleOutcome(0, lost()), Retry)
	s.RecordSend(0, nil, time.Second, start)
	assert.Equal(t, s.HandleOutcome(0, lost()), NoAction)
	assert.Assert(t, s.Done(start))
	// Refusals by targets are not counted as attempts, but the number of sends
	// is bounded too.
	s = NewState(NewPlan(plainRoute(routing.Idempotent, 1), "s", request(), 0))
	for range MaxSends - 1 {
		s.RecordSend(0, nil, time.Second, start)
		assert.Equal(t, s.HandleOutcome(0, declined()), Retry)
	}
	s.RecordSend(0, nil, time.Second, start)
	assert.Equal(t, s.HandleOutcome(0, declined()), NoAction)
	refused, isRefused := s.Answer(start).(Refused)
	assert.Assert(t, isRefused)
	assert.Equal(t, refused.Code().Execution(), result.NotRun)
}

func TestCodeIsNotRunOnlyIfCertain(t *testing.T) {
	tests := []struct {
		name    string
		outcome Outcome
		code    result.Code
	}{
		{"refused by the target", declined(), result.Overloaded},
		{"no byte sent", unsent(), result.Overloaded},
		{"no response", lost(), result.OutcomeUnknown},
	}
	for _, tt := range tests {
		s := NewState(NewPlan(plainRoute(routing.NonIdempotent, 1), "s", request(), 0))
		s.RecordSend(0, nil, time.Second, start)
		s.HandleOutcome(0, tt.outcome)
		s.GiveUp(0)
		refused, isRefused := s.Answer(start).(Refused)
		assert.Assert(t, isRefused, tt.name)
		assert.Equal(t, refused.Code(), tt.code, tt.name)
	}
	s := NewState(NewPlan(plainRoute(routing.NonIdempotent, 1), "s", request(), 0))
	s.RecordSend(0, nil, time.Second, start)
	refused, isRefused := s.Answer(start.Add(time.Second)).(Refused)
	assert.Assert(t, isRefused, "in flight at the timeout")
	assert.Equal(t, refused.Code(), result.TimedOut)
}

func TestShardAnswerTime(t *testing.T) {
	const returnDelay = 10 * time.Millisecond
	afterMillis := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name      string
		succeeded int
		lost      int
		millis    int
		done      bool
		missing   int // shards missing from the answer, or -1 if no merged answer is returned
	}{
		{"all succeeded", 4, 0, 5, true, 0},
		{"one missing before the objective", 3, 0, 50, false, 1},
		{"one missing at the objective", 3, 0, 90, true, 1},
		{"two missing at the objective", 2, 0, 90, false, -1},
		{"two missing at the end of the plan", 2, 0, 590, true, -1},
		{"one lost", 3, 1, 5, true, 1},
		{"too many lost", 1, 2, 5, true, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(NewPlan(shardRoute(), "", request(), returnDelay))
			for n := range 4 {
				s.RecordSend(n, nil, time.Hour, start)
			}
			for n := range tt.succeeded {
				s.HandleOutcome(n, success(string(rune('a'+n))))
			}
			for n := tt.succeeded; n < tt.succeeded+tt.lost; n++ {
				s.HandleOutcome(n, lost())
				s.GiveUp(n)
			}
			assert.Equal(t, s.Done(afterMillis(tt.millis)), tt.done)
			if !tt.done {
				return
			}
			merged, isMerged := s.Answer(afterMillis(tt.millis)).(Merged)
			assert.Equal(t, isMerged, tt.missing >= 0)
			if isMerged {
				assert.Equal(t, merged.Missing(), tt.missing)
				assert.Equal(t, len(merged.Signatures()), 4-tt.missing)
			}
		})
	}
}

func TestPartKeepsFirstResponse(t *testing.T) {
	s := NewState(NewPlan(shardRoute(), "", request(), 0))
	for n := range 4 {
		s.RecordSend(n, nil, time.Millisecond, start)
	}
	assert.DeepEqual(t, s.DueHedges(start.Add(2*time.Millisecond)), []int{0, 1, 2, 3})
	s.RecordSend(0, nil, time.Millisecond, start)
	assert.Equal(t, s.HandleOutcome(0, success("first")), NoAction)
	assert.Equal(t, s.HandleOutcome(0, success("second")), NoAction)
	for n := 1; n < 4; n++ {
		s.HandleOutcome(n, success(string(rune('a'+n))))
	}
	merged, _ := s.Answer(start).(Merged)
	assert.DeepEqual(t, merged.Signatures(), []string{"first", "b", "c", "d"})
}

func TestShardFailureIsNoSuccess(t *testing.T) {
	s := NewState(NewPlan(shardRoute(), "", request(), 0))
	s.RecordSend(0, nil, time.Second, start)
	assert.Equal(t, s.HandleOutcome(0, failure()), Retry)
	s.RecordSend(0, nil, time.Second, start)
	assert.Equal(t, s.HandleOutcome(0, NewAnswered(NewResponse(200, nil, nil, ""), Load{})), NoAction)
	assert.Equal(t, s.succeeded, 0)
}

func TestMergeGreatest(t *testing.T) {
	record := func(b byte) []byte { return bytes.Repeat([]byte{b}, recordBytes) }
	join := func(parts ...[]byte) []byte { return bytes.Join(parts, nil) }
	tests := []struct {
		name  string
		parts [][]byte
		top   int
		want  []byte
	}{
		{"greatest first", [][]byte{join(record(1), record(9)), record(5)}, 2, join(record(9), record(5))},
		{"duplicates are kept", [][]byte{record(7), record(7)}, 3, join(record(7), record(7))},
		{"a short remainder is ignored", [][]byte{append(record(3), 9, 9)}, 5, record(3)},
		{"empty parts", [][]byte{nil, {}}, 5, nil},
		{"bytes are compared unsigned", [][]byte{record(0x7f), record(0x80)}, 1, record(0x80)},
		{"top is 0", [][]byte{record(1)}, 0, nil},
	}
	for _, tt := range tests {
		assert.Assert(t, bytes.Equal(mergeGreatest(tt.parts, tt.top), tt.want), tt.name)
	}
}
