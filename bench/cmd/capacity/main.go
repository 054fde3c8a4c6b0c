// Command capacity measures how the cost of each role grows with its size, and
// works out the figures at the size to design for. It uses one process, links
// on loopback and temporary folders.
package main

import (
	"fmt"
	"os"
	"time"
)

// Sizes to design for.
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
