package relay

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// Refused is an answer that contains no response of a target: there was none, or
// none that can be used.
type Refused struct {
	code       result.Code
	reason     string
	retryAfter time.Duration
}

// NewRefused returns a refusal with a code and a reason.
func NewRefused(code result.Code, reason string) Refused {
	return Refused{code: code, reason: reason}
}

// WithRetryAfter returns a copy of the refusal with the time after which the
// caller may retry.
func (a Refused) WithRetryAfter(d time.Duration) Refused {
	a.retryAfter = d
	return a
}

// Code returns the result code. Its class indicates whether a target has run
// the request.
func (a Refused) Code() result.Code { return a.code }

// Reason returns the human-readable reason.
func (a Refused) Reason() string { return a.reason }

// RetryAfter returns the time after which the caller may retry, or 0 if none is
// known.
func (a Refused) RetryAfter() time.Duration { return a.retryAfter }

// Answer returns the answer to the caller. It is called when Done returns true.
// On a route with shards it is Merged if at least minParts parts have succeeded.
// On any other route it is Relayed with the successful response, or else with
// the last response that was a failure. In all other cases it is Refused.
func (s *State) Answer(now time.Time) Answer {
	if len(s.plan.route.Shards()) > 0 {
		if s.succeeded >= s.plan.minParts {
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
		records:    mergeGreatest(bodies, s.plan.route.TopK()),
		signatures: signatures,
		missing:    len(s.parts) - s.succeeded,
	}
}

// refusal returns the answer to a request without a usable response. Its code
// states that the request was not run only if that is certain.
func (s *State) refusal(now time.Time) Refused {
	switch {
	// Every send was refused or did not leave this VM, or nothing was sent.
	case s.NotRun():
		return NewRefused(result.Overloaded, "no target had capacity for the request or accepted it")
	case !now.Before(s.plan.end):
		return NewRefused(result.TimedOut, "no usable response arrived in time; the request may have run")
	}
	return NewRefused(result.OutcomeUnknown, "too few targets gave a usable response; the request may have run")
}
