// Command proof checks docs/PROOF.md against the results of a test run, and
// prints each row of the page with the outcomes of its tests.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/teaselrack/teaselrack/tools/results"
)

type options struct {
	Page    string   `long:"page" default:"docs/PROOF.md" description:"the page of proofs"`
	Results []string `long:"results" required:"true" description:"events of go test -json; may be given more than once"`
	Quiet   bool     `long:"quiet" description:"print only what does not fit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	problems, err := check(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "proof:", err)
		os.Exit(1)
	}
	for _, p := range problems {
		fmt.Println("proof:", p)
	}
	if len(problems) > 0 {
		os.Exit(1)
	}
}

// check returns the discrepancies between the page and the results.
func check(o options) ([]string, error) {
	rows, err := readPage(o.Page)
	if err != nil {
		return nil, err
	}
	outcomes, err := readResults(o.Results)
	if err != nil {
		return nil, err
	}
	var problems []string
	for _, r := range rows {
		shown := r.testOutcomes(outcomes)
		if !o.Quiet {
			fmt.Printf("%-60s %-12s %s\n", r.point, r.status, strings.Join(shown, "; "))
		}
		problems = append(problems, r.problems(outcomes)...)
	}
	if len(rows) == 0 {
		problems = append(problems, o.Page+" has no rows")
	}
	return problems, nil
}

// readResults returns the outcome of each test by its name. If tests of several
// packages have the same name and one of them failed, the outcome is a failure.
func readResults(files []string) (map[string]string, error) {
	outcomes := make(map[string]string)
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		res, err := results.Read(f, func(string) {})
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		for name, outcome := range res.Tests {
			if outcomes[name.Test] != results.Fail {
				outcomes[name.Test] = outcome
			}
		}
	}
	return outcomes, nil
}
