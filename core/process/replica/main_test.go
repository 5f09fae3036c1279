package replica

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the drawn sequences, so that every run has the
// same verdict; another one is given by -rapid.seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		os.Exit(1)
	}
	flag.Parse()
	os.Exit(m.Run())
}
