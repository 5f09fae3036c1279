package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/connection/operator"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/runner/installation"
)

// changeRecorder keeps what changeRecorder were told, for the judgement.
type changeRecorder struct {
	testbed *testbed

	mu              sync.Mutex
	accepted        map[string]uint64
	versions        map[uint64]string
	inconsistencies []string
}

func newChangeRecorder(tb *testbed) *changeRecorder {
	return &changeRecorder{testbed: tb, accepted: make(map[string]uint64), versions: make(map[uint64]string)}
}

// sendChange toggles a data centre from a base version through a VM, and sends the
// sendChange again until its outcome is known.
func (rec *changeRecorder) sendChange(ctx context.Context, v *installation.VM, id string, base uint64, inService bool) operator.Outcome {
	centre := rec.testbed.inst.Configuration().DataCentres()[0].Name()
	change := operator.NewCentreChange(id, base, "runner", "scenario", centre, inService)
	client := operator.NewClient(v.OperatorsAddress())
	var outcome operator.Outcome
	for end := time.Now().Add(changeTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var err error
		outcome, err = client.Send(ctx, change)
		if err == nil && outcome.Code() != result.NoQuorum && outcome.Code() != result.ChangeUnknown {
			rec.recordOutcome(id, outcome)
			break
		}
	}
	return outcome
}

// recordOutcome remembers an outcome; one change has one version, and one version one
// change.
func (rec *changeRecorder) recordOutcome(id string, outcome operator.Outcome) {
	if outcome.Code() != result.ChangeAccepted && outcome.Code() != result.ChangeRepeated {
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if v, known := rec.accepted[id]; known && v != outcome.Version() {
		rec.inconsistencies = append(rec.inconsistencies, fmt.Sprintf("change %s has versions %d and %d", id, v, outcome.Version()))
	}
	if other, known := rec.versions[outcome.Version()]; known && other != id {
		rec.inconsistencies = append(rec.inconsistencies, fmt.Sprintf("version %d belongs to %s and %s", outcome.Version(), other, id))
	}
	rec.accepted[id] = outcome.Version()
	rec.versions[outcome.Version()] = id
}

// toggle toggles the data centre once. A VM may show a version that is a moment
// old; as an operator would, it reads again after a conflict and sends another
// change.
func (rec *changeRecorder) toggle(ctx context.Context, v *installation.VM, id string) operator.Outcome {
	var outcome operator.Outcome
	for attempt := range maxConflicts {
		version, cfg, _, err := operator.NewClient(v.OperatorsAddress()).Configuration(ctx)
		if err == nil {
			outcome = rec.sendChange(ctx, v, fmt.Sprintf("%s-try-%d", id, attempt), version, !cfg.DataCentres()[0].InService())
		}
		if err == nil && outcome.Code() != result.VersionConflict {
			break
		}
		time.Sleep(statusPollInterval)
	}
	return outcome
}

// checkAuditTrail compares what operators were told with the audit trail of the log:
// each accepted change must still be there, at its version.
func (rec *changeRecorder) checkAuditTrail(ctx context.Context) error {
	var client *operator.Client
	for _, v := range rec.testbed.inst.VMs()[:3] {
		if s, err := operator.NewClient(v.OperatorsAddress()).Status(ctx); err == nil && s.Leader() == v.Name() {
			client = operator.NewClient(v.OperatorsAddress())
		}
	}
	if client == nil {
		return errors.New("no leader to ask for the audit trail")
	}
	records, err := client.Audit(ctx)
	if err != nil {
		return err
	}
	audited := make(map[string]uint64)
	for _, r := range records {
		if r.Code() == result.ChangeAccepted {
			audited[r.ChangeID()] = r.Version()
		}
	}
	lost := 0
	for id, version := range rec.accepted {
		if audited[id] != version {
			lost++
		}
	}
	rec.testbed.atMost("accepted changes that were lost or moved", float64(lost), 0, 0)
	rec.testbed.atMost("changes or versions with two outcomes", float64(len(rec.inconsistencies)), 0, 0)
	return nil
}
