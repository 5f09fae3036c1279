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

// maxPlans limits how often one query is planned. It is planned again, with
// another snapshot, if services turn out not to hold the first one.
const maxPlans = 2

// queryRun is the state of one query while this VM runs it.
type queryRun struct {
	entry    *Entry
	active   *activeConfig
	declared *queryConfig
	request  query.Request
	selector *targetSelector
	state    *fanout.State
	group    *subRequestGroup
}

// answerQuery runs a query and returns its answer. It returns early if ctx
// ends, because the caller has disconnected then.
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
		return query.NewRefusal(request, result.New(result.Overloaded, "the expected queue wait of %d ms leaves too little of the deadline of %d ms", wait.Milliseconds(), allowed.Milliseconds()))
	}
	run := &queryRun{entry: e, active: active, declared: declared, request: request}
	deadline := began.Add(allowed)
	snapshotName, _ := declared.chooseSnapshot()
	if snapshotName == "" {
		return query.NewRefusal(request, result.New(result.NoTarget, "no usable target of query %q holds a snapshot", request.Name()))
	}
	for plans := 1; ; plans++ {
		run.plan(snapshotName, began, deadline)
		run.loop(ctx)
		next, better := run.betterSnapshot()
		if !better || plans >= maxPlans {
			break
		}
		snapshotName = next
	}
	return run.answer()
}

// allowedTime returns the caller's deadline, or the declared one if the caller
// set none.
func allowedTime(request query.Request, declared time.Duration) time.Duration {
	if request.Deadline() > 0 {
		return request.Deadline()
	}
	return declared
}

// plan prepares a new fan-out to the services of the query, with the given
// snapshot. The method loop then sends the sub-requests.
func (r *queryRun) plan(snapshot string, now, deadline time.Time) {
	r.selector = newTargetSelector(r.declared.services, r.entry.hedges, snapshot, deadline)
	r.state = fanout.New(fanout.NewPlan(r.declared.serviceNames, snapshot, now, deadline))
	r.group = newSubRequestGroup(deadline, fanout.MaxAttempts*len(r.declared.services))
}

// loop sends sub-requests and handles their results until the answer can be
// returned, no service can progress with the snapshot, or ctx ends.
func (r *queryRun) loop(ctx context.Context) {
	defer r.group.release()
	defer r.selector.leaveAllQueues()
	now := time.Now()
	r.send(r.state.Begin(now, r.selector))
	timer := time.NewTimer(r.state.NextTime().Sub(now))
	defer timer.Stop()
	for !r.state.Done(now) && !r.state.BlockedOnSnapshot() {
		select {
		case res := <-r.group.results:
			now = time.Now()
			r.send(r.state.HandleResult(res, now, r.selector))
		case <-timer.C:
			now = time.Now()
		case <-ctx.Done():
			return
		}
		r.send(r.state.Tick(now, r.selector))
		timer.Reset(r.state.NextTime().Sub(now))
	}
}

// send submits sub-requests to the workers.
func (r *queryRun) send(sends []fanout.Send) {
	for _, s := range sends {
		t, ok := s.Handle().(*target.Target)
		if !ok {
			continue
		}
		service := r.declared.services[s.Part()]
		plan := r.state.Plan()
		r.group.refs.Add(1)
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

// betterSnapshot returns another snapshot that more services can serve than
// have answered, if no service can progress with the present one and time
// remains.
func (r *queryRun) betterSnapshot() (name string, better bool) {
	if !r.state.BlockedOnSnapshot() || r.state.Done(time.Now()) {
		return "", false
	}
	name, servable := r.declared.chooseSnapshot()
	return name, name != r.selector.snapshot && servable > r.state.Answered()
}

// answer returns the answer made of the results that have arrived.
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
