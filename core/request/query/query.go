// Package query holds what a caller sends and gets: the request, the answer
// and their JSON form.
package query

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/request/coverage"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// Request is a query or a non-idempotent request of a caller.
type Request struct {
	name       string
	id         string
	parameters []byte
	deadline   time.Duration
}

// NewRequest returns a request. An empty id means that the caller gave none;
// a deadline of 0 means the one declared. Parameters are a JSON object.
func NewRequest(name, id string, parameters []byte, deadline time.Duration) Request {
	return Request{name: name, id: id, parameters: parameters, deadline: deadline}
}

// Name returns the declared name of the query.
func (r Request) Name() string { return r.name }

// ID returns the caller's request id, empty where there is none.
func (r Request) ID() string { return r.id }

// Parameters returns a JSON object that is passed to the leafs as it is.
func (r Request) Parameters() []byte { return r.parameters }

// Deadline returns the time that the caller allows, 0 for the declared one.
func (r Request) Deadline() time.Duration { return r.deadline }

// Result is the JSON value that one service gave.
type Result struct {
	service string
	value   []byte
}

// NewResult returns the result of a service.
func NewResult(service string, value []byte) Result {
	return Result{service: service, value: value}
}

// Service returns the name of the service.
func (r Result) Service() string { return r.service }

// Value returns the JSON value.
func (r Result) Value() []byte { return r.value }

// Answer is what a caller gets: the whole of it belongs to one request.
type Answer struct {
	code     result.Code
	message  string
	id       string
	name     string
	version  uint64
	snapshot string
	coverage coverage.Coverage
	results  []Result
	vm       string
}

// NewAnswer returns an answer to a request that was run on targets.
func NewAnswer(code result.Code, request Request, version uint64, snapshot string, covered coverage.Coverage, results []Result) Answer {
	return Answer{
		code:     code,
		id:       request.id,
		name:     request.name,
		version:  version,
		snapshot: snapshot,
		coverage: covered,
		results:  results,
	}
}

// NewRefusal returns an answer that carries a code and a message only.
func NewRefusal(request Request, err error) Answer {
	return Answer{code: result.CodeOf(err), message: err.Error(), id: request.id, name: request.name}
}

// WithVM returns the answer with the name of the VM that gave it.
func (a Answer) WithVM(vm string) Answer {
	a.vm = vm
	return a
}

// Code returns the numbered result code.
func (a Answer) Code() result.Code { return a.code }

// Message returns the text of a refusal.
func (a Answer) Message() string { return a.message }

// ID returns the caller's request id.
func (a Answer) ID() string { return a.id }

// Version returns the configuration version that the plan was made from.
func (a Answer) Version() uint64 { return a.version }

// Snapshot returns the name of the snapshot that all results are from.
func (a Answer) Snapshot() string { return a.snapshot }

// Coverage returns which services are in the answer.
func (a Answer) Coverage() coverage.Coverage { return a.coverage }

// Results returns the results in the order of the query's services.
func (a Answer) Results() []Result { return a.results }
