package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/teaselrack/teaselrack/emulator/system"
)

// driver runs the steps of the demo in order. After a failed step the others still run,
// unless the system could not be set up; they are then counted as not run.
type driver struct {
	layout  *system.Layout
	client  *system.Client
	out     io.Writer
	passed  int
	failed  int
	skipped int
	// unusable is true if a step has failed without which no other can pass.
	unusable bool
	// tracedRequest is the ID of the request whose timeline is read at the end.
	tracedRequest string
}

// setUp runs a step without which no other can pass.
func (d *driver) setUp(name string, work func() (string, error)) {
	failed := d.failed
	d.step(name, work)
	d.unusable = d.unusable || d.failed > failed
}

// step runs one step and prints its result. work returns a description of its
// result, or an error if the step failed.
func (d *driver) step(name string, work func() (string, error)) {
	if d.unusable {
		d.skipped++
		d.printf("not run  %s", name)
		return
	}
	detail, err := work()
	if err != nil {
		d.failed++
		d.printf("FAILED   %s: %v", name, err)
		return
	}
	d.passed++
	d.printf("ok       %s: %s", name, detail)
}

func (d *driver) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }

// summarize prints the number of steps by result, and returns whether all steps
// passed.
func (d *driver) summarize() bool {
	d.printf("demo: %d steps passed, %d failed, %d not run", d.passed, d.failed, d.skipped)
	return d.failed == 0 && d.skipped == 0
}

func (d *driver) steps() {
	d.step("idempotent requests over three hops", d.idempotent)
	d.step("once requests, each sent twice", d.once)
	d.step("an Idempotency-Key reused with a different body", d.onceConflict)
	d.step("requests without a valid API key", d.unauthenticated)
	d.step("an open route", d.openRoute)
	d.step("a team above its rate and burst", d.quota)
	d.step("an API key is withdrawn while connections are open", d.withdrawKey)
	d.step("a failure domain is taken out of service", d.domainOutOfService)
	d.step("the failure domain is put back into service", d.domainInService)
	d.step("invalid release notes are rejected", d.rejectedNotes)
	d.step("no API key reached a target", d.keysNotForwarded)
	d.step("the timeline of one request", d.timeline)
}

// ingress returns the ingress address of daemon n modulo the number of daemons.
func (d *driver) ingress(n int) string {
	return d.layout.Instances[n%len(d.layout.Instances)].Ingress
}

// key returns the secret of the API key with this name.
func (d *driver) key(name string) string { return d.layout.Keys[name].Secret }

// expect returns an error unless the response has status, outcome and kind.
func expect(response system.Response, status int, outcome, kind string) error {
	if response.Status == status && response.Outcome == outcome && response.Kind == kind {
		return nil
	}
	return fmt.Errorf("want %d %s %s, got %s", status, outcome, kind, response)
}

// expectChain returns an error unless the request ran and its response passed
// through all three services.
func expectChain(response system.Response) error {
	if err := expect(response, 200, "ran", ""); err != nil {
		return err
	}
	if got := strings.Join(response.Target.Chain(), " "); got != "tides blagajna oprema" {
		return errors.New("the response passed through the services " + got)
	}
	return nil
}

// records returns the records of all stand-in targets by instance name.
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

// countRuns returns the number of records that match.
func (d *driver) countRuns(matches func(system.Instance, system.Record) bool) (int, error) {
	all, err := d.records()
	count := 0
	for _, i := range d.layout.Instances {
		for _, r := range all[i.Name] {
			if matches(i, r) {
				count++
			}
		}
	}
	return count, err
}
