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
	return NewRequest("id-1", "GET", "h", "/x/1", "/x/1", nil, nil, start).Within(600 * time.Millisecond)
}

func plainRoute(kind routing.Kind, attempts int) routing.Route {
	return routing.NewRoute("r", "h", "/x/").WithKind(kind).WithTimeoutAndObjective(time.Second, 100*time.Millisecond).
		WithMaxAttempts(attempts).WithSplit([]routing.WeightedService{routing.NewWeightedService("s", 1)})
}

func shardRoute() routing.Route {
	return routing.NewRoute("r", "h", "/x/").WithTimeoutAndObjective(time.Second, 100*time.Millisecond).
		WithMaxAttempts(2).WithShards([]string{"a", "b", "c", "d"}, 2, 0.75)
}

func ok(signature string) Outcome {
	return NewAnswered(NewResponse(200, nil, []byte("0123456789abcdef"), signature), Load{})
}

func failure() Outcome {
	return NewAnswered(NewResponse(500, nil, nil, "f"), Load{})
}

func lost() Outcome     { return NewLost(result.New(result.Unreachable, "reset")) }
func unsent() Outcome   { return NewUnsent(result.New(result.Unreachable, "refused")) }
func declined() Outcome { return NewDeclined(Load{}, false, "full") }

func TestWhatFollowsAnOutcome(t *testing.T) {
	tests := []struct {
		name    string
		kind    routing.Kind
		outcome Outcome
		next    Next
		done    bool
	}{
		{"an answer", routing.Idempotent, ok("s"), Nothing, true},
		{"an answer, once", routing.NonIdempotent, ok("s"), Nothing, true},
		{"a failure", routing.Idempotent, failure(), SendAgain, false},
		{"a failure, once", routing.NonIdempotent, failure(), Nothing, true},
		{"a refusal", routing.Idempotent, declined(), SendAgain, false},
		{"a refusal, once", routing.NonIdempotent, declined(), SendAgain, false},
		{"no byte left", routing.Idempotent, unsent(), SendFree, false},
		{"no byte left, once", routing.NonIdempotent, unsent(), SendFree, false},
		{"no response", routing.Idempotent, lost(), SendAgain, false},
		{"no response, once", routing.NonIdempotent, lost(), Nothing, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(NewPlan(plainRoute(tt.kind, 2), "s", request(), 0))
			s.Sent(0, nil, 20*time.Millisecond, start)
			assert.Equal(t, s.Take(0, tt.outcome), tt.next)
			assert.Equal(t, s.Done(start.Add(time.Millisecond)), tt.done)
		})
	}
}

func TestARequestThatMayRunOnceIsNeverHedged(t *testing.T) {
	s := NewState(NewPlan(plainRoute(routing.NonIdempotent, 3), "s", request(), 0))
	s.Sent(0, nil, 20*time.Millisecond, start)
	assert.Equal(t, len(s.Late(start.Add(500*time.Millisecond))), 0)
}

func TestAttemptsEndAtTheirMost(t *testing.T) {
	s := NewState(NewPlan(plainRoute(routing.Idempotent, 2), "s", request(), 0))
	s.Sent(0, nil, time.Second, start)
	assert.Equal(t, s.Take(0, lost()), SendAgain)
	s.Sent(0, nil, time.Second, start)
	assert.Equal(t, s.Take(0, lost()), Nothing)
	assert.Assert(t, s.Done(start))
	// Refusals by targets do not count, but they end too.
	s = NewState(NewPlan(plainRoute(routing.Idempotent, 1), "s", request(), 0))
	for range MostSends - 1 {
		s.Sent(0, nil, time.Second, start)
		assert.Equal(t, s.Take(0, declined()), SendAgain)
	}
	s.Sent(0, nil, time.Second, start)
	assert.Equal(t, s.Take(0, declined()), Nothing)
	refused, is := s.Answer(start).(Refused)
	assert.Assert(t, is)
	assert.Equal(t, refused.Code().Execution(), result.NotRun)
}

func TestARefusalSaysNotRunOnlyIfThatIsCertain(t *testing.T) {
	tests := []struct {
		name    string
		outcome Outcome
		code    result.Code
	}{
		{"refused by the target", declined(), result.Overloaded},
		{"no byte left", unsent(), result.Overloaded},
		{"no response", lost(), result.OutcomeUnknown},
	}
	for _, tt := range tests {
		s := NewState(NewPlan(plainRoute(routing.NonIdempotent, 1), "s", request(), 0))
		s.Sent(0, nil, time.Second, start)
		s.Take(0, tt.outcome)
		s.GiveUp(0)
		refused, is := s.Answer(start).(Refused)
		assert.Assert(t, is, tt.name)
		assert.Equal(t, refused.Code(), tt.code, tt.name)
	}
	s := NewState(NewPlan(plainRoute(routing.NonIdempotent, 1), "s", request(), 0))
	s.Sent(0, nil, time.Second, start)
	refused, is := s.Answer(start.Add(time.Second)).(Refused)
	assert.Assert(t, is, "still on its way")
	assert.Equal(t, refused.Code(), result.TimedOut)
}

func TestWhenAnAnswerFromShardsGoesOut(t *testing.T) {
	const wayBack = 10 * time.Millisecond
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name    string
		in      int
		lost    int
		at      int
		done    bool
		missing int
	}{
		{"all are in", 4, 0, 5, true, 0},
		{"one is missing, early", 3, 0, 50, false, 1},
		{"one is missing, at the objective", 3, 0, 90, true, 1},
		{"two are missing, at the objective", 2, 0, 90, false, -1},
		{"two are missing, at the end", 2, 0, 590, true, -1},
		{"one is lost", 3, 1, 5, true, 1},
		{"too many are lost", 1, 2, 5, true, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(NewPlan(shardRoute(), "", request(), wayBack))
			for n := range 4 {
				s.Sent(n, nil, time.Hour, start)
			}
			for n := range tt.in {
				s.Take(n, ok(string(rune('a'+n))))
			}
			for n := tt.in; n < tt.in+tt.lost; n++ {
				s.Take(n, lost())
				s.GiveUp(n)
			}
			assert.Equal(t, s.Done(at(tt.at)), tt.done)
			if !tt.done {
				return
			}
			merged, is := s.Answer(at(tt.at)).(Merged)
			assert.Equal(t, is, tt.missing >= 0)
			if is {
				assert.Equal(t, merged.Missing(), tt.missing)
				assert.Equal(t, len(merged.Signatures()), 4-tt.missing)
			}
		})
	}
}

func TestAPartIsTakenOnce(t *testing.T) {
	s := NewState(NewPlan(shardRoute(), "", request(), 0))
	for n := range 4 {
		s.Sent(n, nil, time.Millisecond, start)
	}
	assert.DeepEqual(t, s.Late(start.Add(2*time.Millisecond)), []int{0, 1, 2, 3})
	s.Sent(0, nil, time.Millisecond, start)
	assert.Equal(t, s.Take(0, ok("first")), Nothing)
	assert.Equal(t, s.Take(0, ok("second")), Nothing)
	for n := 1; n < 4; n++ {
		s.Take(n, ok(string(rune('a'+n))))
	}
	merged, _ := s.Answer(start).(Merged)
	assert.DeepEqual(t, merged.Signatures(), []string{"first", "b", "c", "d"})
}

func TestAFailureOfAShardIsNoPart(t *testing.T) {
	s := NewState(NewPlan(shardRoute(), "", request(), 0))
	s.Sent(0, nil, time.Second, start)
	assert.Equal(t, s.Take(0, failure()), SendAgain)
	s.Sent(0, nil, time.Second, start)
	assert.Equal(t, s.Take(0, NewAnswered(NewResponse(200, nil, nil, ""), Load{})), Nothing)
	assert.Equal(t, s.in, 0)
}

func TestTheGreatestRecordsAreMerged(t *testing.T) {
	record := func(b byte) []byte { return bytes.Repeat([]byte{b}, recordBytes) }
	join := func(parts ...[]byte) []byte { return bytes.Join(parts, nil) }
	tests := []struct {
		name  string
		parts [][]byte
		top   int
		want  []byte
	}{
		{"greatest first", [][]byte{join(record(1), record(9)), record(5)}, 2, join(record(9), record(5))},
		{"equal ones all count", [][]byte{record(7), record(7)}, 3, join(record(7), record(7))},
		{"a remainder is no record", [][]byte{append(record(3), 9, 9)}, 5, record(3)},
		{"no bytes", [][]byte{nil, {}}, 5, nil},
		{"compared as bytes without sign", [][]byte{record(0x7f), record(0x80)}, 1, record(0x80)},
		{"none asked", [][]byte{record(1)}, 0, nil},
	}
	for _, tt := range tests {
		assert.Assert(t, bytes.Equal(greatest(tt.parts, tt.top), tt.want), tt.name)
	}
}
