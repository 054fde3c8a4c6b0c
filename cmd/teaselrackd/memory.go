package main

import (
	"os"
	"runtime/debug"

	"github.com/teaselrack/teaselrack/internal/process/settings"
)

const (
	// daemonGCPercent is the growth of the heap between two collections of a
	// daemon without the control role, whose heap is small.
	daemonGCPercent = 1600
	// daemonMemoryLimit is the memory, in bytes, near which such a daemon
	// collects more often.
	daemonMemoryLimit = 192 << 20
	// replicaGCPercent is the growth of the heap of a control replica, whose
	// ledger may be large.
	replicaGCPercent = 400
)

// tuneMemory trades memory for fewer collections, whose pauses delay requests.
// The variables GOGC and GOMEMLIMIT go first.
func tuneMemory(s *settings.Settings) {
	percent := daemonGCPercent
	if s.Control.Enabled {
		percent = replicaGCPercent
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
	if os.Getenv("GOMEMLIMIT") == "" && !s.Control.Enabled {
		debug.SetMemoryLimit(daemonMemoryLimit)
	}
}
