package vm

import (
	"context"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/platform"
)

// platformPollInterval is the time between two looks at the platform's list.
const platformPollInterval = time.Second

// platformLoop follows the platform's list of machines.
type platformLoop struct{ vm *VM }

func (l *platformLoop) run(ctx context.Context) {
	client := platform.New(l.vm.settings.PlatformAddress())
	ticker := time.NewTicker(platformPollInterval)
	defer ticker.Stop()
	for {
		machines, err := client.List(ctx)
		if err == nil {
			l.vm.markLeavingTargets(machines, time.Now())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// markLeavingTargets marks targets as leaving that the platform is about to take. The
// list lags, so it never brings one back; a new start id does.
func (v *VM) markLeavingTargets(machines []platform.Machine, now time.Time) {
	for _, m := range machines {
		if t := v.table.Find(m.Name()); t != nil && m.Leaving() {
			t.Leave("", now)
		}
	}
}
