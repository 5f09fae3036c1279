package declaration_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
	"github.com/mulberrydale/mulberrydale/declaration"
)

func declare() *declaration.Declaration {
	d := declaration.New("example", 3)
	d.DataCentre("oulu-1", "pohjois-suomi")
	s := d.Service("tilaajat-01", declaration.NewLimits(2, 25, 6*time.Millisecond, 30))
	s.Leaf("tilaajat-01-01", "oulu-1", "127.0.0.1:21001")
	d.Query("tilaajat", "Every subscriber on a route.", 260*time.Millisecond, s)
	d.NonIdempotentRequest("uusintajakelu", "Never two carriers.", time.Second, s, time.Hour)
	return d
}

func TestPrintIsDeterministicAndDecodable(t *testing.T) {
	var first, second bytes.Buffer
	assert.NilError(t, declare().Print(&first))
	assert.NilError(t, declare().Print(&second))
	assert.Assert(t, bytes.Equal(first.Bytes(), second.Bytes()))
	cfg, err := configuration.Decode(first.Bytes())
	assert.NilError(t, err)
	assert.Equal(t, len(configuration.Diff(cfg, declare().Configuration())), 0)
}

func TestPrintWritesNothingForInvalidDeclaration(t *testing.T) {
	d := declare()
	d.Service("empty", declaration.NewLimits(0, 25, 0, 30))
	var out bytes.Buffer
	err := d.Print(&out)
	assert.Equal(t, result.CodeOf(err), result.LimitOutOfRange)
	assert.Equal(t, out.Len(), 0)
}

func Example() {
	d := declaration.New("example", 3)
	d.DataCentre("oulu-1", "pohjois-suomi")
	s := d.Service("tilaajat-01", declaration.NewLimits(2, 25, 6*time.Millisecond, 30))
	s.Leaf("tilaajat-01-01", "oulu-1", "127.0.0.1:21001")
	d.Query("tilaajat", "Every subscriber on a route.", 260*time.Millisecond, s)
	_ = d.Print(os.Stdout)
	// Output:
	// {
	//   "format": 1,
	//   "operator": "example",
	//   // Shares of connections and of cold capacity divide by this number.
	//   "most-entry-vms": 3,
	//   "data-centres": [
	//     {"name": "oulu-1", "region": "pohjois-suomi", "in-service": true},
	//   ],
	//   "services": [
	//     {
	//       "name": "tilaajat-01",
	//       "slots-per-leaf": 2,
	//       "connections-per-leaf": 25,
	//       "connection-cost-ms": 6,
	//       "cold-capacity-per-second": 30,
	//       "warm-up-seconds": 10,
	//       "reports-load": true,
	//       "leafs": [
	//         {"name": "tilaajat-01-01", "data-centre": "oulu-1", "address": "127.0.0.1:21001"},
	//       ],
	//     },
	//   ],
	//   "queries": [
	//     // Every subscriber on a route.
	//     {"name": "tilaajat", "deadline-ms": 260, "services": ["tilaajat-01"]},
	//   ],
	//   "non-idempotent-requests": [
	//   ],
	// }
}

// Whatever Print writes, mulberryctl apply must accept.
func TestPrintRejectsWhatDecodeRejects(t *testing.T) {
	tests := []struct {
		name  string
		limit declaration.Limits
	}{
		{"too many slots", declaration.NewLimits(100_001, 25, 0, 30)},
		{"a negative connection cost", declaration.NewLimits(2, 25, -time.Second, 30)},
		{"a warm-up of two hours", declaration.NewLimits(2, 25, 0, 30).WithWarmUp(2 * time.Hour)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := declare()
			d.Service("second", tt.limit).Leaf("second-01", "oulu-1", "127.0.0.1:21002")
			var out bytes.Buffer
			err := d.Print(&out)
			assert.Equal(t, result.CodeOf(err), result.LimitOutOfRange, "%v", err)
			assert.Equal(t, out.Len(), 0)
		})
	}
}
