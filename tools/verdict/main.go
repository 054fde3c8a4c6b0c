// Command verdict reads go test -json from standard input, prints a line for
// each package and the output of failed tests, and ends with the counts. It
// passes over the failures that KNOWN-RED.txt lists, and prints them.
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
	failed, err := judge(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(1)
	}
	if failed {
		os.Exit(1)
	}
}

func judge(o options) (failed bool, err error) {
	known, err := results.ReadKnown(o.Known)
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

// report prints the outcome and returns whether anything but known failures
// failed.
func report(res *results.Results, known []results.Known) bool {
	counts := make(map[string]int)
	unknown := false
	for _, name := range sorted(res.Tests) {
		outcome := res.Tests[name]
		counts[outcome]++
		if outcome != results.Fail {
			continue
		}
		fmt.Printf("--- FAIL %s %s\n%s", name.Package, name.Test, res.Output(name))
		if entry := entryOf(name, known); entry != "" {
			fmt.Println("known failure:", entry)
			counts[results.Fail]--
			counts["known"]++
			continue
		}
		unknown = true
	}
	broken := printPackages(res)
	for _, k := range known {
		if passed(res, k.Test) {
			fmt.Println("listed as a known failure, but passed:", k.Test)
		}
	}
	if counts["known"] > 0 {
		fmt.Printf("%d known failures passed over\n", counts["known"])
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", counts[results.Pass], counts[results.Fail], counts[results.Skip])
	return unknown || broken
}

// printPackages prints a line for each package, and returns whether one failed
// without a failed test: it did not build, panicked or ran out of time.
func printPackages(res *results.Results) bool {
	broken := false
	for _, p := range slices.Sorted(maps.Keys(res.Packages)) {
		outcome := res.Packages[p]
		if outcome == results.Skip {
			continue
		}
		fmt.Printf("%-4s %s\n", outcome, p)
		if outcome == results.Fail && !hasFailedTest(res, p) {
			fmt.Print(res.Output(results.Name{Package: p}))
			broken = true
		}
	}
	return broken
}

func hasFailedTest(res *results.Results, p string) bool {
	for name, outcome := range res.Tests {
		if name.Package == p && outcome == results.Fail {
			return true
		}
	}
	return false
}

// entryOf returns the entry that covers a failed test: its own, or that of the
// test it is part of, or of one of its subtests.
func entryOf(name results.Name, known []results.Known) string {
	for _, k := range known {
		if k.Test == name.Test || k.Test == name.Top().Test || strings.HasPrefix(k.Test, name.Test+"/") {
			return k.Text
		}
	}
	return ""
}

func passed(res *results.Results, test string) bool {
	for name, outcome := range res.Tests {
		if name.Test == test && outcome == results.Pass {
			return true
		}
	}
	return false
}

func sorted(tests map[results.Name]string) []results.Name {
	return slices.SortedFunc(maps.Keys(tests), func(a, b results.Name) int {
		if c := strings.Compare(a.Package, b.Package); c != 0 {
			return c
		}
		return strings.Compare(a.Test, b.Test)
	})
}
