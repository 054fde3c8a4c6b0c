package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

const (
	// crashesToQuarantine is the number of crashes that a request must explain.
	crashesToQuarantine = 3
	// confirmDelay is the time until a request that explains enough crashes is
	// quarantined. Requests that were lost by chance complete meanwhile.
	confirmDelay = time.Second
	// reportTTL is how long a crash is remembered.
	reportTTL = 10 * time.Minute
	// verdictTTL is how long a request is quarantined.
	verdictTTL = time.Hour
	// momentLength is the time within which several crashes may have one cause other than
	// a request.
	momentLength = 5 * time.Second
	// maxReports bounds the number of crashes that are remembered, and maxVerdicts that of
	// quarantined requests. The oldest is forgotten first.
	maxReports  = 512
	maxVerdicts = 256
)

// Table is the replicated state about requests that crash targets: which requests the
// targets were running at each crash, and which are quarantined. The methods of a replicated
// state machine, Record, Complete, Familiar, Convict, Probe, Expire and Restore, must be called in the same
// order on each replica; times are those of the state machine. Other methods only read. All
// are safe for concurrent use.
//
// Many requests are lost with each crash and only one may be at fault, or none: targets
// that crash together have a common cause, and the request most asked for is lost in each
// of them. So each crash is blamed on the suspect with the strongest evidence. For a
// request that has never completed, each crash counts. For one that has, crashes at the
// same moment count once. A request that completes anywhere after a crash is no longer
// suspect.
type Table struct {
	mu sync.Mutex
	// revision counts all changes, and listVersion those of the quarantined requests.
	revision, listVersion uint64
	reports               map[string]*report // by incarnation
	// suspected is the number of reports in which a request is a suspect.
	suspected map[uint64]int
	verdicts  map[uint64]verdict
	// blame is derived from the reports; see Due.
	blame blame
}

// report is what is known about one crash.
type report struct {
	suspects map[uint64]bool
	familiar map[uint64]bool
	cleared  map[uint64]bool
	// received is the time of the first command that reported the crash.
	received time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{reports: make(map[string]*report), suspected: make(map[uint64]int), verdicts: make(map[uint64]verdict)}
}

// Record adds crashes.
func (t *Table) Record(now time.Duration, crashes []protocol.CrashReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range crashes {
		known, ok := t.reports[c.Incarnation]
		if !ok {
			t.dropOldestReport()
			known = &report{suspects: make(map[uint64]bool), familiar: make(map[uint64]bool), cleared: make(map[uint64]bool), received: now}
			t.reports[c.Incarnation] = known
		}
		t.merge(known, c)
	}
	t.revision++
}

// merge adds what c says to a report.
func (t *Table) merge(known *report, c protocol.CrashReport) {
	for _, content := range c.Familiar {
		known.familiar[content] = true
	}
	for _, content := range c.Suspects {
		if len(known.suspects) < maxSuspects && !known.cleared[content] && !known.suspects[content] {
			known.suspects[content] = true
			t.suspected[content]++
		}
	}
}

// clear records that a request is not at fault for a crash.
func (t *Table) clear(r *report, content uint64) {
	if len(r.cleared) < maxSuspects {
		r.cleared[content] = true
	}
	if r.suspects[content] {
		delete(r.suspects, content)
		t.unsuspect(content)
	}
}

func (t *Table) unsuspect(content uint64) {
	t.suspected[content]--
	if t.suspected[content] <= 0 {
		delete(t.suspected, content)
	}
}

// dropOldestReport makes room for another report.
func (t *Table) dropOldestReport() {
	if len(t.reports) >= maxReports {
		t.dropReport(oldest(t.reports, func(r *report) time.Duration { return r.received }))
	}
}

func (t *Table) dropReport(incarnation string) {
	for content := range t.reports[incarnation].suspects {
		t.unsuspect(content)
	}
	delete(t.reports, incarnation)
	t.revision++
}

// oldest returns the key with the earliest time, the smallest one among equals.
func oldest[K cmp.Ordered, V any](entries map[K]V, at func(V) time.Duration) K {
	var first K
	found := false
	for key, v := range entries {
		if !found || cmp.Or(cmp.Compare(at(v), at(entries[first])), cmp.Compare(key, first)) < 0 {
			first, found = key, true
		}
	}
	return first
}

// Complete records that requests have completed. They are not at fault for the crashes so
// far, and no longer quarantined.
func (t *Table) Complete(contents []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, content := range contents {
		if t.suspected[content] > 0 {
			for _, r := range t.reports {
				if r.suspects[content] {
					t.clear(r, content)
				}
			}
		}
		t.release(content)
	}
	t.revision++
}

// Familiar records that requests had completed before they were lost.
func (t *Table) Familiar(contents []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, content := range contents {
		for _, r := range t.reports {
			if r.suspects[content] {
				r.familiar[content] = true
			}
		}
	}
	t.revision++
}

// isFamiliar reports whether a suspect is known to have completed before.
func (t *Table) isFamiliar(content uint64) bool {
	for _, r := range t.reports {
		if r.suspects[content] && r.familiar[content] {
			return true
		}
	}
	return false
}

func (t *Table) release(content uint64) {
	if _, listed := t.verdicts[content]; listed {
		delete(t.verdicts, content)
		t.listVersion++
	}
}

// Convict quarantines requests that explain enough crashes. One that no longer does is left
// out.
func (t *Table) Convict(now time.Duration, contents []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	explained := t.explainedCrashes()
	for _, content := range contents {
		if _, listed := t.verdicts[content]; listed || explained[content] < crashesToQuarantine {
			continue
		}
		if len(t.verdicts) >= maxVerdicts {
			t.release(oldest(t.verdicts, func(v verdict) time.Duration { return v.Since }))
		}
		t.verdicts[content] = verdict{Since: now}
		t.listVersion++
	}
	t.revision++
}

// Expire forgets old crashes and verdicts.
func (t *Table) Expire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation, r := range t.reports {
		if now-r.received >= reportTTL {
			t.dropReport(incarnation)
		}
	}
	for content, v := range t.verdicts {
		if now-v.Since >= verdictTTL {
			t.release(content)
		}
	}
}

// Update returns the quarantined requests and the probes of a holder, or nil if they are
// those of the epoch and version that request names. epoch is that of the replica.
func (t *Table) Update(now time.Duration, epoch, holder string, request protocol.RenewRequest) *protocol.QuarantineUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch == request.QuarantineEpoch && request.QuarantineVersion == t.listVersion {
		return nil
	}
	return &protocol.QuarantineUpdate{Epoch: epoch, Version: t.listVersion, Contents: slices.Sorted(maps.Keys(t.verdicts)), Probes: t.probesOf(now, holder)}
}

// lacks reports whether Record would change what is known about a crash.
func (t *Table) lacks(c protocol.CrashReport) bool {
	known, ok := t.reports[c.Incarnation]
	if !ok {
		return true
	}
	for _, content := range c.Suspects {
		if !known.suspects[content] && !known.cleared[content] && len(known.suspects) < maxSuspects {
			return true
		}
	}
	return slices.ContainsFunc(c.Familiar, func(content uint64) bool { return !known.familiar[content] })
}

// concerns reports whether Complete would change anything for a request.
func (t *Table) concerns(content uint64) bool {
	_, listed := t.verdicts[content]
	return listed || t.suspected[content] > 0
}
