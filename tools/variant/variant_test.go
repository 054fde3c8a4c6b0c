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
