package protocol

import "time"

// CrashReport names the requests that a target was running when it crashed, by the
// fingerprints of their content.
type CrashReport struct {
	// Incarnation is that of the target.
	Incarnation string   `json:"i"`
	Suspects    []uint64 `json:"s,omitempty"`
	// Familiar are suspects that the daemon has seen complete before the crash.
	Familiar []uint64 `json:"f,omitempty"`
	// Cleared are suspects that have completed elsewhere. Only replicas set it.
	Cleared []uint64 `json:"c,omitempty"`
	// Age is the time since the report was first received. Only replicas set it.
	Age time.Duration `json:"g,omitempty"`
}

// QuarantineUpdate lists the requests that no target may get.
type QuarantineUpdate struct {
	// Epoch identifies the start of the replica. Version increases with each change
	// of the list.
	Epoch    string   `json:"e"`
	Version  uint64   `json:"v"`
	Contents []uint64 `json:"c,omitempty"`
}
