package audit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/result"
)

func TestTrailKeepsLatestRecords(t *testing.T) {
	trail := &audit.Trail{}
	for i := range uint64(30_000) {
		trail.Add(audit.NewRecord(time.Unix(1, 0), fmt.Sprint(i), "a", "r", i, i+1, result.ChangeAccepted, nil))
	}
	records := trail.Records()
	assert.Equal(t, len(records), 5000)
	assert.Equal(t, records[len(records)-1].Version(), uint64(30_000))
}

func ExampleAcceptedAfter() {
	trail := &audit.Trail{}
	at := time.Unix(1, 0)
	trail.Add(audit.NewRecord(at, "c-1", "anna", "power work", 1, 2, result.ChangeAccepted, []string{"~ data-centre oulu-1"}))
	trail.Add(audit.NewRecord(at, "c-2", "bert", "new route", 1, 2, result.VersionConflict, nil))
	for _, r := range audit.AcceptedAfter(trail.Records(), 1) {
		fmt.Println(r.Version(), r.Author(), r.Reason())
	}
	// Output: 2 anna power work
}
