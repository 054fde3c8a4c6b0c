package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// mutationTest is a test that must fail with a patch. Patches name it in a line before the
// first difference: "Test: ./PACKAGE NAME".
type mutationTest struct{ pkg, name string }

// readTests returns the tests that a patch names.
func readTests(patch string) ([]mutationTest, error) {
	text, err := os.ReadFile(patch)
	if err != nil {
		return nil, err
	}
	var tests []mutationTest
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "diff ") || strings.HasPrefix(line, "--- ") {
			break
		}
		named, ok := strings.CutPrefix(line, "Test:")
		if !ok {
			continue
		}
		fields := strings.Fields(named)
		if len(fields) != 2 {
			return nil, fmt.Errorf("%s: malformed line %q", patch, line)
		}
		tests = append(tests, mutationTest{pkg: fields[0], name: fields[1]})
	}
	if len(tests) == 0 {
		return nil, fmt.Errorf("%s names no test", patch)
	}
	return tests, nil
}

// checkMutations applies each patch to a copy of the last commit, runs the tests that it
// names and prints which of them caught the change. The error names the patches that were
// missed or show nothing.
func checkMutations(w io.Writer, patches string, names []string, dir string) error {
	if err := command("", "git", "clone", "--quiet", ".", dir); err != nil {
		return err
	}
	var errs []error
	for _, name := range names {
		if err := checkMutation(w, patches, name, dir); err != nil {
			errs = append(errs, fmt.Errorf("mutation %q: %w", name, err))
		}
		if err := command(dir, "git", "checkout", "--quiet", "."); err != nil {
			return err
		}
	}
	return errors.Join(errs...)
}

func checkMutation(w io.Writer, patches, name, dir string) error {
	patch, err := filepath.Abs(filepath.Join(patches, name+".patch"))
	if err != nil {
		return err
	}
	tests, err := readTests(patch)
	if err != nil {
		return err
	}
	if err := command(dir, "git", "apply", patch); err != nil {
		return err
	}
	missed := 0
	for _, test := range tests {
		caught, err := test.fails(dir)
		if err != nil {
			return err
		}
		result := "caught"
		if !caught {
			result = "MISSED"
			missed++
		}
		_, _ = fmt.Fprintf(w, "%s  %-28s %s %s\n", result, name, test.pkg, test.name)
	}
	if missed > 0 {
		return fmt.Errorf("%d tests passed without what they guard", missed)
	}
	return nil
}

// fails runs the test in a copy of the repository and reports whether it failed. It is an
// error if the test does not exist or cannot be built.
func (m mutationTest) fails(dir string) (bool, error) {
	c := exec.Command("go", "test", "-count=1", "-v", "-timeout=3m", "-run", "^"+m.name+"$", m.pkg)
	c.Dir = dir
	output, err := c.CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err != nil && !errors.As(err, &exit):
		return false, err
	case !bytes.Contains(output, []byte("=== RUN   "+m.name)):
		return false, fmt.Errorf("%s did not run: %s", m.name, output[max(0, len(output)-2000):])
	}
	return err != nil, nil
}
