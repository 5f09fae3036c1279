package vm

import (
	"context"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/platform"
)

// platformPollInterval is the time between two requests for the platform's list of
// machines.
const platformPollInterval = time.Second

// platformLoop polls the platform's list of machines. A failed request is ignored,
// since the next one follows after platformPollInterval.
type platformLoop struct{ vm *VM }

func (l *platformLoop) run(ctx context.Context) {
	client := platform.New(l.vm.settings.PlatformAddress())
	ticker := time.NewTicker(platformPollInterval)
	defer ticker.Stop()
	for {
		machines, err := client.ListMachines(ctx)
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

// markLeavingTargets marks the targets that the platform is about to remove as
// leaving. The list lags behind, so a machine that it shows as live does not undo
// the mark; only a new start id of the target does. The empty start id passed to
// MarkLeaving stands for the present run of the target.
func (v *VM) markLeavingTargets(machines []platform.Machine, now time.Time) {
	for _, m := range machines {
		if t := v.table.Find(m.Name()); t != nil && m.Leaving() {
			t.MarkLeaving("", now)
		}
	}
}
