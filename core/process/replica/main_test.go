package replica

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that every run gives the
// same result. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		os.Exit(1)
	}
	flag.Parse()
	os.Exit(m.Run())
}
