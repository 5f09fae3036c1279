package snapshot_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/version/snapshot"
)

func TestChoose(t *testing.T) {
	tests := []struct {
		name     string
		services [][]string
		want     string
		servable int
	}{
		{"nothing is known", [][]string{nil, nil}, "", 0},
		{"all the same", [][]string{{"s1"}, {"s1"}}, "s1", 2},
		{"the newest of equals", [][]string{{"s1", "s2"}, {"s2", "s1"}}, "s2", 2},
		{"coverage goes before age", [][]string{{"s1", "s2"}, {"s1"}}, "s1", 2},
		{"leafs of one service count once", [][]string{{"s2", "s2", "s2"}, {"s1"}, {"s1"}}, "s1", 2},
		{"a service without a usable leaf", [][]string{{"s1"}, nil}, "s1", 1},
	}
	for _, tt := range tests {
		var holdings []snapshot.Holdings
		for _, held := range tt.services {
			holdings = append(holdings, snapshot.NewHoldings(held))
		}
		name, servable := snapshot.Choose(holdings)
		assert.Equal(t, name, tt.want, tt.name)
		assert.Equal(t, servable, tt.servable, tt.name)
	}
}

func ExampleChoose() {
	name, servable := snapshot.Choose([]snapshot.Holdings{
		snapshot.NewHoldings([]string{"s1", "s2"}),
		snapshot.NewHoldings([]string{"s1"}),
	})
	fmt.Println(name, servable)
	// Output: s1 2
}
