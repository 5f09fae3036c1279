package exchange

// HeaderNames are the headers that requests, responses and answers carry beside those
// of HTTP.
type HeaderNames struct {
	request   string
	deadline  string
	target    string
	signature string
	load      string
	notRun    string
	parts     string
	missing   string
}

// NewHeaderNames returns the headers of a request: its id, the milliseconds that its
// sender waits, and the id of the only target that may run it.
func NewHeaderNames(request, deadline, target string) HeaderNames {
	return HeaderNames{request: request, deadline: deadline, target: target}
}

// WithResponse returns the names with the headers of a response: the signature
// of the target, its load as running and waiting requests, and the mark of a
// request that it did not run.
func (n HeaderNames) WithResponse(signature, load, notRun string) HeaderNames {
	n.signature = signature
	n.load = load
	n.notRun = notRun
	return n
}

// WithMerged returns the names with the headers of an answer from many shards:
// the signatures of the parts, and the number of shards that are missing.
func (n HeaderNames) WithMerged(parts, missing string) HeaderNames {
	n.parts = parts
	n.missing = missing
	return n
}

// OwnHeaderNames returns the headers of the tier's own interface.
func OwnHeaderNames() HeaderNames {
	return NewHeaderNames("Mulberrydale-Request", "Mulberrydale-Deadline-Ms", "Mulberrydale-Target").
		WithResponse("Mulberrydale-Signature", "Mulberrydale-Load", "Mulberrydale-Not-Run").
		WithMerged("Mulberrydale-Parts", "Mulberrydale-Missing")
}

// Request names the header with the id of a request.
func (n HeaderNames) Request() string { return n.request }

// Deadline names the header with the milliseconds that a sender waits.
func (n HeaderNames) Deadline() string { return n.deadline }

// Target names the header with the id of the only target that may run a
// request.
func (n HeaderNames) Target() string { return n.target }

// Signature names the header with a target's signature.
func (n HeaderNames) Signature() string { return n.signature }

// NotRun names the header that marks a request which its target did not run.
func (n HeaderNames) NotRun() string { return n.notRun }

// Parts names the header with the signatures of the parts of an answer.
func (n HeaderNames) Parts() string { return n.parts }

// Missing names the header with the number of shards that an answer lacks.
func (n HeaderNames) Missing() string { return n.missing }
