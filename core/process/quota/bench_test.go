package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/quota"
)

// BenchmarkAnswer measures the answer of an owner with 6,400 holders to an ask for three
// teams.
func BenchmarkAnswer(b *testing.B) {
	teams, _ := teamsOf(load{skew: 1.2})
	o := quota.NewOwner(1, replaySettings, quota.NoPredecessor(), at(0))
	o.SetTeams(teams, at(0))
	for n := range b.N {
		now := at(time.Duration(n) * time.Millisecond)
		asks := []quota.TeamAsk{
			quota.NewTeamAsk(teams[n%82].Name(), 0, 0, 1, 1),
			quota.NewTeamAsk(teams[(n+7)%82].Name(), 1, 0, 0, 0),
			quota.NewTeamAsk(teams[(n+30)%82].Name(), 1, 0, 0, 0),
		}
		o.Answer(fmt.Sprintf("vm-%d", n%6400), quota.NewAsk(uint64(n+1), 1, 0, asks), now)
	}
}
