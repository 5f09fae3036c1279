package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// For any versions in any order, the highest version becomes the active one,
// and the revision rises exactly when the routes change.
func TestHighestRoutesVersionWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewState()
		highest := uint64(0)
		highestDocument := ""
		expectedOut := make(map[string]bool)
		for range rapid.IntRange(1, 40).Draw(rt, "commands") {
			before := s.Routes()
			if rapid.Bool().Draw(rt, "publish") {
				version := rapid.Uint64Range(1, 12).Draw(rt, "version")
				document := fmt.Sprintf("%d-%d", version, rapid.IntRange(0, 9).Draw(rt, "content"))
				if version > highest {
					highest, highestDocument = version, document
				}
				s.Apply(NewPublishRoutes(version, []byte(document)))
			} else {
				dataCentre := rapid.SampledFrom([]string{"dc-1", "dc-2", "dc-3"}).Draw(rt, "centre")
				outOfService := rapid.Bool().Draw(rt, "out")
				delete(expectedOut, dataCentre)
				if outOfService {
					expectedOut[dataCentre] = true
				}
				s.Apply(NewSetOutOfService(dataCentre, outOfService))
			}
			after := s.Routes()
			assert.Equal(rt, after.Version(), highest)
			assert.Equal(rt, string(after.Document()), highestDocument)
			assert.Equal(rt, len(after.OutOfService()), len(expectedOut))
			changed := fmt.Sprint(before.version, before.outOfService) != fmt.Sprint(after.version, after.outOfService)
			assert.Equal(rt, after.Revision() > before.Revision(), changed)
			decoded, err := DecodeState(s.Encode())
			assert.NilError(rt, err)
			assert.Equal(rt, fmt.Sprint(decoded.Routes()), fmt.Sprint(after))
		}
	})
}

func TestRoutesCommandRoundTrip(t *testing.T) {
	for _, c := range []Command{NewPublishRoutes(7, []byte("{}")), NewSetOutOfService("dc-1", true), NewSetOutOfService("dc-1", false)} {
		decodedCommand, err := DecodeCommand(EncodeCommand(c))
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(decodedCommand), fmt.Sprint(c))
		outcome := NewState().Apply(c)
		decodedOutcome, err := DecodeOutcome(EncodeOutcome(outcome))
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(decodedOutcome), fmt.Sprint(outcome))
	}
}
