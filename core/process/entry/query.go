package entry

import (
	"context"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
	"github.com/mulberrydale/mulberrydale/core/process/target"
	"github.com/mulberrydale/mulberrydale/core/request/admission"
	"github.com/mulberrydale/mulberrydale/core/request/fanout"
	"github.com/mulberrydale/mulberrydale/core/request/query"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// maxPlans bounds how often one query is planned: once more when services turn
// out not to hold the snapshot.
const maxPlans = 2

// queryRun is one query on its way through this VM.
type queryRun struct {
	entry    *Entry
	active   *activeConfig
	declared *queryConfig
	request  query.Request
	selector *targetSelector
	state    *fanout.State
	group    *subRequestGroup
}

// answerQuery runs a query to its answer. It returns early when the caller's
// ctx ends, because nobody reads the answer then.
func (e *Entry) answerQuery(ctx context.Context, request query.Request, began time.Time) query.Answer {
	active, err := e.waitForFreshConfig(ctx, began, request)
	if err != nil {
		return query.NewRefusal(request, err)
	}
	declared, ok := active.queries[request.Name()]
	if !ok {
		return query.NewRefusal(request, result.New(result.UnknownQuery, "no query %q is declared", request.Name()))
	}
	allowed := allowedTime(request, declared.deadline)
	if wait, response := declared.expectedTimes(began); !admission.Admits(wait, response, allowed) {
		return query.NewRefusal(request, result.New(result.Overloaded, "the wait would be %d ms of %d ms", wait.Milliseconds(), allowed.Milliseconds()))
	}
	run := &queryRun{entry: e, active: active, declared: declared, request: request}
	deadline := began.Add(allowed)
	name, _ := declared.chooseSnapshot()
	if name == "" {
		return query.NewRefusal(request, result.New(result.NoTarget, "no target of query %q may be used now", request.Name()))
	}
	for plans := 1; ; plans++ {
		run.plan(name, began, deadline)
		run.loop(ctx)
		next, better := run.betterSnapshot()
		if !better || plans >= maxPlans {
			break
		}
		name = next
	}
	return run.answer()
}

// allowedTime returns the caller's deadline, or the declared one where the
// caller named none.
func allowedTime(request query.Request, declared time.Duration) time.Duration {
	if request.Deadline() > 0 {
		return request.Deadline()
	}
	return declared
}

// plan pins the snapshot and the services for what follows.
func (r *queryRun) plan(snapshot string, now, deadline time.Time) {
	r.selector = newTargetSelector(r.declared.services, r.entry.hedges, snapshot, deadline)
	r.state = fanout.New(fanout.NewPlan(r.declared.serviceNames, snapshot, now, deadline))
	r.group = newSubRequestGroup(deadline, fanout.MaxAttempts*len(r.declared.services))
}

// loop drives the query's decisions until the answer may go out.
func (r *queryRun) loop(ctx context.Context) {
	defer r.group.release()
	defer r.selector.leaveAllQueues()
	now := time.Now()
	r.send(r.state.Begin(now, r.selector))
	timer := time.NewTimer(r.state.Next().Sub(now))
	defer timer.Stop()
	for !r.state.Done(now) && !r.state.Stuck() {
		select {
		case res := <-r.group.results:
			now = time.Now()
			r.send(r.state.Handle(res, now, r.selector))
		case <-timer.C:
			now = time.Now()
		case <-ctx.Done():
			return
		}
		r.send(r.state.Tick(now, r.selector))
		timer.Reset(r.state.Next().Sub(now))
	}
}

func (r *queryRun) send(sends []fanout.Send) {
	for _, s := range sends {
		t, ok := s.Handle().(*target.Target)
		if !ok {
			continue
		}
		service := r.declared.services[s.Part()]
		plan := r.state.Plan()
		r.group.pending.Add(1)
		r.entry.workers.submit(&subRequest{
			entry:   r.entry,
			group:   r.group,
			service: service,
			target:  t,
			attempt: s.Attempt(),
			request: leaf.NewRequest(r.entry.nextID(), service.name, r.request.Name(), plan.Snapshot(), r.request.Parameters(), plan.Deadline()),
		})
	}
}

// betterSnapshot returns another snapshot that covers more services than the
// answer has, where the present one is exhausted and time is left.
func (r *queryRun) betterSnapshot() (name string, better bool) {
	if !r.state.Stuck() || r.state.Done(time.Now()) {
		return "", false
	}
	name, servable := r.declared.chooseSnapshot()
	return name, name != r.selector.snapshot && servable > r.state.Answered()
}

func (r *queryRun) answer() query.Answer {
	covered := r.state.Coverage()
	var results []query.Result
	for i, s := range r.declared.services {
		if body := r.state.Body(i); body != nil {
			results = append(results, query.NewResult(s.name, body))
		}
	}
	code := result.Partial
	switch {
	case covered.Complete():
		code = result.Complete
	case covered.Answered() == 0:
		code = result.NothingAnswered
	}
	return query.NewAnswer(code, r.request, r.active.version, r.selector.snapshot, covered, results)
}
