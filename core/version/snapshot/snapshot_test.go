package snapshot_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/version/snapshot"
)

// parseServices parses one string for each service. Leafs are separated by
// spaces and the snapshots of a leaf by commas: "s1,s2 s1" is a service of two
// leafs, of which the first holds s1 and s2 and the second holds s1.
func parseServices(services ...string) []snapshot.ServiceSnapshots {
	var out []snapshot.ServiceSnapshots
	for _, s := range services {
		var leafs [][]string
		for _, leaf := range strings.Fields(s) {
			leafs = append(leafs, strings.Split(leaf, ","))
		}
		out = append(out, snapshot.NewServiceSnapshots(leafs))
	}
	return out
}

func TestChoose(t *testing.T) {
	tests := []struct {
		name         string
		services     []string
		want         string
		serviceCount int
	}{
		{"no leaf holds a snapshot", []string{"", ""}, "", 0},
		{"every service holds the same snapshot", []string{"s1", "s1"}, "s1", 2},
		{"newest of equally covered snapshots", []string{"s1,s2", "s2,s1"}, "s2", 2},
		{"coverage takes precedence over age", []string{"s1,s2", "s1"}, "s1", 2},
		{"coverage takes precedence over the share of leafs", []string{"s2 s1 s1", "s2", "s2"}, "s2", 3},
		{"several leafs of a service count as one service", []string{"s2 s2 s2", "s1", "s1"}, "s1", 2},
		{"service without a usable leaf", []string{"s1", ""}, "s1", 1},
		{"newer snapshot held by one leaf of three", []string{"s1,s2 s1 s1", "s1,s2 s1 s1"}, "s1", 2},
		{"newer snapshot held by two leafs of three", []string{"s1,s2 s1,s2 s1", "s1,s2 s2 s1"}, "s2", 2},
		{"no snapshot held by half of the leafs", []string{"s1 s2 s3"}, "s3", 1},
	}
	for _, tt := range tests {
		name, serviceCount := snapshot.Choose(parseServices(tt.services...))
		assert.Equal(t, name, tt.want, tt.name)
		assert.Equal(t, serviceCount, tt.serviceCount, tt.name)
	}
}

func ExampleChoose() {
	name, serviceCount := snapshot.Choose([]snapshot.ServiceSnapshots{
		snapshot.NewServiceSnapshots([][]string{{"s1", "s2"}, {"s1"}}),
		snapshot.NewServiceSnapshots([][]string{{"s1"}}),
	})
	fmt.Println(name, serviceCount)
	// Output: s1 2
}

// A leaf that lists a snapshot twice must not count as two services.
func TestRepeatedNameCountsOnce(t *testing.T) {
	repeating := snapshot.NewServiceSnapshots([][]string{{"s1", "s2", "s2"}})
	other := snapshot.NewServiceSnapshots([][]string{{"s1"}})
	name, services := snapshot.Choose([]snapshot.ServiceSnapshots{repeating, other})
	assert.Equal(t, name, "s1")
	assert.Equal(t, services, 2)
}
