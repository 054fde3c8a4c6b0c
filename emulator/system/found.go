package system

import (
	"fmt"
	"time"
)

// startTimeout limits each of the two waits of Found. The first ends when the
// first replica has founded the groups, the second when the status lists every
// daemon with a target.
const startTimeout = 30 * time.Second

// Quota of team sidro in the first release note. SidroRate is in requests per
// second, SidroBurst is in requests.
const (
	SidroRate  = 5
	SidroBurst = 10
)

// FirstNote returns the sections of the demo's first release note. The note adds
// two teams with an API key each, and two failure domains. It adds the
// routes of a call chain of idempotent requests (/slots, /prices, /stock) and of a
// call chain of once requests (/book, /pay, /gear). It also adds an open route
// (/forecast), which needs no API key. The layout must have the API keys "A" and "B".
func (l *Layout) FirstNote() string {
	return fmt.Sprintf(`comment: the demo's first note
added:
  teams:
    - {name: obala, rate: 500, burst: 500}
    - {name: sidro, rate: %d, burst: %d}
  keys:
    %s
    %s
  routes:
    - {name: slots, path: /slots, service: tides, importance: high, retries: 2}
    - {name: prices, path: /prices, service: blagajna, access: internal, importance: high, retries: 2}
    - {name: stock, path: /stock, service: oprema, access: internal, importance: high, retries: 2}
    - {name: book, path: /book, methods: [POST], service: tides, mode: once, importance: critical, timeout: 5s, retries: 2}
    - {name: pay, path: /pay, methods: [POST], service: blagajna, access: internal, mode: once, importance: critical, timeout: 5s, retries: 2}
    - {name: gear, path: /gear, methods: [POST], service: oprema, access: internal, mode: once, importance: critical, timeout: 5s, retries: 2}
    - {name: forecast, path: /forecast, methods: [GET], service: tides, access: open, importance: low, retries: 1}
  failure_domains:
    - {name: split-a, region: coast, in_service: true}
    - {name: split-b, region: coast, in_service: true}
`, SidroRate, SidroBurst, l.Keys["A"].Line, l.Keys["B"].Line)
}

// Found founds the replica groups on the first control replica, admits the
// other control replicas and waits until the status lists every daemon with a
// target. It returns an error if admitting a replica fails, or if one of the two
// waits takes longer than startTimeout.
func (l *Layout) Found() error {
	replicas := l.Replicas()
	err := Await(startTimeout, func() error {
		_, err := l.RunCLI("control", "init", replicas[0])
		return err
	})
	if err != nil {
		return err
	}
	for _, address := range replicas[1:] {
		if _, err := l.RunCLI("control", "admit", address); err != nil {
			return err
		}
	}
	return Await(startTimeout, l.ready)
}

// ready returns nil if the status lists every daemon with a target.
func (l *Layout) ready() error {
	status, err := l.Status()
	if err != nil {
		return err
	}
	withTarget := 0
	for _, daemon := range status.Daemons {
		if len(daemon.Targets) > 0 {
			withTarget++
		}
	}
	if withTarget < len(l.Instances) {
		return fmt.Errorf("the status lists %d of %d daemons with a target", withTarget, len(l.Instances))
	}
	return nil
}
