package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The backoff must go on growing while dials time out, which takes as long as the
// longest delay, and start again after a connection that worked.
func TestRedialDelay(t *testing.T) {
	tests := []struct {
		name               string
		last, connectedFor time.Duration
		want               time.Duration
	}{
		{"first failure", 0, 0, minRedialDelay},
		{"second failure", minRedialDelay, 0, 2 * minRedialDelay},
		{"at the longest delay", maxRedialDelay, 0, maxRedialDelay},
		{"closed soon after it was opened", 200 * time.Millisecond, time.Millisecond, 400 * time.Millisecond},
		{"lost after it worked", maxRedialDelay, time.Minute, minRedialDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, redialDelay(tt.last, tt.connectedFor), tt.want)
		})
	}
}
