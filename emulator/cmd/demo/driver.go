package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/teaselrack/teaselrack/emulator/system"
)

// driver runs the steps of the demo one after the other. After a failed step
// the others are skipped and counted as not run.
type driver struct {
	layout *system.Layout
	caller *system.Caller
	out    io.Writer
	passed int
	failed int
	skip   int
	// traced is the request whose time line is read at the end.
	traced string
}

// step runs one step. work returns what it saw.
func (d *driver) step(name string, work func() (string, error)) {
	if d.failed > 0 {
		d.skip++
		d.line("not run  %s", name)
		return
	}
	seen, err := work()
	if err != nil {
		d.failed++
		d.line("FAILED   %s: %v", name, err)
		return
	}
	d.passed++
	d.line("ok       %s: %s", name, seen)
}

func (d *driver) line(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }

func (d *driver) summarize() bool {
	d.line("demo: %d steps passed, %d failed, %d not run", d.passed, d.failed, d.skip)
	return d.failed == 0 && d.skip == 0
}

func (d *driver) steps() {
	d.step("idempotent requests over three hops", d.idempotent)
	d.step("requests that run once, each sent twice", d.once)
	d.step("one Idempotency-Key with other content", d.onceConflict)
	d.step("requests without a valid key", d.unauthenticated)
	d.step("a route open to all", d.open)
	d.step("a team above its rate and burst", d.quota)
	d.step("a key is withdrawn under open connections", d.withdraw)
	d.step("a failure domain is taken out", d.domainOut)
	d.step("the failure domain returns", d.domainBack)
	d.step("notes that must be refused", d.refusedNotes)
	d.step("no target saw a key", d.keysUnseen)
	d.step("the time line of one request", d.timeline)
}

// ingress returns the n-th daemon's ingress address, in a circle.
func (d *driver) ingress(n int) string {
	return d.layout.Instances[n%len(d.layout.Instances)].Ingress
}

func (d *driver) key(name string) string { return d.layout.Keys[name].Secret }

// expect returns an error unless the answer has status, outcome and kind.
func expect(answer system.Answer, status int, outcome, kind string) error {
	if answer.Status == status && answer.Outcome == outcome && answer.Kind == kind {
		return nil
	}
	return fmt.Errorf("want %d %s %s, got %s", status, outcome, kind, answer)
}

// chain returns an error unless the answer came through all three services.
func chain(answer system.Answer) error {
	if err := expect(answer, 200, "ran", ""); err != nil {
		return err
	}
	if got := strings.Join(answer.Target.Chain(), " "); got != "tides blagajna oprema" {
		return errors.New("the answer came through " + got)
	}
	return nil
}

// records returns the records of all targets, by instance name.
func (d *driver) records() (map[string][]system.Record, error) {
	all := make(map[string][]system.Record)
	for _, i := range d.layout.Instances {
		records, err := i.Records()
		if err != nil {
			return nil, err
		}
		all[i.Name] = records
	}
	return all, nil
}

// runs counts the records that fit.
func (d *driver) runs(fits func(system.Instance, system.Record) bool) (int, error) {
	all, err := d.records()
	count := 0
	for _, i := range d.layout.Instances {
		for _, r := range all[i.Name] {
			if fits(i, r) {
				count++
			}
		}
	}
	return count, err
}
