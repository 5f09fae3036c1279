package exchange

import "net/http"

// HeaderNames holds the names of the headers that requests, responses and
// merged responses carry in addition to those that HTTP defines.
type HeaderNames struct {
	request   string
	deadline  string
	target    string
	signature string
	load      string
	notRun    string
	leaving   string
	parts     string
	missing   string
	key       string
	team      string
}

// NewHeaderNames returns the names of the request headers: the request id, the
// time in milliseconds that the sender waits for a response, and the id of the
// only target instance that may run the request.
func NewHeaderNames(request, deadline, target string) HeaderNames {
	return HeaderNames{request: request, deadline: deadline, target: target}
}

// WithResponse returns the names with those of the response headers: the
// signature that the target gives with a response, without which a success is
// not accepted, the target's load as the numbers of running and waiting
// requests, and the header that marks a request which the target did not run.
func (n HeaderNames) WithResponse(signature, load, notRun string) HeaderNames {
	n.signature = signature
	n.load = load
	n.notRun = notRun
	return n
}

// WithLeaving returns the names with that of the response header with which a target
// says that it is about to end.
func (n HeaderNames) WithLeaving(leaving string) HeaderNames {
	n.leaving = leaving
	return n
}

// WithMerged returns the names with those of the headers of a response that is
// merged from several shards: the signatures of the targets whose responses
// were merged, and the number of shards without a usable response.
func (n HeaderNames) WithMerged(parts, missing string) HeaderNames {
	n.parts = parts
	n.missing = missing
	return n
}

// WithTeams returns the names with those of the request headers for teams: the key with
// which a caller identifies itself, and the name of the team that a target gets instead.
func (n HeaderNames) WithTeams(key, team string) HeaderNames {
	n.key = http.CanonicalHeaderKey(key)
	n.team = http.CanonicalHeaderKey(team)
	return n
}

// OwnHeaderNames returns the header names that this system uses in its own HTTP
// interface.
func OwnHeaderNames() HeaderNames {
	return NewHeaderNames("Mulberrydale-Request", "Mulberrydale-Deadline-Ms", "Mulberrydale-Target").
		WithResponse("Mulberrydale-Signature", "Mulberrydale-Load", "Mulberrydale-Not-Run").
		WithLeaving("Mulberrydale-Leaving").
		WithMerged("Mulberrydale-Parts", "Mulberrydale-Missing").
		WithTeams("Mulberrydale-Key", "Mulberrydale-Team")
}

// Request returns the name of the header with the request id.
func (n HeaderNames) Request() string { return n.request }

// Deadline returns the name of the header with the time in milliseconds that
// the sender waits for a response.
func (n HeaderNames) Deadline() string { return n.deadline }

// Target returns the name of the header with the id of the only target instance
// that may run a request.
func (n HeaderNames) Target() string { return n.target }

// Signature returns the name of the header with a target's signature.
func (n HeaderNames) Signature() string { return n.signature }

// NotRun returns the name of the header that marks a request which the target
// did not run.
func (n HeaderNames) NotRun() string { return n.notRun }

// Leaving returns the name of the header with which a target says that it is about to
// end.
func (n HeaderNames) Leaving() string { return n.leaving }

// Parts returns the name of the header with the signatures of the targets whose
// responses were merged.
func (n HeaderNames) Parts() string { return n.parts }

// Missing returns the name of the header with the number of shards that are
// missing from a merged response.
func (n HeaderNames) Missing() string { return n.missing }

// Key returns the name of the header with the key of a caller.
func (n HeaderNames) Key() string { return n.key }

// Team returns the name of the header with the team of a request.
func (n HeaderNames) Team() string { return n.team }
