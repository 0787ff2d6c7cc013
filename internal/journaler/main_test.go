package journaler_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run tests the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
