// Package results reads the JSON events of go test and the list of known
// failures.
package results

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"strings"
)

// Actions of events that end a test.
const (
	Pass = "pass"
	Fail = "fail"
	Skip = "skip"
)

const (
	actionOutput = "output"
	maxLineBytes = 16 << 20
)

// Name identifies one test of one package.
type Name struct {
	Package string
	Test    string
}

// Results are the outcomes of one or more runs of go test.
type Results struct {
	// Tests holds Pass, Fail or Skip for each test, subtests included.
	Tests map[Name]string
	// Packages holds Pass, Fail or Skip for each package.
	Packages map[string]string
	output   map[Name]*strings.Builder
}

// event is one line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
	// ImportPath is set on events of the build.
	ImportPath string
}

// Read reads the output of go test -json. Lines that are not JSON, such as
// messages of the go command, and build output are passed to other. A line of
// more than maxLineBytes is an error.
func Read(r io.Reader, other func(line string)) (*Results, error) {
	results := &Results{Tests: make(map[Name]string), Packages: make(map[string]string), output: make(map[Name]*strings.Builder)}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			other(lines.Text())
			continue
		}
		if e.ImportPath != "" && e.Output != "" {
			other(strings.TrimRight(e.Output, "\n"))
		}
		results.add(e)
	}
	return results, lines.Err()
}

func (r *Results) add(e event) {
	name := Name{e.Package, e.Test}
	switch e.Action {
	case Pass, Fail, Skip:
		if e.Test == "" {
			r.Packages[e.Package] = e.Action
			return
		}
		r.Tests[name] = e.Action
	case actionOutput:
		b, ok := r.output[name]
		if !ok {
			b = new(strings.Builder)
			r.output[name] = b
		}
		b.WriteString(e.Output)
	}
}

// Output returns the output of a test. A name without a test returns the output
// of its package.
func (r *Results) Output(name Name) string {
	if b, ok := r.output[name]; ok {
		return b.String()
	}
	return ""
}

// Top returns the name of the top-level test that a subtest belongs to.
func (n Name) Top() Name {
	test, _, _ := strings.Cut(n.Test, "/")
	return Name{n.Package, test}
}

// KnownFailure is one entry of the list of known failures.
type KnownFailure struct {
	// Test is the name of the test, without its package.
	Test string
	// Text is the whole entry.
	Text string
}

const testField = "test: "

// ReadKnownFailures reads the list of known failures. Entries are separated by
// an empty line. Each begins with a line of "test: ", an optional package and
// the name of the test; other text is ignored. A missing file is an empty list.
func ReadKnownFailures(file string) ([]KnownFailure, error) {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var known []KnownFailure
	for _, entry := range strings.Split(string(text), "\n\n") {
		entry = strings.TrimSpace(entry)
		first, _, _ := strings.Cut(entry, "\n")
		if names, ok := strings.CutPrefix(first, testField); ok {
			fields := strings.Fields(names)
			known = append(known, KnownFailure{Test: fields[len(fields)-1], Text: entry})
		}
	}
	return known, nil
}
