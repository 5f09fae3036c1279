package routing_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// singleServiceRoute returns a route to one service with a timeout of 1 s.
func singleServiceRoute(name, host, prefix, service string) routing.Route {
	return routing.NewRoute(name, host, prefix).WithTimeoutAndObjective(time.Second, 0).
		WithSplit([]routing.WeightedService{routing.NewWeightedService(service, 1)})
}

// newTable returns a routing table that declares the services s-1 and s-2.
func newTable(routes ...routing.Route) *routing.Table {
	return routing.NewTable(1, routes, []routing.Service{routing.NewService("s-1", ""), routing.NewService("s-2", "")}, routing.Limits{})
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	routes := newTable(
		singleServiceRoute("short", "a.example", "/x/", "s-1"),
		singleServiceRoute("long", "a.example", "/x/y/", "s-1"),
		singleServiceRoute("other", "b.example", "/x/", "s-1"),
	)
	tests := []struct {
		host, path, route string
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/1", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"c.example", "/x/1", ""},
	}
	for _, tt := range tests {
		r, ok := routes.Match(tt.host, tt.path)
		assert.Equal(t, ok, tt.route != "", "%s%s", tt.host, tt.path)
		assert.Equal(t, r.Name(), tt.route, "%s%s", tt.host, tt.path)
	}
}

func TestCheckRejectsInvalidRoutes(t *testing.T) {
	tests := []struct {
		name   string
		routes []routing.Route
		code   result.Code
	}{
		{"unknown service", []routing.Route{singleServiceRoute("r", "a", "/", "s-9")}, result.UnknownReference},
		{"unknown shard", []routing.Route{routing.NewRoute("r", "a", "/").WithTimeoutAndObjective(time.Second, 0).WithShards([]string{"s-1", "s-9"}, 1, 1)}, result.UnknownReference},
		{"same host and prefix", []routing.Route{singleServiceRoute("r", "a", "/x/", "s-1"), singleServiceRoute("q", "A", "/x/", "s-2")}, result.DuplicateName},
		{"no timeout", []routing.Route{singleServiceRoute("r", "a", "/", "s-1").WithTimeoutAndObjective(0, time.Second)}, result.LimitOutOfRange},
		{"all weights are 0", []routing.Route{singleServiceRoute("r", "a", "/", "s-1").WithSplit([]routing.WeightedService{routing.NewWeightedService("s-1", 0), routing.NewWeightedService("s-2", 0)})}, result.LimitOutOfRange},
		{"negative weight", []routing.Route{singleServiceRoute("r", "a", "/", "s-1").WithSplit([]routing.WeightedService{routing.NewWeightedService("s-1", -1), routing.NewWeightedService("s-2", 3)})}, result.LimitOutOfRange},
		{"no service", []routing.Route{routing.NewRoute("r", "a", "/").WithTimeoutAndObjective(time.Second, 0)}, result.MissingKey},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := newTable(tt.routes...).Check()
			assert.Equal(t, result.CodeOf(err), tt.code, "%v", err)
		})
	}
	assert.NilError(t, newTable(singleServiceRoute("r", "a", "/", "s-1"), singleServiceRoute("q", "a", "/x/", "s-2")).Check())
}

func TestPickFollowsWeights(t *testing.T) {
	r := routing.NewRoute("r", "a", "/").WithSplit([]routing.WeightedService{
		routing.NewWeightedService("s-1", 3), routing.NewWeightedService("s-0", 0), routing.NewWeightedService("s-2", 1),
	})
	counts := make(map[string]int)
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"s-1": 750, "s-2": 250})
	assert.Equal(t, r.Pick(1), "s-2")
}

func TestMinShards(t *testing.T) {
	tests := []struct {
		shards   int
		minRatio float64
		want     int
	}{{10, 0.89, 9}, {10, 0.75, 8}, {100, 0.89, 89}, {36, 0.95, 35}, {10, 0, 1}, {3, 1, 3}}
	for _, tt := range tests {
		r := routing.NewRoute("r", "a", "/").WithShards(make([]string, tt.shards), 1, tt.minRatio)
		assert.Equal(t, r.MinShards(), tt.want, "%g of %d", tt.minRatio, tt.shards)
	}
}

func ExampleTable_Match() {
	routes := newTable(singleServiceRoute("search", "shop.example", "/search/", "s-1"))
	r, ok := routes.Match("shop.example", "/search/shoes")
	fmt.Println(r.Name(), ok)
	// Output: search true
}

// A key that two teams hold would make it a matter of chance to which team a request
// belongs, and an empty key would admit requests without a key.
func TestCheckRejectsInvalidTeams(t *testing.T) {
	key := func(names ...string) []routing.KeyDigest { return routing.DigestKeys(names) }
	tests := []struct {
		name  string
		teams []routing.Team
		code  result.Code
	}{
		{"shared key", []routing.Team{routing.NewTeam("a", key("k-1"), 0), routing.NewTeam("b", key("k-2", "k-1"), 0)}, result.DuplicateName},
		{"key listed twice", []routing.Team{routing.NewTeam("a", key("k-1", "k-1"), 0)}, result.DuplicateName},
		{"same name", []routing.Team{routing.NewTeam("a", key("k-1"), 0), routing.NewTeam("a", key("k-2"), 0)}, result.DuplicateName},
		{"empty key", []routing.Team{routing.NewTeam("a", key(""), 0)}, result.LimitOutOfRange},
		{"negative rate", []routing.Team{routing.NewTeam("a", key("k-1"), 0).WithQuota(-1, 0)}, result.LimitOutOfRange},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, result.CodeOf(newTable().WithTeams(tt.teams).Check()), tt.code)
		})
	}
	table := newTable().WithTeams([]routing.Team{routing.NewTeam("a", key("k-1", "k-2"), 1), routing.NewTeam("b", key("k-3"), 2).WithQuota(5, 2)})
	assert.NilError(t, table.Check())
	team, ok := table.TeamOf(routing.DigestKey("k-2"))
	assert.Assert(t, ok)
	assert.Equal(t, team.Name(), "a")
	_, ok = table.TeamOf(routing.DigestKey("K-2"))
	assert.Assert(t, !ok)
	assert.Assert(t, !newTable().DeclaresTeams())
}
