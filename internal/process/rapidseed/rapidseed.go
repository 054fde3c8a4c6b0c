// Package rapidseed makes the property tests of a package draw the same cases
// in every run. Only tests import it.
package rapidseed

import (
	"flag"
	"fmt"
	"os"
	"testing"

	// The import registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

// fixed holds the flags of rapid that Main sets.
var fixed = map[string]string{
	"rapid.seed":       "20260",
	"rapid.checks":     "1000",
	"rapid.nofailfile": "true",
}

// Main fixes the seed and the number of checks, prints both and runs the tests
// of m; a flag on the command line replaces the fixed value. It ends the
// process, so a TestMain calls it last.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range fixed {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value, "rapid.checks", flag.Lookup("rapid.checks").Value)
	os.Exit(m.Run())
}
