package relay

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// Refused says why there is no answer from a target.
type Refused struct {
	code       result.Code
	reason     string
	retryAfter time.Duration
}

// NewRefused returns a refusal with a code and a sentence.
func NewRefused(code result.Code, reason string) Refused {
	return Refused{code: code, reason: reason}
}

// After returns the refusal with the time after which to come back.
func (a Refused) After(d time.Duration) Refused {
	a.retryAfter = d
	return a
}

// Code returns the numbered code; its class says whether a target has run the
// request.
func (a Refused) Code() result.Code { return a.code }

// Reason returns a sentence for people.
func (a Refused) Reason() string { return a.reason }

// RetryAfter returns when to come back, 0 where nothing is known.
func (a Refused) RetryAfter() time.Duration { return a.retryAfter }

// Answer returns what the caller gets once the state is done.
func (s *State) Answer(now time.Time) Answer {
	if len(s.plan.route.Shards()) > 0 {
		if s.in >= s.plan.least {
			return s.merged()
		}
		return s.refusal(now)
	}
	p := &s.parts[0]
	switch {
	case p.response != nil:
		return Relayed{response: p.response}
	case p.failure != nil:
		return Relayed{response: p.failure}
	}
	return s.refusal(now)
}

func (s *State) merged() Merged {
	var bodies [][]byte
	var signatures []string
	for n := range s.parts {
		if r := s.parts[n].response; r != nil {
			bodies = append(bodies, r.body)
			signatures = append(signatures, r.signature)
		}
	}
	return Merged{
		records:    greatest(bodies, s.plan.route.TopK()),
		signatures: signatures,
		missing:    len(s.parts) - s.in,
	}
}

// refusal says what is true of a request without a usable response: not run
// only if that is certain.
func (s *State) refusal(now time.Time) Refused {
	switch {
	case s.NotRun():
		return NewRefused(result.Overloaded, "no target had room for the request")
	case !now.Before(s.plan.end):
		return NewRefused(result.TimedOut, "the time is up and the request may have run")
	}
	return NewRefused(result.OutcomeUnknown, "too few targets gave a usable response; the request may have run")
}
