package gateway

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/intake"
)

// Refusals must be counted and explained, without a line for each request of a flood.
func TestRefusalLinesAreBounded(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	telemetry := NewTelemetry(zap.New(core))
	now := time.Now()
	for n := range 100 {
		telemetry.recordOverCapacity("req-1", 262144, now.Add(time.Duration(n)*time.Millisecond))
	}
	assert.Equal(t, lines.Len(), maxRefusalLines)
	telemetry.recordOverCapacity("req-2", 262144, now.Add(refusalPeriod))
	assert.Equal(t, lines.Len(), maxRefusalLines+1)
	assert.Equal(t, lines.All()[maxRefusalLines].ContextMap()["id"], "req-2")
	assert.Equal(t, telemetry.scope.Snapshot().Counters()["mulberrydale.answers.over-capacity+"].Value(), int64(101))
	telemetry.RecordIntake("callers", intake.Counts{}, 3, 100)
	assert.Equal(t, lines.All()[lines.Len()-1].ContextMap()["listener"], "callers")
}
