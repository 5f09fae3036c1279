package peer_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
)

func newReport() rollout.Report {
	g := rollout.NewGate(rollout.NewRecord("s", []string{"v1"}).Started(5, "v2", time.Second), 0, func(string) time.Duration { return 0 })
	g.CountResponse("route", true, 20*time.Millisecond)
	return g.Report(rollout.InFlight{}, true, 0)
}

// Guards against messages about rollouts that other processes decode differently.
func TestRolloutMessagesRoundTrip(t *testing.T) {
	for _, m := range []peer.Message{
		peer.NewRolloutReports("start", 4, rollout.Confirmation{Term: 2, Number: 3}, []rollout.Report{newReport()}).WithNeedsRelay(true).PassedOn("entry-1"),
		peer.NewRolloutGrants("start", 2, 3, 4, []rollout.Grant{rollout.NewGrant("s", 5, rollout.Closed, 6)}).Through("entry-1"),
	} {
		checkRoundTrip(t, m)
	}
}

// Versions and rollouts must arrive, and a list and routes without any must be encoded as
// by earlier versions of the program, which decode nothing else.
func TestVersionsAndRolloutsAreOptional(t *testing.T) {
	plain := discovery.NewInstance("i-1", "s-1", "10.0.0.9:8", "dc-1", 2)
	versioned := plain.WithVersion("v1")
	list := peer.NewTargetList(true, 4, time.Second, discovery.NewDifference([]discovery.Instance{versioned, plain}, []string{"i-2"}))
	decoded, err := peer.Decode(peer.Encode(list))
	assert.NilError(t, err)
	changed := decoded.(peer.TargetList).Difference().Changed()
	assert.Equal(t, changed[0], versioned)
	assert.Equal(t, changed[1], plain)
	without := peer.Encode(peer.NewTargetList(true, 4, time.Second, discovery.NewDifference([]discovery.Instance{plain, plain}, []string{"i-2"})))
	assert.Assert(t, bytes.HasPrefix(peer.Encode(list), without))

	routes := replica.NewRoutes(2, 7, []byte("{}"), []string{"dc-2"})
	record := rollout.NewRecord("s", []string{"v1"}).Started(2, "v2", time.Second)
	decoded, err = peer.Decode(peer.Encode(peer.NewPublishedRoutes(routes.WithRollouts([]rollout.Record{record}))))
	assert.NilError(t, err)
	assert.DeepEqual(t, rollout.EncodeRecords(decoded.(peer.PublishedRoutes).Routes().Rollouts()), rollout.EncodeRecords([]rollout.Record{record}))
}

func ExampleMarkJoiner() {
	founder := peer.NewPresence("vm-1", "10.0.0.1:1", "dc-1", peer.MarkStartID("a"), 0)
	joiner := peer.NewPresence("vm-1", "10.0.0.1:1", "dc-1", peer.MarkJoiner(peer.MarkStartID("a")), 0)
	fmt.Println(founder.OnlyJoins(), founder.UnderstandsOrders(), founder.UnderstandsRollouts())
	fmt.Println(joiner.OnlyJoins(), joiner.UnderstandsOrders(), joiner.UnderstandsRollouts())
	// Output:
	// false true true
	// true true true
}
