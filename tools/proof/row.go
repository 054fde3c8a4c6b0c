package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/teaselrack/teaselrack/tools/results"
)

// Statuses of a row.
const (
	proved    = "proved"
	partial   = "partial"
	notProved = "not proved"
	red       = "red"
)

// Indexes of the columns, and their number.
const (
	columnPoint  = 0
	columnTests  = 1
	columnStatus = 6
	columns      = 7
)

// testName matches the names of tests in a row.
var testName = regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z0-9_]*)`")

// row is one row of the page: a point, its status and the tests that prove it.
type row struct {
	point, status string
	tests         []string
}

// readPage returns the rows of all tables that have the page's number of
// columns.
func readPage(file string) ([]row, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var rows []row
	for _, line := range strings.Split(string(text), "\n") {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != columns || strings.HasPrefix(strings.TrimSpace(cells[0]), "---") || strings.TrimSpace(cells[columnStatus]) == "Status" {
			continue
		}
		r := row{point: strings.TrimSpace(cells[columnPoint]), status: strings.TrimSpace(cells[columnStatus])}
		for _, m := range testName.FindAllStringSubmatch(cells[columnTests], -1) {
			r.tests = append(r.tests, m[1])
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// testOutcomes returns the name and outcome of each test of the row.
func (r row) testOutcomes(outcomes map[string]string) []string {
	var all []string
	for _, test := range r.tests {
		outcome, ran := outcomes[test]
		if !ran {
			outcome = "not run"
		}
		all = append(all, test+" "+outcome)
	}
	return all
}

// problems returns the discrepancies between the row's status and the test
// outcomes.
func (r row) problems(outcomes map[string]string) []string {
	var all []string
	for _, test := range r.tests {
		if _, ran := outcomes[test]; !ran {
			all = append(all, fmt.Sprintf("%s: %s is listed but did not run", r.point, test))
		}
		if r.status == proved && outcomes[test] != results.Pass {
			all = append(all, fmt.Sprintf("%s: %s did not pass", r.point, test))
		}
	}
	switch r.status {
	case proved, partial:
		if len(r.tests) == 0 {
			all = append(all, r.point+": no test is listed")
		}
	case notProved, red:
	default:
		all = append(all, fmt.Sprintf("%s: unknown status %q", r.point, r.status))
	}
	return all
}
