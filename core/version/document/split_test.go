package document

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// An element that costs much to look through must not keep a VM busy for long: without a
// bound, each of the 500,000 places in these where an object begins is followed through up to
// 256 levels, or to the end.
func TestLookingForElementsIsBounded(t *testing.T) {
	const size = 4 << 20
	for _, part := range []string{`[0,{"x":`, `{"x":[],"y":[`, `{"x":"`, `]`, `,{`, `,{"x":[{},{}],"y":1`, `{"x":1},`} {
		text := `{"list":[{"id":"a"},` + strings.Repeat(part, size/len(part)) + `,{"id":"b"}],"next":"n"}`
		s := newSplitter([]byte(text), false)
		assert.Equal(t, s.work, splitWorkFactor*len(text)+splitWorkBytes)
		// A bound that each of the texts but the cheapest exceeds.
		bound := 3 * len(text)
		s.work = bound
		_, _ = s.split("list")
		// What is read last may go beyond the bound.
		assert.Assert(t, s.work >= -2*len(text), "%q: %d bytes read, the bound is %d", part, bound-s.work, bound)
	}
}
