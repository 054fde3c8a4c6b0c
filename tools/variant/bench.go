package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// bench plays days on scratch copies of the repository.
type bench struct {
	options options
	scratch string
}

// result holds the figures of one variant, in the order of days and seeds.
type result struct {
	variant string
	plays   []play
}

// play is the outcome of one day.
type play struct {
	day, seed string
	// Worth and Served are the day's figures, Rules the rules that it broke.
	Worth  float64        `json:"G"`
	Served float64        `json:"served"`
	Rules  map[string]int `json:"rules"`
}

// play plays all days with a variant; "" is the unchanged code.
func (b *bench) play(variant string) (result, error) {
	r := result{variant: variant}
	for _, day := range b.options.Days {
		seeds := b.options.Seeds
		if len(seeds) == 0 {
			seeds = []string{""}
		}
		for _, seed := range seeds {
			r.plays = append(r.plays, play{day: day, seed: seed})
		}
	}
	errs := make([]error, len(r.plays))
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(b.options.Jobs, 1))
	for i := range r.plays {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs[i] = b.playDay(variant, i, &r.plays[i])
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return r, err
		}
	}
	return r, nil
}

// playDay plays one day on a copy of its own, so that the journal holds just its entry.
func (b *bench) playDay(variant string, n int, p *play) error {
	dir := filepath.Join(b.scratch, fmt.Sprintf("%s-%d", variant, n))
	if err := command("", "git", "clone", "--quiet", ".", dir); err != nil {
		return err
	}
	if variant != "" {
		patch, err := filepath.Abs(filepath.Join(b.options.Patches, variant+".patch"))
		if err != nil {
			return err
		}
		if err := command(dir, "git", "apply", patch); err != nil {
			return fmt.Errorf("apply the patch of variant %q: %w", variant, err)
		}
	}
	journal := filepath.Join(dir, "journal")
	if err := os.RemoveAll(journal); err != nil {
		return err
	}
	args := []string{"run", b.options.Site, p.day, "--jobs", "1", "--why", "variant: " + nameOf(variant)}
	if p.seed != "" {
		args = append(args, "--seed", p.seed)
	}
	// A day that breaks a rule may end the bench with an error, but has an entry.
	benchErr := command(dir, b.options.Bench, args...)
	if err := readPlay(journal, p); err != nil {
		return errors.Join(fmt.Errorf("play %s with variant %q: %w", p.day, nameOf(variant), err), benchErr)
	}
	return b.keepJournal(journal)
}

// keepJournal copies the bench's entries to the folder that the options name.
func (b *bench) keepJournal(journal string) error {
	if b.options.Journal == "" {
		return nil
	}
	return command("", "cp", "-rn", journal+"/.", b.options.Journal)
}

// readPlay reads the only entry of a journal.
func readPlay(journal string, p *play) error {
	files, err := filepath.Glob(filepath.Join(journal, "*.json"))
	if err != nil {
		return err
	}
	if len(files) != 1 {
		return fmt.Errorf("the journal of %s has %d entries instead of one", p.day, len(files))
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		return err
	}
	entry := struct {
		Error string            `json:"error"`
		Days  []json.RawMessage `json:"days"`
	}{}
	if err := json.Unmarshal(text, &entry); err != nil {
		return fmt.Errorf("read the journal entry %s: %w", files[0], err)
	}
	if entry.Error != "" || len(entry.Days) != 1 {
		return fmt.Errorf("the journal entry of %s has %d days: %s", p.day, len(entry.Days), entry.Error)
	}
	return json.Unmarshal(entry.Days[0], p)
}

// command runs a program in a folder. Its output is part of the error.
func command(dir, name string, args ...string) error {
	c := exec.Command(name, args...)
	c.Dir = dir
	output, err := c.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %w: %s", filepath.Base(name), err, output[max(0, len(output)-2000):])
	}
	return nil
}

func nameOf(variant string) string {
	if variant == "" {
		return "none"
	}
	return variant
}
