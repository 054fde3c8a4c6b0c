// Command variant measures what single decisions are worth: it applies a named patch to a
// scratch copy of the repository, plays days of a bench on it, and prints the figures
// beside those of the unchanged code. With --tests it runs, in place of days, the tests that
// a patch names, and prints which of them caught the change.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Patches string   `long:"patches" default:"tools/variant/patches" description:"folder with one file NAME.patch for each variant"`
	Tests   bool     `long:"tests" description:"run the tests that each patch names, in place of days"`
	Bench   string   `long:"bench" description:"program that plays a day: BENCH run SITE DAY [--seed N]"`
	Site    string   `long:"site" description:"site file"`
	Days    []string `long:"day" description:"day to play; may be given more than once"`
	Seeds   []string `long:"seed" description:"seed to play each day with; may be given more than once (default: that of the day)"`
	Jobs    int      `long:"jobs" default:"1" description:"days to play at the same time"`
	Journal string   `long:"journal" description:"folder that receives the bench's journal entries"`
	Args    struct {
		Variants []string `positional-arg-name:"VARIANT" description:"names of patches (default: all)"`
	} `positional-args:"yes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "variant:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	variants, err := o.variants()
	if err != nil {
		return err
	}
	scratch, err := os.MkdirTemp("", "variant")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	if o.Tests {
		return checkMutations(os.Stdout, o.Patches, variants, filepath.Join(scratch, "copy"))
	}
	if o.Bench == "" || o.Site == "" || len(o.Days) == 0 {
		return errors.New("--bench, --site and --day are needed to play days")
	}
	b := &bench{options: o, scratch: scratch}
	base, err := b.play("")
	if err != nil {
		return err
	}
	printHeader(os.Stdout)
	printRow(os.Stdout, base, base)
	for _, name := range variants {
		r, err := b.play(name)
		if err != nil {
			return err
		}
		printRow(os.Stdout, base, r)
	}
	return nil
}

// variants returns the names of the variants to play.
func (o *options) variants() ([]string, error) {
	if len(o.Args.Variants) > 0 {
		return o.Args.Variants, nil
	}
	files, err := filepath.Glob(filepath.Join(o.Patches, "*.patch"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, errors.New("no patches in " + o.Patches)
	}
	names := make([]string, len(files))
	for i, file := range files {
		name := filepath.Base(file)
		names[i] = name[:len(name)-len(".patch")]
	}
	return names, nil
}
