// Package query defines the request that a caller sends, the answer that it
// gets, and their JSON encoding.
package query

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/request/coverage"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// Request is a query or a non-idempotent request from a caller.
type Request struct {
	name       string
	id         string
	parameters []byte
	deadline   time.Duration
}

// NewRequest returns a request. The parameters are a JSON object. An empty id
// means that the caller gave none. The deadline is the time that the caller
// allows for the answer, or 0 if the declared deadline applies.
func NewRequest(name, id string, parameters []byte, deadline time.Duration) Request {
	return Request{name: name, id: id, parameters: parameters, deadline: deadline}
}

// Name returns the name under which the query or request is declared.
func (r Request) Name() string { return r.name }

// ID returns the caller's request id, or "" if the caller gave none.
func (r Request) ID() string { return r.id }

// Parameters returns the JSON object that is passed to the leafs unchanged.
func (r Request) Parameters() []byte { return r.parameters }

// Deadline returns the time that the caller allows for the answer, or 0 if the
// declared deadline applies.
func (r Request) Deadline() time.Duration { return r.deadline }

// Result is the JSON value returned by one service.
type Result struct {
	service string
	value   []byte
}

// NewResult returns the result of the named service. The value is the JSON value
// that the service returned.
func NewResult(service string, value []byte) Result {
	return Result{service: service, value: value}
}

// Service returns the name of the service.
func (r Result) Service() string { return r.service }

// Value returns the JSON value.
func (r Result) Value() []byte { return r.value }

// Answer is the response to one caller's request.
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

// NewAnswer returns the answer to a request that was processed and not refused.
// The version is that of the configuration in use, the snapshot may be "", and
// covered states which services are in the results.
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

// NewRefusal returns an answer without results, with the code and text of err.
func NewRefusal(request Request, err error) Answer {
	return Answer{code: result.CodeOf(err), message: err.Error(), id: request.id, name: request.name}
}

// WithVM returns a copy of the answer with the name of the VM that produced it.
func (a Answer) WithVM(vm string) Answer {
	a.vm = vm
	return a
}

// Code returns the numbered result code.
func (a Answer) Code() result.Code { return a.code }

// Message returns the text of a refusal, and "" for any other answer.
func (a Answer) Message() string { return a.message }

// ID returns the caller's request id, or "" if the caller gave none.
func (a Answer) ID() string { return a.id }

// Version returns the configuration version from which the plan was made, or 0
// in a refusal.
func (a Answer) Version() uint64 { return a.version }

// Snapshot returns the name of the snapshot that all results are from, or "" if
// there is none.
func (a Answer) Snapshot() string { return a.snapshot }

// Coverage returns which services are in the answer.
func (a Answer) Coverage() coverage.Coverage { return a.coverage }

// Results returns the results, in the order of the query's services.
func (a Answer) Results() []Result { return a.results }
