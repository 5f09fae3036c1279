package configuration

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/document"
)

// Upper bounds and defaults of the numbers in a document, and the lower bound of
// deadlines, each in the unit of its key. The other lower bounds are 0 or 1 and
// are given where the key is decoded.
const (
	maxEntryVMsLimit          = 100_000
	maxSlots                  = 100_000
	maxConnections            = 1_000_000
	maxColdCapacityPerSecond  = 10_000_000
	maxConnectionCostMillis   = 60_000
	maxWarmUpSeconds          = 3600
	defaultWarmUpSeconds      = 10
	minDeadlineMillis         = 1
	maxDeadlineMillis         = 600_000
	maxIDRetentionSeconds     = 30 * 24 * 3600
	defaultIDRetentionSeconds = 24 * 3600
)

// Decode parses and checks a document. The error is a *document.Faults that
// lists all faults, each with its result code, location and remedy.
func Decode(source []byte) (Configuration, error) {
	doc, err := document.Parse(source)
	if err != nil {
		return Configuration{}, err
	}
	root := doc.Root()
	// The range is much wider than the set of supported formats, so that another
	// version is reported as UnknownFormat and not as LimitOutOfRange.
	if format := root.Int("format", 0, 1<<30); root.Has("format") && format != Format {
		doc.AddFault(result.UnknownFormat, "/format", "the document format is not supported", "write 1")
	}
	cfg := New(
		root.String("operator"),
		root.Int("most-entry-vms", 1, maxEntryVMsLimit),
		decodeDataCentres(root),
		decodeServices(root),
		decodeQueries(root),
		decodeNonIdempotentRequests(root),
	)
	root.ReportUnknownKeys()
	// Check the references only if all values could be read. Otherwise a missing
	// name would be reported twice.
	if err := doc.Err(); err != nil {
		return Configuration{}, err
	}
	for _, problem := range cfg.Check() {
		doc.AddFault(problem.code, problem.path, problem.message, problem.remedy)
	}
	if err := doc.Err(); err != nil {
		return Configuration{}, err
	}
	return cfg, nil
}

func decodeDataCentres(root *document.Object) []DataCentre {
	var out []DataCentre
	for _, o := range root.Objects("data-centres") {
		out = append(out, NewDataCentre(o.String("name"), o.String("region"), o.BoolOr("in-service", true)))
		o.ReportUnknownKeys()
	}
	return out
}

func decodeServices(root *document.Object) []Service {
	var out []Service
	for _, o := range root.Objects("services") {
		limits := NewLimits(
			o.Int("slots-per-leaf", 1, maxSlots),
			o.Int("connections-per-leaf", 1, maxConnections),
			o.Int("cold-capacity-per-second", 1, maxColdCapacityPerSecond),
			o.Milliseconds("connection-cost-ms", 0, maxConnectionCostMillis),
			time.Duration(o.IntOr("warm-up-seconds", 0, maxWarmUpSeconds, defaultWarmUpSeconds))*time.Second,
		)
		out = append(out, NewService(o.String("name"), limits, o.BoolOr("reports-load", true), decodeLeafs(o)))
		o.ReportUnknownKeys()
	}
	return out
}

func decodeLeafs(service *document.Object) []Leaf {
	var out []Leaf
	for _, o := range service.Objects("leafs") {
		// A missing data centre is not reported here, because Check reports it with
		// the more specific code NoDataCentre.
		out = append(out, NewLeaf(o.String("name"), o.StringOr("data-centre", ""), o.String("address")))
		o.ReportUnknownKeys()
	}
	return out
}

func decodeQueries(root *document.Object) []Query {
	var out []Query
	for _, o := range root.Objects("queries") {
		out = append(out, NewQuery(o.String("name"), o.Milliseconds("deadline-ms", minDeadlineMillis, maxDeadlineMillis), o.Strings("services")))
		o.ReportUnknownKeys()
	}
	return out
}

func decodeNonIdempotentRequests(root *document.Object) []NonIdempotentRequest {
	if !root.Has("non-idempotent-requests") {
		return nil
	}
	var out []NonIdempotentRequest
	for _, o := range root.Objects("non-idempotent-requests") {
		idRetention := time.Duration(o.IntOr("keep-ids-seconds", 1, maxIDRetentionSeconds, defaultIDRetentionSeconds)) * time.Second
		out = append(out, NewNonIdempotentRequest(o.String("name"), o.Milliseconds("deadline-ms", minDeadlineMillis, maxDeadlineMillis), o.String("service"), idRetention))
		o.ReportUnknownKeys()
	}
	return out
}
