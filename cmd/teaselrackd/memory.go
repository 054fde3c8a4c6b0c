package main

import (
	"os"
	"runtime/debug"

	"github.com/teaselrack/teaselrack/internal/process/settings"
)

const (
	// daemonGCPercent is the heap growth, in percent, between two garbage
	// collections of a daemon without the control role, whose heap is small.
	daemonGCPercent = 1600
	// daemonMemoryShare is the share of its memory limit near which such a daemon
	// collects garbage more often.
	daemonMemoryShare = 0.75
	// replicaGCPercent is the heap growth, in percent, of a control replica, whose
	// ledger may be large.
	replicaGCPercent = 400
)

// tuneMemory trades memory for fewer garbage collections, whose pauses delay
// requests. The environment variables GOGC and GOMEMLIMIT take precedence.
func tuneMemory(s *settings.Settings) {
	percent := daemonGCPercent
	if s.Control.Enabled {
		percent = replicaGCPercent
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
	if os.Getenv("GOMEMLIMIT") == "" && !s.Control.Enabled {
		debug.SetMemoryLimit(int64(daemonMemoryShare * float64(s.Limits.MemoryBytes)))
	}
}
