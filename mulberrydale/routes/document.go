package routes

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/document"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// Upper bounds of the numbers in a document of routes. A version is at most 2^53, up
// to which JSON numbers are exact integers. maxCount applies to connections and
// header bytes.
const (
	maxVersion   = 1 << 53
	maxRank      = 1 << 20
	maxAttempts  = 1 << 10
	maxWeight    = 1e12
	maxTop       = 1 << 24
	maxCount     = 1 << 30
	maxBodyBytes = 1 << 40
	maxRate      = 1e12
	maxMillis    = 24 * 3600 * 1000
)

// Values of the key kind of a route.
const (
	kindIdempotent    = "idempotent"
	kindNonIdempotent = "non-idempotent"
)

// Decode decodes and checks a document of routes, JSON with comments and trailing
// commas. The error lists every missing or unknown key and every invalid value, with
// result code, path and remedy. If all values can be decoded, it is the first error
// that routing.Table.Check finds.
func Decode(text []byte) (*routing.Table, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return nil, err
	}
	root := doc.Root()
	version := root.Int("version", 1, maxVersion)
	var routes []routing.Route
	for _, o := range root.Objects("routes") {
		routes = append(routes, decodeRoute(doc, o))
	}
	var services []routing.Service
	for _, o := range root.Objects("services") {
		services = append(services, decodeService(o))
	}
	limits := decodeLimits(root)
	t := routing.NewTable(uint64(version), routes, services, limits)
	if root.Has("teams") {
		t = t.WithTeams(decodeTeams(doc, root))
	}
	root.ReportUnknownKeys()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return t, t.Check()
}

// decodeRoute decodes an entry of routes. A route with the key shards merges the
// responses of several services; any other route splits requests between its
// services by weight.
func decodeRoute(doc *document.Document, o *document.Object) routing.Route {
	r := routing.NewRoute(o.String("name"), o.String("host"), o.String("path")).
		WithTimeoutAndObjective(o.Milliseconds("time-limit-ms", 1, maxMillis), time.Duration(o.IntOr("objective-ms", 0, maxMillis, 0))*time.Millisecond).
		WithPriority(o.IntOr("rank", 0, maxRank, 0)).
		WithMaxAttempts(o.IntOr("attempts", 1, maxAttempts, 1)).
		WithPublic(o.BoolOr("public", false))
	switch kind := o.StringOr("kind", kindNonIdempotent); kind {
	case kindIdempotent:
	case kindNonIdempotent:
		r = r.WithKind(routing.NonIdempotent)
	default:
		doc.AddFault(result.UnknownReference, o.Path()+"/kind", "the kind "+kind+" is not known", "use idempotent or non-idempotent")
	}
	if o.Has("shards") {
		r = r.WithShards(o.Strings("shards"), o.Int("top", 1, maxTop), o.NumberOr("least-share", 0, 1, 1))
	} else {
		r = r.WithSplit(decodeSplit(o))
	}
	o.ReportUnknownKeys()
	return r
}

// decodeSplit decodes the services of a route with their weights, 1 by default.
func decodeSplit(o *document.Object) []routing.WeightedService {
	var split []routing.WeightedService
	for _, part := range o.Objects("services") {
		split = append(split, routing.NewWeightedService(part.String("name"), part.NumberOr("weight", 0, maxWeight, 1)))
		part.ReportUnknownKeys()
	}
	return split
}

// decodeTeams decodes the teams, whose keys don't appear in faults.
func decodeTeams(doc *document.Document, root *document.Object) []routing.Team {
	doc.HideValues(root.Path() + "/teams")
	var teams []routing.Team
	for _, o := range root.Objects("teams") {
		teams = append(teams, routing.NewTeam(o.String("name"), routing.DigestKeys(o.Strings("keys")), o.IntOr("rank", 0, maxRank, 0)).
			WithQuota(o.NumberOr("rate", 0, maxRate, 0), o.NumberOr("burst", 0, maxRate, 0)))
		o.ReportUnknownKeys()
	}
	return teams
}

// decodeService decodes an entry of services.
func decodeService(o *document.Object) routing.Service {
	s := routing.NewService(o.String("name"), "").
		WithMaxConnections(o.IntOr("connections", 0, maxCount, 0)).
		WithWarmUp(time.Duration(o.IntOr("cold-ms", 0, maxMillis, 0))*time.Millisecond, o.NumberOr("cold-rate", 0, maxRate, 0))
	o.ReportUnknownKeys()
	return s
}

// decodeLimits decodes the limits on requests of callers. A limit that the document
// does not set is 0, which means no limit.
func decodeLimits(root *document.Object) routing.Limits {
	if !root.Has("limits") {
		return routing.Limits{}
	}
	o := root.Object("limits")
	l := routing.NewLimits(
		o.IntOr("header-bytes", 0, maxCount, 0),
		int64(o.IntOr("body-bytes", 0, maxBodyBytes, 0)),
		time.Duration(o.IntOr("header-ms", 0, maxMillis, 0))*time.Millisecond,
		time.Duration(o.IntOr("idle-ms", 0, maxMillis, 0))*time.Millisecond,
	)
	o.ReportUnknownKeys()
	return l
}
