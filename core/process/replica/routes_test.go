package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Whatever versions arrive in whatever order, the highest one wins, and the
// revision rises only with a change.
func TestTheHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewState()
		highest := uint64(0)
		content := ""
		out := make(map[string]bool)
		for range rapid.IntRange(1, 40).Draw(rt, "commands") {
			before := s.Routes()
			if rapid.Bool().Draw(rt, "publish") {
				version := rapid.Uint64Range(1, 12).Draw(rt, "version")
				text := fmt.Sprintf("%d-%d", version, rapid.IntRange(0, 9).Draw(rt, "content"))
				if version > highest {
					highest, content = version, text
				}
				s.Apply(NewPublishRoutes(version, []byte(text)))
			} else {
				centre := rapid.SampledFrom([]string{"dc-1", "dc-2", "dc-3"}).Draw(rt, "centre")
				gone := rapid.Bool().Draw(rt, "out")
				delete(out, centre)
				if gone {
					out[centre] = true
				}
				s.Apply(NewSetOutOfService(centre, gone))
			}
			after := s.Routes()
			assert.Equal(rt, after.Version(), highest)
			assert.Equal(rt, string(after.Document()), content)
			assert.Equal(rt, len(after.OutOfService()), len(out))
			changed := fmt.Sprint(before.version, before.out) != fmt.Sprint(after.version, after.out)
			assert.Equal(rt, after.Revision() > before.Revision(), changed)
			again, err := DecodeState(s.Encode())
			assert.NilError(rt, err)
			assert.Equal(rt, fmt.Sprint(again.Routes()), fmt.Sprint(after))
		}
	})
}

func TestCommandsOfRoutesComeBack(t *testing.T) {
	for _, c := range []Command{NewPublishRoutes(7, []byte("{}")), NewSetOutOfService("dc-1", true), NewSetOutOfService("dc-1", false)} {
		again, err := DecodeCommand(EncodeCommand(c))
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(again), fmt.Sprint(c))
		outcome := NewState().Apply(c)
		decoded, err := DecodeOutcome(EncodeOutcome(outcome))
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(decoded), fmt.Sprint(outcome))
	}
}
