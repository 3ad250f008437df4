package once

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that runs are
// reproducible; -rapid.seed and -rapid.checks on the command line override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
