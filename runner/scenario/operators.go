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

// changeRecorder sends changes as operators do and records the outcomes, which
// checkAuditTrail compares with the audit trail. accepted maps the id of each
// accepted change to its version, and changeIDs maps each of these versions to
// the id. inconsistencies describes contradictory outcomes.
type changeRecorder struct {
	testbed *testbed

	mu              sync.Mutex
	accepted        map[string]uint64
	changeIDs       map[uint64]string
	inconsistencies []string
}

func newChangeRecorder(tb *testbed) *changeRecorder {
	return &changeRecorder{testbed: tb, accepted: make(map[string]uint64), changeIDs: make(map[uint64]string)}
}

// sendChange sends a VM a change, with the given id and base version, that sets
// whether the first data centre is in service. It repeats the change until its
// outcome is known or changeTimeout has passed, and returns the last outcome.
func (rec *changeRecorder) sendChange(ctx context.Context, v *installation.VM, id string, base uint64, inService bool) operator.Outcome {
	centre := rec.testbed.inst.Configuration().DataCentres()[0].Name()
	change := operator.NewDataCentreChange(id, base, "runner", "scenario", centre, inService)
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

// recordOutcome stores the version of an accepted change. A second version of a
// change, or a second change of a version, is recorded as an inconsistency.
func (rec *changeRecorder) recordOutcome(id string, outcome operator.Outcome) {
	if outcome.Code() != result.ChangeAccepted && outcome.Code() != result.ChangeRepeated {
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if v, known := rec.accepted[id]; known && v != outcome.Version() {
		rec.inconsistencies = append(rec.inconsistencies, fmt.Sprintf("change %s was accepted at versions %d and %d", id, v, outcome.Version()))
	}
	if other, known := rec.changeIDs[outcome.Version()]; known && other != id {
		rec.inconsistencies = append(rec.inconsistencies, fmt.Sprintf("version %d was reported for changes %s and %s", outcome.Version(), other, id))
	}
	rec.accepted[id] = outcome.Version()
	rec.changeIDs[outcome.Version()] = id
}

// toggle takes the first data centre out of service or puts it back. The
// version that a VM reports may be slightly outdated; after a conflict or a
// failed read, toggle reads the configuration again and sends a new change, as
// an operator would. It returns the last outcome, which after maxConflicts
// attempts may still be a conflict, or the zero outcome if every read failed.
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

// checkAuditTrail compares the recorded outcomes with the audit trail of the
// leader: each accepted change must be there at its version. It also adds the
// number of inconsistencies to the measurements.
func (rec *changeRecorder) checkAuditTrail(ctx context.Context) error {
	var client *operator.Client
	for _, v := range rec.testbed.inst.VMs()[:3] {
		if s, err := operator.NewClient(v.OperatorsAddress()).Status(ctx); err == nil && s.Leader() == v.Name() {
			client = operator.NewClient(v.OperatorsAddress())
		}
	}
	if client == nil {
		return errors.New("audit trail: no control VM reports itself as leader")
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
