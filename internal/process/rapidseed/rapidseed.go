// Package rapidseed makes the property tests of a package generate the same cases
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

// defaultFlags holds the values of the rapid flags that Main sets.
var defaultFlags = map[string]string{
	"rapid.seed":       "20260",
	"rapid.checks":     "1000",
	"rapid.nofailfile": "true",
}

// Main sets the seed and the number of checks, prints both and runs the tests of
// m. Flags on the command line take precedence. Main exits the process, so a
// TestMain calls it last.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range defaultFlags {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value, "rapid.checks", flag.Lookup("rapid.checks").Value)
	os.Exit(m.Run())
}
