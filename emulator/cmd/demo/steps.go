package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/emulator/system"
)

const (
	idempotentRequests = 30
	onceRequests       = 12
	// probeRequests is the number of requests that check the effect of a release
	// note.
	probeRequests = 12
	quotaRequests = 60
	// minQuotaShare is the least share of what a team's quota allows that its requests
	// get.
	minQuotaShare = 0.95
	// services is the number of services in a call chain.
	services = 3
	// returnTimeout limits the time until a failure domain that is back in service
	// runs a request.
	returnTimeout = 20 * time.Second
)

func (d *driver) found() (string, error) {
	err := d.layout.Found()
	return fmt.Sprintf("%d replicas, %d daemons with targets", len(d.layout.Replicas()), len(d.layout.Instances)), err
}

func (d *driver) firstNote() (string, error) {
	err := d.layout.Apply(1, d.layout.FirstNote())
	return "in effect on all instances", err
}

func (d *driver) idempotent() (string, error) {
	for n := range idempotentRequests {
		response, err := d.client.Do(system.Request{Ingress: d.ingress(n), Method: "GET", Path: "/slots", Key: d.key("A")})
		if err != nil {
			return "", err
		}
		if err := expectChain(response); err != nil {
			return "", err
		}
		for hop := &response.Target; hop != nil; hop = hop.Next {
			if hop.Request != response.Request {
				return "", fmt.Errorf("request %s has the ID %s at %s", response.Request, hop.Request, hop.Instance)
			}
		}
		d.tracedRequest = response.Request
	}
	return fmt.Sprintf("%d complete responses through tides, blagajna and oprema, one request ID in each call chain", idempotentRequests), nil
}

// once sends each once request a second time to another daemon. Both responses must
// have the same body, and the request must run once at each service.
func (d *driver) once() (string, error) {
	replayed := 0
	for n := range onceRequests {
		request := system.Request{Ingress: d.ingress(n), Method: "POST", Path: "/book", Key: d.key("A"), OnceKey: fmt.Sprintf("demo-%d", n), Body: fmt.Sprintf("board %d", n)}
		first, err := d.client.Do(request)
		if err != nil {
			return "", err
		}
		if err := expectChain(first); err != nil {
			return "", err
		}
		request.Ingress = d.ingress(n + 1)
		second, err := d.client.Do(request)
		if err != nil {
			return "", err
		}
		if string(second.Body) != string(first.Body) {
			return "", fmt.Errorf("the responses differ: %s and %s", first, second)
		}
		if second.Replayed {
			replayed++
		}
		runs, err := d.countRuns(func(_ system.Instance, r system.Record) bool { return r.OnceKey == request.OnceKey })
		if err != nil {
			return "", err
		}
		if runs != services {
			return "", fmt.Errorf("%s ran %d times in total, not once at each of %d services", request.OnceKey, runs, services)
		}
	}
	return fmt.Sprintf("%d bookings, each ran once at each of %d services; %d duplicates got a replayed response", onceRequests, services, replayed), nil
}

func (d *driver) onceConflict() (string, error) {
	response, err := d.client.Do(system.Request{Ingress: d.ingress(0), Method: "POST", Path: "/book", Key: d.key("A"), OnceKey: "demo-0", Body: "another board"})
	if err != nil {
		return "", err
	}
	return response.Kind, expect(response, 409, "not-run", "once_conflict")
}

func (d *driver) unauthenticated() (string, error) {
	for n, key := range []string{"", "tsl_unknown"} {
		response, err := d.client.Do(system.Request{Ingress: d.ingress(n), Method: "GET", Path: "/slots?unauthenticated=1", Key: key})
		if err != nil {
			return "", err
		}
		if err := expect(response, 401, "not-run", "unauthenticated"); err != nil {
			return "", err
		}
	}
	return "2 requests rejected and not run", d.expectNotRun("unauthenticated=1")
}

// expectNotRun returns an error if a target ran a request with this text in its
// URL.
func (d *driver) expectNotRun(text string) error {
	runs, err := d.countRuns(func(_ system.Instance, r system.Record) bool { return strings.Contains(r.URL, text) })
	if err != nil {
		return err
	}
	if runs > 0 {
		return fmt.Errorf("targets ran %d requests that must not run", runs)
	}
	return nil
}

func (d *driver) openRoute() (string, error) {
	response, err := d.client.Do(system.Request{Ingress: d.ingress(3), Method: "GET", Path: "/forecast"})
	if err != nil {
		return "", err
	}
	return "response from " + response.Target.Instance, expect(response, 200, "ran", "")
}

// quota sends more requests at once than the rate and burst of team sidro allow, over
// all daemons. A rejected request must not have run. The requests that ran must not be
// more than the quota allows until the last of them was answered, and not less than
// minQuotaShare of what it allows until the last one was sent.
func (d *driver) quota() (string, error) {
	began := time.Now()
	responses, err := d.sendAtOnce(quotaRequests, "/slots?quota=1", d.key("B"))
	if err != nil {
		return "", err
	}
	succeeded, lastSent, lastSuccess := 0, time.Duration(0), time.Duration(0)
	for _, r := range responses {
		lastSent = max(lastSent, r.sent.Sub(began))
		if r.response.Status == 200 {
			succeeded++
			lastSuccess = max(lastSuccess, r.received.Sub(began))
			continue
		}
		if err := expect(r.response, 429, "not-run", "quota_exceeded"); err != nil {
			return "", err
		}
	}
	runs, err := d.countRuns(func(_ system.Instance, r system.Record) bool { return r.URL == "/slots?quota=1" })
	if err != nil {
		return "", err
	}
	allowed := system.SidroBurst + system.SidroRate*lastSuccess.Seconds()
	owed := minQuotaShare * (system.SidroBurst + math.Floor(system.SidroRate*lastSent.Seconds()))
	switch {
	case succeeded == quotaRequests:
		return "", fmt.Errorf("none of %d requests was rejected", quotaRequests)
	case runs != succeeded:
		return "", fmt.Errorf("%d requests succeeded, but %d ran", succeeded, runs)
	case float64(runs) > allowed:
		return "", fmt.Errorf("%d requests ran in %v, but the quota allows at most %.1f", runs, lastSuccess, allowed)
	case float64(runs) < owed:
		return "", fmt.Errorf("only %d requests ran, but the last was sent after %v, when at least %.1f must run", runs, lastSent, owed)
	}
	return fmt.Sprintf("%d of %d requests rejected, and only those did not run; %d ran, the quota allows %.1f in %v",
		quotaRequests-succeeded, quotaRequests, runs, allowed, lastSuccess.Round(time.Millisecond)), nil
}

// timedResponse is a response, when its request was sent and when it was received.
type timedResponse struct {
	response       system.Response
	sent, received time.Time
}

// sendAtOnce sends as many requests at the same time, spread over all daemons.
func (d *driver) sendAtOnce(count int, path, key string) ([]timedResponse, error) {
	responses := make([]timedResponse, count)
	errs := make([]error, count)
	var pending sync.WaitGroup
	for n := range count {
		pending.Go(func() {
			responses[n].sent = time.Now()
			responses[n].response, errs[n] = d.client.Do(system.Request{Ingress: d.ingress(n), Method: "GET", Path: path, Key: key})
			responses[n].received = time.Now()
		})
	}
	pending.Wait()
	return responses, errors.Join(errs...)
}

func (d *driver) withdrawKey() (string, error) {
	if err := d.layout.Apply(2, fmt.Sprintf("withdrawn:\n  keys: [%q]\n", d.layout.KeyID("B"))); err != nil {
		return "", err
	}
	for n := range probeRequests {
		response, err := d.client.Do(system.Request{Ingress: d.ingress(n), Method: "GET", Path: "/slots?withdrawn=1", Key: d.key("B")})
		if err != nil {
			return "", err
		}
		if err := expect(response, 401, "not-run", "unauthenticated"); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d requests through all daemons rejected, none ran", probeRequests), d.expectNotRun("withdrawn=1")
}

func (d *driver) domainOutOfService() (string, error) {
	if err := d.layout.Apply(3, "changed:\n  failure_domains: [{name: split-b, region: coast, in_service: false}]\n"); err != nil {
		return "", err
	}
	for n := range probeRequests {
		response, err := d.client.Do(system.Request{Ingress: d.ingress(n), Method: "GET", Path: "/slots?out=1", Key: d.key("A")})
		if err != nil {
			return "", err
		}
		if err := expectChain(response); err != nil {
			return "", err
		}
	}
	runs, err := d.countRuns(func(i system.Instance, r system.Record) bool {
		return i.Domain == "split-b" && strings.Contains(r.URL, "out=1")
	})
	if err != nil {
		return "", err
	}
	if runs > 0 {
		return "", fmt.Errorf("%d requests ran in the failure domain that is out of service", runs)
	}
	return fmt.Sprintf("%d complete responses, no request ran in split-b", probeRequests), nil
}

// domainInService puts the failure domain back into service and sends requests
// until a target of the domain runs one of them. This takes several requests,
// because routing raises the weight of a returning target gradually.
func (d *driver) domainInService() (string, error) {
	if err := d.layout.Apply(4, "changed:\n  failure_domains: [{name: split-b, region: coast, in_service: true}]\n"); err != nil {
		return "", err
	}
	sent := 0
	err := system.Await(returnTimeout, func() error {
		response, err := d.client.Do(system.Request{Ingress: d.ingress(sent), Method: "GET", Path: "/slots?back=1", Key: d.key("A")})
		if err != nil {
			return err
		}
		if err := expectChain(response); err != nil {
			return err
		}
		sent++
		return d.expectRunIn("split-b", "back=1")
	})
	return fmt.Sprintf("a target in split-b ran a request within %d complete responses", sent), err
}

// expectRunIn returns an error unless a target of the failure domain ran a
// request with this text in its URL.
func (d *driver) expectRunIn(domain, text string) error {
	runs, err := d.countRuns(func(i system.Instance, r system.Record) bool {
		return i.Domain == domain && strings.Contains(r.URL, text)
	})
	if err == nil && runs == 0 {
		return fmt.Errorf("no request ran in %s", domain)
	}
	return err
}

// rejectedNotes applies a note whose number leaves a gap, and a note that reuses
// the last number with different content. Both must be rejected.
func (d *driver) rejectedNotes() (string, error) {
	for _, attempt := range []struct {
		number int
		kind   string
	}{{9, "note_gap"}, {4, "note_conflict"}} {
		err := d.layout.Apply(attempt.number, "comment: this must be rejected\n")
		if err == nil {
			return "", fmt.Errorf("note %d was accepted", attempt.number)
		}
		if !strings.Contains(err.Error(), attempt.kind) {
			return "", fmt.Errorf("note %d: want %s, got %w", attempt.number, attempt.kind, err)
		}
	}
	return "a note with a gap in its number and a note with a conflict were rejected", nil
}

// keysNotForwarded returns an error if the records of a target contain the secret of
// an API key.
func (d *driver) keysNotForwarded() (string, error) {
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
			return "", fmt.Errorf("a target received API key %s", name)
		}
	}
	return fmt.Sprintf("no API key in %d bytes of records", len(text)), nil
}

// timeline reads the timeline of tracedRequest. The timeline must be complete: no
// process is missing, it has events of at least as many processes as the call chain
// has services, and it runs from the accepted request to the response.
func (d *driver) timeline() (string, error) {
	out, err := d.layout.RunCLI("timeline", "--json", "--request", d.tracedRequest)
	if err != nil {
		return "", err
	}
	var timeline struct {
		Events []struct {
			Process string `json:"process"`
			Name    string `json:"name"`
		} `json:"events"`
		Missing []string `json:"missing"`
	}
	if err := json.Unmarshal([]byte(out), &timeline); err != nil {
		return "", err
	}
	processes := make(map[string]bool)
	for _, e := range timeline.Events {
		processes[e.Process] = true
	}
	if len(timeline.Missing) > 0 || len(processes) < services {
		return "", fmt.Errorf("the timeline has %d events of %d processes, missing processes: %v", len(timeline.Events), len(processes), timeline.Missing)
	}
	first, last := timeline.Events[0].Name, timeline.Events[len(timeline.Events)-1].Name
	if first != "request.accepted" || last != "request.answered" {
		return "", fmt.Errorf("the timeline goes from %s to %s", first, last)
	}
	return fmt.Sprintf("%d events of %d processes, from %s to %s", len(timeline.Events), len(processes), first, last), nil
}
