// Command lab runs one case of the review against processes of the system, which it
// starts with the command of the deploy file. It exits with 1 if the rule was broken, with
// 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// limit is the time after which the case ends, whatever happens.
	limit = 110 * time.Second
)

// cases are the scenarios by name. Each reports whether the rule was broken.
var cases = map[string]func(c *cluster, trouble bool) (broken bool, err error){
	"crash-all":  crashAll,
	"cold-again": coldAgain,
	"leave":      leaveAndKill,
	"kill-all":   killAll,
	"poison":     forgetPoison,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/teaselrackd", "path of the daemon")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *program, *record))
}

func play(name, program, path string) int {
	scenario, ok := cases[name]
	if !ok {
		fmt.Println("no such case")
		return exitFailed
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer r.close()
	c, err := newCluster(program, r)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer c.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	trouble := os.Getenv("TROUBLE") != "0"
	r.event("case %s, disruption %t", name, trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := scenario(c, trouble)
		done <- result{broken, err}
	}()
	select {
	case end := <-done:
		switch {
		case end.err != nil:
			r.event("the case could not run: %v", end.err)
			return exitFailed
		case end.broken:
			r.event("the rule was broken")
			return exitBroken
		}
		r.event("the rule held")
		return exitHeld
	case <-interrupted:
		r.event("interrupted")
	case <-time.After(limit):
		r.event("the case took longer than %s", limit)
	}
	return exitFailed
}
