package control

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// firstStartPeers has the statuses of the other seeds in a first start.
type firstStartPeers struct{ statuses map[string]PeerStatus }

func (*firstStartPeers) SendEnvelope(string, []byte)           {}
func (p *firstStartPeers) PeerStatuses() map[string]PeerStatus { return p.statuses }
func (*firstStartPeers) MayBootstrap() bool                    { return true }

// A second log would be the loss of the first one. A VM that takes the place of a lower one
// must not bootstrap before each of the others has said for long enough that it has no log,
// and must begin anew after it stood still, since what it has heard may then be old.
func TestOnlyAPatientSubstituteBootstraps(t *testing.T) {
	joiner := NewPeerStatus("lower", false).WithOnlyJoins(true)
	founder := NewPeerStatus("lower", false)
	higher := NewPeerStatus("higher", false)
	tests := []struct {
		name   string
		lower  PeerStatus
		higher PeerStatus
		// gap is the time between two looks at the others, for as long as lasts.
		gap   time.Duration
		lasts time.Duration
		want  bool
	}{
		{"the lower one only joins", joiner, higher, joinInterval, substituteDelay + time.Second, true},
		{"too early", joiner, higher, joinInterval, substituteDelay - time.Second, false},
		{"the lower one may bootstrap", founder, higher, joinInterval, time.Hour, false},
		{"the lower one is not heard", PeerStatus{}, higher, joinInterval, time.Hour, false},
		{"another one is not heard", joiner, PeerStatus{}, joinInterval, time.Hour, false},
		{"another one has a log", joiner, NewPeerStatus("higher", true), joinInterval, time.Hour, false},
		{"the lower one has a log", NewPeerStatus("lower", true).WithOnlyJoins(true), higher, joinInterval, time.Hour, false},
		{"this VM stands still again and again", joiner, higher, substituteDelay, time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			held := &heldClock{at: bootclock.Now()}
			peers := &firstStartPeers{statuses: map[string]PeerStatus{"vm-1": tt.lower, "vm-3": tt.higher}}
			c, err := Open(t.TempDir(), "vm-2", nil, 3, peers, peers, zap.NewNop(), held.now())
			assert.NilError(t, err)
			for elapsed := time.Duration(0); elapsed < tt.lasts; elapsed += tt.gap {
				held.advance(tt.gap)
				c.bootstrapOrJoin(held.now())
			}
			assert.Equal(t, c.node.Bootstrapped(), tt.want)
			if tt.want {
				assert.DeepEqual(t, c.node.Voters().Members()[0].VM(), "vm-1")
				assert.Assert(t, c.node.Voters().Has(replica.ID("lower")))
			}
		})
	}
}
