package exchange

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// Guards against a choice of targets by a figure that no machine can mean, and against
// losing the load because the figure beside it is odd.
func TestSlownessFigure(t *testing.T) {
	tests := []struct {
		name   string
		header string
		factor float64
		known  bool
	}{
		{"usual", "1,2,7,100", 1, true},
		{"slow", "1,2,7,250", 2.5, true},
		{"faster than usual", "1,2,7,80", 0.8, true},
		{"a fraction", "1,2,7,112.5", 1.125, true},
		{"spaces", " 1 , 2 , 7 , 250 ", 2.5, true},
		{"further fields", "1,2,7,250,x", 2.5, true},
		{"slots not a number", "1,2,x,250", 2.5, true},
		{"the least", "1,2,7,1", 0.01, true},
		{"the highest", "1,2,7,10000", 100, true},
		{"absent", "1,2,7", 0, false},
		{"no slots", "1,2", 0, false},
		{"empty", "1,2,7,", 0, false},
		{"zero", "1,2,7,0", 0, false},
		{"negative", "1,2,7,-250", 0, false},
		{"over the highest", "1,2,7,10001", 0, false},
		{"far over the highest", "1,2,7,99999999999999999999999999", 0, false},
		{"a sign", "1,2,7,+250", 0, false},
		{"an exponent", "1,2,7,2e2", 0, false},
		{"hexadecimal", "1,2,7,0xfa", 0, false},
		{"a separator", "1,2,7,1_00", 0, false},
		{"two points", "1,2,7,1.0.0", 0, false},
		{"a point", "1,2,7,.", 0, false},
		{"not a number", "1,2,7,NaN", 0, false},
		{"infinite", "1,2,7,Inf", 0, false},
		{"a word", "1,2,7,slow", 0, false},
		{"a unit", "1,2,7,250%", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			load := parseLoad(tt.header)
			factor, known := load.Slowness()
			assert.Equal(t, known, tt.known)
			assert.Equal(t, factor, tt.factor)
			assert.Assert(t, load.Known() && load.Running() == 1 && load.Waiting() == 2)
		})
	}
}

func TestMalformedLoadIsUnknown(t *testing.T) {
	for _, header := range []string{"", "1", "x,2,7,250", "1,x,7,250", "1;2;7;250"} {
		assert.Equal(t, parseLoad(header), relay.Load{})
	}
}
