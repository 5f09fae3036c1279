package snapshot_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/version/snapshot"
)

// holdings reads services of leafs, such as "s1,s2 s1" for two leafs of which
// the first holds two snapshots.
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
		{"nothing is known", []string{"", ""}, "", 0},
		{"all the same", []string{"s1", "s1"}, "s1", 2},
		{"the newest of equals", []string{"s1,s2", "s2,s1"}, "s2", 2},
		{"coverage goes before age", []string{"s1,s2", "s1"}, "s1", 2},
		{"coverage goes before breadth", []string{"s2 s1 s1", "s2", "s2"}, "s2", 3},
		{"leafs of one service count once", []string{"s2 s2 s2", "s1", "s1"}, "s1", 2},
		{"a service without a usable leaf", []string{"s1", ""}, "s1", 1},
		{"one leaf of three can't bear the load", []string{"s1,s2 s1 s1", "s1,s2 s1 s1"}, "s1", 2},
		{"two leafs of three can", []string{"s1,s2 s1,s2 s1", "s1,s2 s2 s1"}, "s2", 2},
		{"nothing broad is left", []string{"s1 s2 s3"}, "s3", 1},
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
