package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestVariantIsPlayedBesideTheUnchangedCode plays a stand-in bench whose figure is the
// content of a file that the patch changes.
func TestVariantIsPlayedBesideTheUnchangedCode(t *testing.T) {
	repository := t.TempDir()
	t.Chdir(repository)
	write := func(name, text string, mode os.FileMode) {
		must.NoError(t, os.MkdirAll(filepath.Dir(name), 0o755))
		must.NoError(t, os.WriteFile(name, []byte(text), mode))
	}
	write("figure", "0.5\n", 0o644)
	write("patches/less.patch", "--- a/figure\n+++ b/figure\n@@ -1 +1 @@\n-0.5\n+0.4\n", 0o644)
	write("bench.sh", "#!/bin/sh\nmkdir -p journal\necho '{\"days\":[{\"G\":'$(cat figure)',\"served\":0.9,\"rules\":{}}]}' > journal/1.json\n", 0o755)
	for _, args := range [][]string{{"init", "-q"}, {"add", "."}, {"-c", "user.name=t", "-c", "user.email=t@example", "commit", "-q", "-m", "m"}} {
		must.NoError(t, command("", "git", args...))
	}
	bench, err := filepath.Abs("bench.sh")
	must.NoError(t, err)
	o := options{Patches: "patches", Bench: bench, Site: "s", Days: []string{"a", "b"}, Jobs: 2}
	b := newBench(t, o)
	base, err := b.play("")
	must.NoError(t, err)
	less, err := b.play("less")
	must.NoError(t, err)
	var table strings.Builder
	printRow(&table, base, base)
	printRow(&table, base, less)
	must.StrContains(t, table.String(), "none                     0.500   0.900   +0.000")
	must.StrContains(t, table.String(), "less                     0.400   0.900   -0.100")
	_, err = b.play("missing")
	must.ErrorContains(t, err, `apply the patch of variant "missing"`)
}

// TestMutationsAreCaughtOrMissed checks what is said of a test that fails with a patch, of one
// that does not, and of patches that show nothing.
func TestMutationsAreCaughtOrMissed(t *testing.T) {
	t.Chdir(t.TempDir())
	write := func(name, text string) {
		must.NoError(t, os.MkdirAll(filepath.Dir(name), 0o755))
		must.NoError(t, os.WriteFile(name, []byte(text), 0o644))
	}
	write("go.mod", "module m\n\ngo 1.26\n")
	write("p/p.go", "package p\n\nfunc two() int { return 2 }\n")
	write("p/p_test.go", "package p\n\nimport \"testing\"\n\nfunc TestTwo(t *testing.T) {\n\tif two() != 2 {\n\t\tt.Fail()\n\t}\n}\n\nfunc TestNothing(*testing.T) {}\n")
	change := func(to string) string {
		return "--- a/p/p.go\n+++ b/p/p.go\n@@ -1,3 +1,3 @@\n package p\n \n-func two() int { return 2 }\n+func two() int { return " + to + " }\n"
	}
	write("patches/three.patch", "Test: ./p TestTwo\n"+change("3"))
	write("patches/weak.patch", "Test: ./p TestTwo\nTest: ./p TestNothing\n"+change("3"))
	write("patches/broken.patch", "Test: ./p TestTwo\n"+change("x"))
	write("patches/absent.patch", "Test: ./p TestAbsent\n"+change("3"))
	write("patches/silent.patch", change("3"))
	for _, args := range [][]string{{"init", "-q"}, {"add", "."}, {"-c", "user.name=t", "-c", "user.email=t@example", "commit", "-q", "-m", "m"}} {
		must.NoError(t, command("", "git", args...))
	}
	check := func(name string) (string, error) {
		var out strings.Builder
		err := checkMutations(&out, "patches", []string{name}, filepath.Join(t.TempDir(), "copy"))
		return out.String(), err
	}
	out, err := check("three")
	must.NoError(t, err)
	must.Eq(t, "caught  three                        ./p TestTwo\n", out)
	out, err = check("weak")
	must.ErrorContains(t, err, "1 tests passed without what they guard")
	must.StrContains(t, out, "MISSED  weak                         ./p TestNothing\n")
	for name, text := range map[string]string{"broken": "TestTwo did not run", "absent": "TestAbsent did not run", "silent": "names no test", "missing": "no such file"} {
		_, err := check(name)
		must.ErrorContains(t, err, text)
	}
}

func newBench(t *testing.T, o options) *bench { return &bench{options: o, scratch: t.TempDir()} }

// TestPatchesApply checks that each patch still fits the code.
func TestPatchesApply(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("*", "*.patch"))
	must.NoError(t, err)
	must.Greater(t, 30, len(files))
	for _, file := range files {
		path, err := filepath.Abs(file)
		must.NoError(t, err)
		must.NoError(t, command(filepath.Join("..", ".."), "git", "apply", "--check", path))
	}
}
