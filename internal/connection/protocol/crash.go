package protocol

// CrashReport names the requests that a target was running when it crashed, by the
// fingerprints of their content.
type CrashReport struct {
	// Incarnation is that of the target.
	Incarnation string   `json:"i"`
	Suspects    []uint64 `json:"s,omitempty"`
	// Familiar are suspects that the daemon has seen complete before the crash.
	Familiar []uint64 `json:"f,omitempty"`
}

// CrashEvidence is what replicas record about crashes. A replica forwards it to the leader.
type CrashEvidence struct {
	Crashes []CrashReport `json:"cr,omitempty"`
	// Completed are requests that have completed after they were suspected or
	// quarantined.
	Completed []uint64 `json:"cc,omitempty"`
}

// QuarantineUpdate lists the requests that no target may get.
type QuarantineUpdate struct {
	// Epoch identifies the start of the replica. Version increases with each change
	// of the list, on all replicas alike.
	Epoch    string   `json:"e"`
	Version  uint64   `json:"v"`
	Contents []uint64 `json:"c,omitempty"`
}
