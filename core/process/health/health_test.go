package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestVerdictOfFindings(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	type finding struct {
		unhealthy bool
		ms        int
	}
	tests := []struct {
		name       string
		findings   []finding
		unhealthy  bool
		conclusive bool
	}{
		{"nothing", nil, false, false},
		{"one late response", []finding{{true, 0}}, false, false},
		{"one pause that delays many requests", []finding{{true, 0}, {true, 5}, {true, 9}, {true, 0}}, false, false},
		{"slow repeatedly", []finding{{true, 0}, {true, 90}, {true, 200}}, true, true},
		{"a pause every three seconds", []finding{{true, 0}, {true, 3000}, {true, 6000}}, false, false},
		{"good for long enough", []finding{{true, 0}, {true, 200}, {false, 300}, {false, 900}}, false, true},
		{"one good response from a target that rejects half", []finding{{true, 0}, {true, 200}, {false, 300}}, true, true},
		{"alternating good and bad responses", []finding{{true, 0}, {false, 50}, {true, 100}, {false, 150}, {true, 200}, {false, 250}}, true, true},
		{"slow after a good response", []finding{{true, 0}, {true, 200}, {false, 300}, {true, 400}, {true, 600}}, true, true},
		{"one late response after a good one", []finding{{false, 300}, {true, 400}}, false, false},
		{"an old finding arrives late", []finding{{true, 0}, {true, 200}, {false, 900}, {true, 100}}, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var o observations
			for _, f := range tt.findings {
				o.addFinding(f.unhealthy, start.Add(time.Duration(f.ms)*time.Millisecond))
			}
			unhealthy, _, conclusive := o.verdict()
			assert.Equal(t, conclusive, tt.conclusive)
			assert.Equal(t, unhealthy, tt.unhealthy)
		})
	}
}
