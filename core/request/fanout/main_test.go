package fanout_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, so that every run draws the same
// sequences. The flag -rapid.seed selects another seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		os.Exit(1)
	}
	flag.Parse()
	os.Exit(m.Run())
}
