package dispatch

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// authenticate sets the team of a request. It refuses a request that needs the key of a
// team and has none, and one whose key can't be checked because this VM does not know
// whether its configuration is the newest. The second result reports whether the request
// is refused. A table without teams refuses nothing.
func (d *Dispatcher) authenticate(table *routing.Table, _ routing.Route, _ *relay.Request, _ time.Time) (relay.Refused, bool) {
	if !table.HasTeams() {
		return relay.Refused{}, false
	}
	return relay.Refused{}, false
}
