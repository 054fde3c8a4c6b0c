package registry

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// fixed makes every run draw the same cases; flags replace it.
var fixed = map[string]string{
	"rapid.seed":       "20260",
	"rapid.checks":     "200",
	"rapid.nofailfile": "true",
}

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range fixed {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value, "rapid.checks", flag.Lookup("rapid.checks").Value)
	os.Exit(m.Run())
}
