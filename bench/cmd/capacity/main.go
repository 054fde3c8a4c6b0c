// Command capacity measures how the cost of each role grows with its size, and
// extrapolates to the design size. It uses one process, links on loopback and
// temporary directories.
package main

import (
	"fmt"
	"os"
	"time"
)

// The design size, to which the tables extrapolate. Some of these numbers also
// set the size of a measurement.
const (
	daemons        = 1500
	services       = 260
	callsPerSecond = 140_000
	notesPerDay    = 680
	replicas       = 3
	secondsPerDay  = 24 * 60 * 60
	renewInterval  = time.Second
)

func main() {
	if err := report(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
