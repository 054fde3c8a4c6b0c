package main

import (
	"os"
	"runtime/debug"

	"github.com/teaselrack/teaselrack/internal/process/settings"
)

const (
	// gcPercent is the growth of the heap between two collections.
	gcPercent = 400
	// memoryLimit is the memory, in bytes, near which a daemon without the
	// control role collects more often. A control replica has none: its ledger
	// may need more.
	memoryLimit = 192 << 20
)

// tuneMemory trades memory for fewer collections, whose pauses delay requests.
// The variables GOGC and GOMEMLIMIT go first.
func tuneMemory(s *settings.Settings) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" && !s.Control.Enabled {
		debug.SetMemoryLimit(memoryLimit)
	}
}
