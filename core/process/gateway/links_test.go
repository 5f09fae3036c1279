package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a log line four times a second, and against none when a link has changed.
func TestLinkTimesAreLoggedWhenTheyChange(t *testing.T) {
	var l linkLog
	for _, step := range []struct {
		ms     int
		logged bool
	}{{9, true}, {10, false}, {13, false}, {14, true}, {9, true}, {9, false}, {7, false}, {5, true}} {
		times := map[string]time.Duration{"dc-2": time.Duration(step.ms) * time.Millisecond}
		assert.Equal(t, len(l.changes(times)) == 1, step.logged, "%d ms", step.ms)
	}
}
