// Command review-lab3 runs the scripts of the cases 11 to 15. It starts the programs of the
// project as the deploy file says, on loopback addresses, beside stand-ins of servers, clients
// and the operator.
package main

import (
	"fmt"
	"os"
)

// verdict is the result of a case; its value is the exit code.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	notRun verdict = 2
)

var cases = map[string]func(r *record, trouble bool) (verdict, error){
	"memory": longNames,
	"keys":   withoutKeys,
	"names":  sameName,
	"lost":   lostAnswers,
	"slow":   slowReading,
	"limit":  timeLimit,
	"stall":  stalledBodies,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-lab3 CASE RECORD")
		os.Exit(int(notRun))
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(int(notRun))
	}
	v, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("the case could not run: %v", err)
		v = notRun
	}
	r.say("exit %d", v)
	r.close()
	os.Exit(int(v))
}
