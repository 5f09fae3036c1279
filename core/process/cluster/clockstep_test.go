package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/clockstep"
	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/control"
)

// Guards against a control VM that takes all others for dead, as long as it lives, because
// the time of day was set after its process had started: it then never joins the log, and the
// next lost disk leaves no majority.
func TestPeersAreAliveAfterAStepOfTheTimeOfDay(t *testing.T) {
	const address = "10.0.0.1:1"
	for _, seconds := range []int64{-7200, -3, 3, 7200} {
		presence := peer.NewPresence("vm-1", address, "dc-1", "start-1", 1).WithReplica("r-1", true, "")
		state := &peerState{identified: true, presence: presence, lastSeen: clockstep.Step(time.Now(), seconds)}
		c := &Cluster{seeds: []string{address}, sessions: map[*session.Session]*peerState{{}: state}}
		assert.Equal(t, c.PeerStatuses()[address], control.NewPeerStatus("r-1", true), "step of %d s", seconds)
	}
}
