package share_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/version/share"
)

// If there are more VMs than connections, each VM still gets one and the limit
// is exceeded; the test leaves this case out.
func TestConnectionsNeverExceedLeafLimit(t *testing.T) {
	for limit := 1; limit <= 100; limit++ {
		for vms := 1; vms <= limit; vms++ {
			assert.Assert(t, share.Connections(limit, vms)*vms <= limit)
		}
	}
}

func ExampleConnections() {
	fmt.Println(share.Connections(25, 9), share.ColdRate(30, 9) < 3.4)
	// Output: 2 true
}
