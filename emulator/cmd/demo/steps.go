package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/teaselrack/teaselrack/emulator/system"
)

const (
	idempotentRequests = 30
	onceRequests       = 12
	probeRequests      = 12
	quotaRequests      = 60
	// services is the number of hops of a chain.
	services = 3
	// returnLimit bounds how long a failure domain that is back may stay unused.
	returnLimit = 20 * time.Second
)

func (d *driver) found() (string, error) {
	err := d.layout.Found()
	return fmt.Sprintf("%d replicas, %d daemons with targets", len(d.layout.Replicas()), len(d.layout.Instances)), err
}

func (d *driver) firstNote() (string, error) {
	err := d.layout.Apply(1, d.layout.FirstNote())
	return "in force everywhere", err
}

func (d *driver) idempotent() (string, error) {
	for n := range idempotentRequests {
		answer, err := d.caller.Do(system.Call{Ingress: d.ingress(n), Method: "GET", Path: "/slots", Key: d.key("A")})
		if err != nil {
			return "", err
		}
		if err := chain(answer); err != nil {
			return "", err
		}
		for hop := &answer.Target; hop != nil; hop = hop.Next {
			if hop.Request != answer.Request {
				return "", fmt.Errorf("request %s became %s at %s", answer.Request, hop.Request, hop.Instance)
			}
		}
		d.traced = answer.Request
	}
	return fmt.Sprintf("%d whole answers through tides, blagajna and oprema, one request id on each chain", idempotentRequests), nil
}

func (d *driver) once() (string, error) {
	replayed := 0
	for n := range onceRequests {
		call := system.Call{Ingress: d.ingress(n), Method: "POST", Path: "/book", Key: d.key("A"), OnceKey: fmt.Sprintf("demo-%d", n), Body: fmt.Sprintf("board %d", n)}
		first, err := d.caller.Do(call)
		if err != nil {
			return "", err
		}
		if err := chain(first); err != nil {
			return "", err
		}
		call.Ingress = d.ingress(n + 1)
		second, err := d.caller.Do(call)
		if err != nil {
			return "", err
		}
		if string(second.Body) != string(first.Body) {
			return "", fmt.Errorf("the answers differ: %s and %s", first, second)
		}
		if second.Replayed {
			replayed++
		}
		runs, err := d.runs(func(_ system.Instance, r system.Record) bool { return r.OnceKey == call.OnceKey })
		if err != nil {
			return "", err
		}
		if runs != services {
			return "", fmt.Errorf("%s ran %d times at the targets, not once at each of %d", call.OnceKey, runs, services)
		}
	}
	return fmt.Sprintf("%d bookings, each ran once at each of %d services; %d second answers replayed", onceRequests, services, replayed), nil
}

func (d *driver) onceConflict() (string, error) {
	answer, err := d.caller.Do(system.Call{Ingress: d.ingress(0), Method: "POST", Path: "/book", Key: d.key("A"), OnceKey: "demo-0", Body: "another board"})
	if err != nil {
		return "", err
	}
	return answer.Kind, expect(answer, 409, "not-run", "once_conflict")
}

func (d *driver) unauthenticated() (string, error) {
	for n, key := range []string{"", "tsl_unknown"} {
		answer, err := d.caller.Do(system.Call{Ingress: d.ingress(n), Method: "GET", Path: "/slots?unauthenticated=1", Key: key})
		if err != nil {
			return "", err
		}
		if err := expect(answer, 401, "not-run", "unauthenticated"); err != nil {
			return "", err
		}
	}
	return "2 refused and not run", d.neverRan("unauthenticated=1")
}

// neverRan returns an error where a target ran a request with this text in its
// URL.
func (d *driver) neverRan(text string) error {
	runs, err := d.runs(func(_ system.Instance, r system.Record) bool { return strings.Contains(r.URL, text) })
	if err != nil {
		return err
	}
	if runs > 0 {
		return fmt.Errorf("%d requests that must not run did run", runs)
	}
	return nil
}

func (d *driver) open() (string, error) {
	answer, err := d.caller.Do(system.Call{Ingress: d.ingress(3), Method: "GET", Path: "/forecast"})
	if err != nil {
		return "", err
	}
	return "answered by " + answer.Target.Instance, expect(answer, 200, "ran", "")
}

// quota sends more than the rate and burst of team sidro. Whatever is refused
// must not have run, and no more may run than the burst and the rate allow.
func (d *driver) quota() (string, error) {
	refused := 0
	began := time.Now()
	for n := range quotaRequests {
		answer, err := d.caller.Do(system.Call{Ingress: d.ingress(n), Method: "GET", Path: "/slots?quota=1", Key: d.key("B")})
		if err != nil {
			return "", err
		}
		if answer.Status == 200 {
			continue
		}
		refused++
		if err := expect(answer, 429, "not-run", "quota_exceeded"); err != nil {
			return "", err
		}
	}
	took := time.Since(began)
	runs, err := d.runs(func(_ system.Instance, r system.Record) bool { return r.URL == "/slots?quota=1" })
	if err != nil {
		return "", err
	}
	allowed := system.SidroBurst + int(system.SidroRate*took.Seconds())
	switch {
	case refused == 0:
		return "", fmt.Errorf("none of %d requests was refused", quotaRequests)
	case runs != quotaRequests-refused:
		return "", fmt.Errorf("%d requests were answered, but %d ran", quotaRequests-refused, runs)
	case runs > allowed:
		return "", fmt.Errorf("%d requests ran in %v, at most %d may", runs, took, allowed)
	}
	return fmt.Sprintf("%d of %d refused, and just those did not run; %d were allowed in %v", refused, quotaRequests, allowed, took.Round(time.Millisecond)), nil
}

func (d *driver) withdraw() (string, error) {
	if err := d.layout.Apply(2, fmt.Sprintf("withdrawn:\n  keys: [%q]\n", d.layout.KeyID("B"))); err != nil {
		return "", err
	}
	for n := range probeRequests {
		answer, err := d.caller.Do(system.Call{Ingress: d.ingress(n), Method: "GET", Path: "/slots?withdrawn=1", Key: d.key("B")})
		if err != nil {
			return "", err
		}
		if err := expect(answer, 401, "not-run", "unauthenticated"); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d requests over all daemons refused, none ran", probeRequests), d.neverRan("withdrawn=1")
}

func (d *driver) domainOut() (string, error) {
	if err := d.layout.Apply(3, "changed:\n  failure_domains: [{name: split-b, region: coast, in_service: false}]\n"); err != nil {
		return "", err
	}
	for n := range probeRequests {
		answer, err := d.caller.Do(system.Call{Ingress: d.ingress(n), Method: "GET", Path: "/slots?out=1", Key: d.key("A")})
		if err != nil {
			return "", err
		}
		if err := chain(answer); err != nil {
			return "", err
		}
	}
	runs, err := d.runs(func(i system.Instance, r system.Record) bool {
		return i.Domain == "split-b" && strings.Contains(r.URL, "out=1")
	})
	if err != nil {
		return "", err
	}
	if runs > 0 {
		return "", fmt.Errorf("%d requests ran in the failure domain that is out", runs)
	}
	return fmt.Sprintf("%d whole answers, none from split-b", probeRequests), nil
}

// domainBack puts the failure domain back and sends requests until it works
// again: routing takes a target that returns into use by and by.
func (d *driver) domainBack() (string, error) {
	if err := d.layout.Apply(4, "changed:\n  failure_domains: [{name: split-b, region: coast, in_service: true}]\n"); err != nil {
		return "", err
	}
	sent := 0
	err := system.Await(returnLimit, func() error {
		answer, err := d.caller.Do(system.Call{Ingress: d.ingress(sent), Method: "GET", Path: "/slots?back=1", Key: d.key("A")})
		if err != nil {
			return err
		}
		if err := chain(answer); err != nil {
			return err
		}
		sent++
		return d.domainRuns("split-b", "back=1")
	})
	return fmt.Sprintf("split-b worked again within %d whole answers", sent), err
}

// domainRuns returns nil where a target of the failure domain ran a request
// with this text in its URL.
func (d *driver) domainRuns(domain, text string) error {
	runs, err := d.runs(func(i system.Instance, r system.Record) bool {
		return i.Domain == domain && strings.Contains(r.URL, text)
	})
	if err == nil && runs == 0 {
		return fmt.Errorf("no request ran in %s", domain)
	}
	return err
}

// refusedNotes tries a note with a gap in its number, and one that repeats a
// number with other content.
func (d *driver) refusedNotes() (string, error) {
	for _, attempt := range []struct {
		number int
		kind   string
	}{{9, "note_gap"}, {4, "note_conflict"}} {
		err := d.layout.Apply(attempt.number, "comment: this must be refused\n")
		if err == nil {
			return "", fmt.Errorf("note %d was accepted", attempt.number)
		}
		if !strings.Contains(err.Error(), attempt.kind) {
			return "", fmt.Errorf("note %d: want %s, got %w", attempt.number, attempt.kind, err)
		}
	}
	return "a gap and a conflict refused", nil
}

func (d *driver) keysUnseen() (string, error) {
	all, err := d.records()
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(all)
	if err != nil {
		return "", err
	}
	for name, key := range d.layout.Keys {
		if strings.Contains(string(text), key.Secret) {
			return "", fmt.Errorf("key %s reached a target", name)
		}
	}
	return fmt.Sprintf("%d bytes of records searched", len(text)), nil
}

func (d *driver) timeline() (string, error) {
	out, err := d.layout.Operate("timeline", "--json", "--request", d.traced)
	if err != nil {
		return "", err
	}
	var line struct {
		Events []struct {
			Process string `json:"process"`
			Name    string `json:"name"`
		} `json:"events"`
		Missing []string `json:"missing"`
	}
	if err := json.Unmarshal([]byte(out), &line); err != nil {
		return "", err
	}
	processes := make(map[string]bool)
	for _, e := range line.Events {
		processes[e.Process] = true
	}
	if len(line.Missing) > 0 || len(processes) < services {
		return "", fmt.Errorf("%d events of %d processes, missing %v", len(line.Events), len(processes), line.Missing)
	}
	first, last := line.Events[0].Name, line.Events[len(line.Events)-1].Name
	if first != "request.accepted" || last != "request.answered" {
		return "", fmt.Errorf("the time line goes from %s to %s", first, last)
	}
	return fmt.Sprintf("%d events of %d processes, from %s to %s", len(line.Events), len(processes), first, last), nil
}
