package system

import (
	"fmt"
	"time"
)

// startLimit bounds how long a system may take to come up.
const startLimit = 30 * time.Second

// Limits of team sidro in the first note: requests a second, and requests.
const (
	SidroRate  = 5
	SidroBurst = 10
)

// FirstNote is the release note of the demo: two teams, a chain of idempotent
// calls (/slots, /prices, /stock), a chain of calls that run once (/book, /pay,
// /gear), and a route open to all.
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

// Found founds the replica groups, admits the other replicas and waits until
// every daemon is known with its target.
func (l *Layout) Found() error {
	replicas := l.Replicas()
	err := Await(startLimit, func() error {
		_, err := l.Operate("control", "init", replicas[0])
		return err
	})
	if err != nil {
		return err
	}
	for _, address := range replicas[1:] {
		if _, err := l.Operate("control", "admit", address); err != nil {
			return err
		}
	}
	return Await(startLimit, l.ready)
}

// ready returns nil where every daemon is known with a target.
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
		return fmt.Errorf("%d of %d daemons are known with a target", withTarget, len(l.Instances))
	}
	return nil
}
