package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// Each control VM sent the whole routes to each entry VM when only the versions in use of a
// new service had been recorded, which doubled the bytes between data centres.
func TestRecordedVersionsAreNotPublishedByAllControlVMs(t *testing.T) {
	state := replica.NewState()
	state.Apply(replica.NewPublishRoutes(1, []byte("routes")))
	before := state.Routes()
	state.Apply(replica.NewRecordVersions([]replica.ServiceVersions{replica.NewServiceVersions("s-1", []string{"v1"})}))
	recorded := state.Routes()
	assert.Assert(t, recorded.Revision() > before.Revision())
	assert.Assert(t, !rolloutsDiffer(before, recorded))
	state.Apply(replica.NewStartRollout("s-1", "v2", 12*time.Second))
	assert.Assert(t, rolloutsDiffer(recorded, state.Routes()))
}
