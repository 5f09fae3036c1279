package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
	"github.com/mulberrydale/mulberrydale/core/process/target"
	"github.com/mulberrydale/mulberrydale/core/request/claim"
	"github.com/mulberrydale/mulberrydale/core/request/coverage"
	"github.com/mulberrydale/mulberrydale/core/request/query"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// claimSettleTimeout limits how long the outcome of a claimed request is sent
// to the voters after the caller has received its answer.
const claimSettleTimeout = 5 * time.Second

// Claimer claims request ids at a quorum of voters, so that a non-idempotent
// request runs at most once.
type Claimer interface {
	// Claim claims the id for the holder and keeps the claim for the duration
	// keep. The holder is an id that is unique to this attempt to run the
	// request. An error means that no quorum answered, so the request must not
	// be sent.
	Claim(ctx context.Context, id, holder string, keep time.Duration) (claim.Outcome, error)
	// Settle records the outcome of a claimed request.
	Settle(ctx context.Context, id, holder string, code result.Code, body []byte) error
}

// claimSettlement is the outcome of one claimed request, to be sent to the
// voters.
type claimSettlement struct {
	claimer Claimer
	id      string
	holder  string
	code    result.Code
	body    []byte
}

// run sends the outcome. If it does not arrive, the claim is not settled, and
// the answer to a repeated request is, correctly, that the outcome is unknown.
func (s *claimSettlement) run() {
	ctx, cancel := context.WithTimeout(context.Background(), claimSettleTimeout)
	defer cancel()
	_ = s.claimer.Settle(ctx, s.id, s.holder, s.code, s.body)
}

// answerNonIdempotent runs a non-idempotent request. If the request has an id,
// the id is claimed first. The request is sent at most once, on one connection.
func (e *Entry) answerNonIdempotent(ctx context.Context, request query.Request, began time.Time) query.Answer {
	active, err := e.waitForFreshConfig(ctx, began, request)
	if err != nil {
		return query.NewRefusal(request, err)
	}
	declared, ok := active.requests[request.Name()]
	if !ok {
		return query.NewRefusal(request, result.New(result.UnknownQuery, "no non-idempotent request %q is declared", request.Name()))
	}
	deadline := began.Add(allowedTime(request, declared.deadline))
	// A caller that disconnects must not cancel a request that may already
	// have been sent.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	if request.ID() == "" {
		return e.sendOnce(ctx, active, declared, request, deadline)
	}
	holder := e.nextID()
	outcome, err := e.claimer.Claim(ctx, claimID(request), holder, declared.idRetention)
	if err != nil {
		// The claim may have succeeded nevertheless. Settling it as not
		// run lets a repeated request claim the id again.
		e.settleClaim(request, holder, result.NoClaim, nil)
		return query.NewRefusal(request, result.Wrap(err, result.NoClaim, "the request id could not be claimed"))
	}
	switch o := outcome.(type) {
	case claim.Granted:
	case claim.Settled:
		return repeatedAnswer(request, active, declared, o)
	case claim.InDoubt:
		return query.NewRefusal(request, result.New(result.OutcomeUnknown, "a request with this id was sent before and its outcome is not known"))
	case claim.Full:
		return query.NewRefusal(request, result.New(result.NoClaim, "the store of claimed request ids is full"))
	}
	answer := e.sendOnce(ctx, active, declared, request, deadline)
	var body []byte
	if len(answer.Results()) > 0 {
		body = answer.Results()[0].Value()
	}
	e.settleClaim(request, holder, answer.Code(), body)
	return answer
}

// settleClaim sends an outcome to the voters in the background, so that the
// caller does not wait for it.
func (e *Entry) settleClaim(request query.Request, holder string, code result.Code, body []byte) {
	go (&claimSettlement{claimer: e.claimer, id: claimID(request), holder: holder, code: code, body: body}).run()
}

// claimID returns the id to claim. It includes the name of the request, so that
// callers may use the same id for different requests.
func claimID(request query.Request) string {
	return request.Name() + "/" + request.ID()
}

// repeatedAnswer returns the outcome of the first request with the same id.
func repeatedAnswer(request query.Request, active *activeConfig, declared *requestConfig, first claim.Settled) query.Answer {
	results := []query.Result{query.NewResult(declared.service.name, first.Body())}
	return query.NewAnswer(result.ClaimedBefore, request, active.version, "", coverage.New(1, nil), results)
}

// sendOnce sends the request to one target. It waits until a target has
// capacity, but never sends the request a second time.
func (e *Entry) sendOnce(ctx context.Context, active *activeConfig, declared *requestConfig, request query.Request, deadline time.Time) query.Answer {
	s := declared.service
	t, err := waitForTarget(ctx, s)
	if err != nil {
		return query.NewRefusal(request, err)
	}
	sub := leaf.NewRequest(e.nextID(), s.name, request.Name(), "", request.Parameters(), deadline).AsNonIdempotent()
	outcome, _ := e.exchange(ctx, t, sub)
	switch o := outcome.(type) {
	case leaf.Answered:
		results := []query.Result{query.NewResult(s.name, o.Body())}
		return query.NewAnswer(result.Complete, request, active.version, o.Snapshot(), coverage.New(1, nil), results)
	case leaf.Refused:
		return query.NewRefusal(request, result.New(result.TargetRefused, "target %s refused the request", t.Name()))
	case leaf.Failed:
		if !o.MaybeSent() {
			return query.NewRefusal(request, result.New(result.NoTarget, "no connection to target %s", t.Name()))
		}
	case leaf.Withheld:
		return query.NewRefusal(request, unconfirmedError())
	case leaf.Unusable:
	}
	return query.NewRefusal(request, result.New(result.OutcomeUnknown, "target %s returned no usable response", t.Name()))
}

// waitForTarget acquires a target of the service. It returns an error if no
// target may be used, or if none has capacity before ctx ends.
func waitForTarget(ctx context.Context, s *service) (*target.Target, error) {
	for {
		now := time.Now()
		switch c := target.Choose(s.targets, "", nil, rand.IntN, now).(type) {
		case target.Chosen:
			return c.Target(), nil
		case target.None:
			return nil, result.New(result.NoTarget, "service %s has no usable target", s.name)
		case target.Wait:
			select {
			case <-time.After(c.Until().Sub(now)):
			case <-ctx.Done():
				return nil, result.New(result.Overloaded, "no target of service %s had capacity before the deadline", s.name)
			}
		}
	}
}
