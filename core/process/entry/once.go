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

// settleTimeout bounds how long the outcome of a claim is offered to the
// voters after the caller has its answer.
const settleTimeout = 5 * time.Second

// Claimer claims request ids at a quorum of voters.
type Claimer interface {
	// Claim takes the id for the holder. An error means that no quorum
	// answered: the request must not be sent.
	Claim(ctx context.Context, id, holder string, keep time.Duration) (claim.Outcome, error)
	// Settle notes the outcome of a claimed request.
	Settle(ctx context.Context, id, holder string, code result.Code, body []byte) error
}

// settlement offers one outcome to the voters.
type settlement struct {
	claimer Claimer
	id      string
	holder  string
	code    result.Code
	body    []byte
}

// run sends the outcome. When it does not arrive, the claim stays open and a
// resend is told that the outcome is unknown, which is true.
func (s *settlement) run() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_ = s.claimer.Settle(ctx, s.id, s.holder, s.code, s.body)
}

// answerOnce runs a non-idempotent request: one send, on one connection, after
// its id was claimed.
func (e *Entry) answerOnce(ctx context.Context, request query.Request, began time.Time) query.Answer {
	version, err := e.freshVersion(ctx, began, request)
	if err != nil {
		return query.NewRefusal(request, err)
	}
	declared, ok := version.requests[request.Name()]
	if !ok {
		return query.NewRefusal(request, result.New(result.UnknownQuery, "no non-idempotent request %q is declared", request.Name()))
	}
	deadline := began.Add(allowedTime(request, declared.deadline))
	// A caller that hangs up does not stop a request that may have left.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	if request.ID() == "" {
		return e.sendOnce(ctx, version, declared, request, deadline)
	}
	holder := e.nextID()
	outcome, err := e.claimer.Claim(ctx, claimID(request), holder, declared.keepIDs)
	if err != nil {
		// The claim may have been made all the same; it is given back.
		e.settle(request, holder, result.NoClaim, nil)
		return query.NewRefusal(request, result.Wrap(err, result.NoClaim, "the request id could not be claimed"))
	}
	switch o := outcome.(type) {
	case claim.Granted:
	case claim.Settled:
		return repeated(request, version, declared, o)
	case claim.Open:
		return query.NewRefusal(request, result.New(result.OutcomeUnknown, "a request with this id was sent before and its outcome is not known"))
	case claim.Full:
		return query.NewRefusal(request, result.New(result.NoClaim, "no more request ids can be kept"))
	}
	answer := e.sendOnce(ctx, version, declared, request, deadline)
	var body []byte
	if len(answer.Results()) > 0 {
		body = answer.Results()[0].Value()
	}
	e.settle(request, holder, answer.Code(), body)
	return answer
}

// settle offers an outcome to the voters without making the caller wait.
func (e *Entry) settle(request query.Request, holder string, code result.Code, body []byte) {
	go (&settlement{claimer: e.claimer, id: claimID(request), holder: holder, code: code, body: body}).run()
}

// claimID keeps the ids of different requests apart.
func claimID(request query.Request) string {
	return request.Name() + "/" + request.ID()
}

// repeated answers with the outcome of the request that ran first.
func repeated(request query.Request, version *serving, declared *servingRequest, first claim.Settled) query.Answer {
	results := []query.Result{query.NewResult(declared.service.name, first.Body())}
	return query.NewAnswer(result.ClaimedBefore, request, version.version, "", coverage.New(1, nil), results)
}

// sendOnce sends the request to one target. It waits for a place, but never
// sends a second time.
func (e *Entry) sendOnce(ctx context.Context, version *serving, declared *servingRequest, request query.Request, deadline time.Time) query.Answer {
	s := declared.service
	t, err := acquireOne(ctx, s)
	if err != nil {
		return query.NewRefusal(request, err)
	}
	sub := leaf.NewRequest(e.nextID(), s.name, request.Name(), "", request.Parameters(), deadline).AsNonIdempotent()
	outcome, _ := e.exchange(ctx, t, sub)
	switch o := outcome.(type) {
	case leaf.Answered:
		results := []query.Result{query.NewResult(s.name, o.Body())}
		return query.NewAnswer(result.Complete, request, version.version, o.Snapshot(), coverage.New(1, nil), results)
	case leaf.Refused:
		return query.NewRefusal(request, result.New(result.TargetRefused, "target %s refused the request", t.Name()))
	case leaf.Failed:
		if !o.MaybeSent() {
			return query.NewRefusal(request, result.New(result.NoTarget, "no connection to target %s", t.Name()))
		}
	case leaf.Withheld:
		return query.NewRefusal(request, unconfirmed())
	case leaf.Unusable:
	}
	return query.NewRefusal(request, result.New(result.OutcomeUnknown, "target %s gave no usable answer", t.Name()))
}

func acquireOne(ctx context.Context, s *service) (*target.Target, error) {
	for {
		now := time.Now()
		switch c := target.Choose(s.targets, "", nil, rand.IntN, now).(type) {
		case target.Chosen:
			return c.Target(), nil
		case target.None:
			return nil, result.New(result.NoTarget, "no target of service %s may be used now", s.name)
		case target.Wait:
			select {
			case <-time.After(c.Until().Sub(now)):
			case <-ctx.Done():
				return nil, result.New(result.Overloaded, "no target of service %s had room in time", s.name)
			}
		}
	}
}
