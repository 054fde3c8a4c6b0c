// Command lab2 plays the cases of the second review: it starts the programs of the project as
// separate processes on loopback addresses, with small clients, servers and an operator.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	couldnt = 2
)

// cases holds the cases by name. Each returns whether the rule was broken; the error says
// that the case could not run.
var cases = map[string]func(rec *record, program string, trouble bool) (bool, error){
	"early":    early,
	"evacuate": evacuate,
	"framing":  framing,
	"odd":      odd,
	"release":  release,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE PROGRAM RECORD")
		os.Exit(couldnt)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(play func(*record, string, bool) (bool, error), program, path string) int {
	rec, err := openRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldnt
	}
	defer func() { _ = rec.file.Close() }()
	ruleBroken, err := play(rec, program, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		return couldnt
	case ruleBroken:
		rec.add("the rule was broken")
		return broken
	}
	rec.add("the rule held")
	return held
}

// begin starts a deployment with a first config, and waits until all sidecars are ready.
func begin(rec *record, program string, sidecars [][2]string, routes []route, services []string) (*system, *operator, error) {
	s, err := newSystem(rec, program, sidecars)
	if err != nil {
		return nil, nil, err
	}
	if err := s.startAll(); err != nil {
		s.stop()
		return nil, nil, err
	}
	o := newOperator(s)
	if err := o.order("/-/config/put", configuration(3, 0, routes, services), startTime, s.core...); err != nil {
		s.stop()
		return nil, nil, err
	}
	if err := s.waitReady(startTime); err != nil {
		s.stop()
		return nil, nil, err
	}
	return s, o, nil
}
