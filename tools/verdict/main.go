// Command verdict reads go test -json from standard input. It prints a line for
// each package, the output of failed tests and the counts. Failures listed in
// KNOWN-RED.txt are printed, but do not fail the command.
package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/teaselrack/teaselrack/tools/results"
)

type options struct {
	Known string `long:"known" default:"KNOWN-RED.txt" description:"list of known failures"`
	Save  string `long:"save" description:"file that keeps the events for other tools"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	failed, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(1)
	}
	if failed {
		os.Exit(1)
	}
}

func run(o options) (failed bool, err error) {
	known, err := results.ReadKnownFailures(o.Known)
	if err != nil {
		return true, err
	}
	input := io.Reader(os.Stdin)
	if o.Save != "" {
		file, err := os.Create(o.Save)
		if err != nil {
			return true, err
		}
		defer func() { _ = file.Close() }()
		input = io.TeeReader(input, file)
	}
	res, err := results.Read(input, func(line string) { fmt.Println(line) })
	if err != nil {
		return true, err
	}
	return report(res, known), nil
}

// report prints the outcomes and returns whether anything other than known
// failures failed.
func report(res *results.Results, known []results.KnownFailure) bool {
	counts := make(map[string]int)
	newFailure := false
	for _, name := range sortedNames(res.Tests) {
		outcome := res.Tests[name]
		counts[outcome]++
		if outcome != results.Fail {
			continue
		}
		fmt.Printf("--- FAIL %s %s\n%s", name.Package, name.Test, res.Output(name))
		if entry := knownFailureEntry(name, known); entry != "" {
			fmt.Println("known failure:", entry)
			counts[results.Fail]--
			counts["known"]++
			continue
		}
		newFailure = true
	}
	packageFailed := printPackages(res)
	for _, k := range known {
		if hasPassed(res, k.Test) {
			fmt.Println("listed as a known failure, but passed:", k.Test)
		}
	}
	if counts["known"] > 0 {
		fmt.Printf("%d known failures tolerated\n", counts["known"])
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", counts[results.Pass], counts[results.Fail], counts[results.Skip])
	return newFailure || packageFailed
}

// printPackages prints a line for each package, and returns whether one failed
// without a failed test: it did not build, panicked or timed out.
func printPackages(res *results.Results) bool {
	failed := false
	for _, p := range slices.Sorted(maps.Keys(res.Packages)) {
		outcome := res.Packages[p]
		if outcome == results.Skip {
			continue
		}
		fmt.Printf("%-4s %s\n", outcome, p)
		if outcome == results.Fail && !hasFailedTest(res, p) {
			fmt.Print(res.Output(results.Name{Package: p}))
			failed = true
		}
	}
	return failed
}

func hasFailedTest(res *results.Results, p string) bool {
	for name, outcome := range res.Tests {
		if name.Package == p && outcome == results.Fail {
			return true
		}
	}
	return false
}

// knownFailureEntry returns the entry for a failed test: an entry for the test
// itself, its top-level test or one of its subtests. It returns "" if there is
// none.
func knownFailureEntry(name results.Name, known []results.KnownFailure) string {
	for _, k := range known {
		if k.Test == name.Test || k.Test == name.Top().Test || strings.HasPrefix(k.Test, name.Test+"/") {
			return k.Text
		}
	}
	return ""
}

// hasPassed reports whether a test with this name passed in any package.
func hasPassed(res *results.Results, test string) bool {
	for name, outcome := range res.Tests {
		if name.Test == test && outcome == results.Pass {
			return true
		}
	}
	return false
}

func sortedNames(tests map[results.Name]string) []results.Name {
	return slices.SortedFunc(maps.Keys(tests), func(a, b results.Name) int {
		if c := strings.Compare(a.Package, b.Package); c != 0 {
			return c
		}
		return strings.Compare(a.Test, b.Test)
	})
}
