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

// Actions of an event that end a test.
const (
	Pass = "pass"
	Fail = "fail"
	Skip = "skip"
)

const (
	actionOutput = "output"
	maxLine      = 16 << 20
)

// Name names one test of one package.
type Name struct {
	Package string
	Test    string
}

// Results are the outcomes of one or several runs of go test.
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
	// ImportPath is set on lines of the build.
	ImportPath string
}

// Read takes in the output of go test -json. A line that is not JSON, such as
// a message of the go command, is passed to other.
func Read(r io.Reader, other func(line string)) (*Results, error) {
	res := &Results{Tests: make(map[Name]string), Packages: make(map[string]string), output: make(map[Name]*strings.Builder)}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			other(lines.Text())
			continue
		}
		if e.ImportPath != "" && e.Output != "" {
			other(strings.TrimRight(e.Output, "\n"))
		}
		res.take(e)
	}
	return res, lines.Err()
}

func (r *Results) take(e event) {
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

// Output returns what a test printed; a name without a test gives what its
// package printed.
func (r *Results) Output(name Name) string {
	if b, ok := r.output[name]; ok {
		return b.String()
	}
	return ""
}

// Top returns the name of the test that a subtest belongs to.
func (n Name) Top() Name {
	test, _, _ := strings.Cut(n.Test, "/")
	return Name{n.Package, test}
}

// Known is one entry of the list of known failures.
type Known struct {
	// Test is the name of the test.
	Test string
	// Text is the whole entry.
	Text string
}

const testField = "test: "

// ReadKnown reads the list of known failures: entries of lines, each beginning
// with "test: ", the package and the name, apart from each other by an empty
// line. The package may be left out. A file that
// does not exist is an empty list.
func ReadKnown(file string) ([]Known, error) {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var known []Known
	for _, entry := range strings.Split(string(text), "\n\n") {
		entry = strings.TrimSpace(entry)
		first, _, _ := strings.Cut(entry, "\n")
		if names, ok := strings.CutPrefix(first, testField); ok {
			fields := strings.Fields(names)
			known = append(known, Known{Test: fields[len(fields)-1], Text: entry})
		}
	}
	return known, nil
}
