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
	// Familiar are suspects that had completed before, as other daemons know than those
	// that reported the crashes.
	Familiar []uint64 `json:"fm,omitempty"`
	// Probes asks for probes of quarantined requests.
	Probes []ProbeRequest `json:"p,omitempty"`
}

// ProbeRequest asks that a daemon may send a quarantined request to one target.
type ProbeRequest struct {
	Content uint64 `json:"c"`
	// Holder is the name of the daemon from its start to its end.
	Holder string `json:"h"`
}

// Probe permits a daemon to send a quarantined request to one target, once.
type Probe struct {
	Content uint64 `json:"c"`
	// Number is that of the probe among those of the request.
	Number int `json:"n"`
}

// QuarantineUpdate lists the requests that no target may get.
type QuarantineUpdate struct {
	// Epoch identifies the start of the replica. Version increases with each change
	// of the list, on all replicas alike.
	Epoch    string   `json:"e"`
	Version  uint64   `json:"v"`
	Contents []uint64 `json:"c,omitempty"`
	// Probes are those that were granted to the daemon.
	Probes []Probe `json:"p,omitempty"`
}
