package quarantine

import (
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
	// clearedFor is how long a completed request is cleared of crashes that are
	// reported later: the report of a crash may be delayed.
	clearedFor = 2 * time.Second
	// momentLength is the time within which several crashes may have one cause other than
	// a request.
	momentLength = 5 * time.Second
	// blameInterval is the least time between two computations of the blame.
	blameInterval = 100 * time.Millisecond
	// maxReports bounds the number of crashes that are remembered. The oldest is
	// forgotten first.
	maxReports = 512
)

// Table collects on a control replica which requests crashed targets were running, and
// determines which of them no target may get. It is soft state: daemons report again to
// a replica that has restarted, and replicas exchange reports. Its methods are safe for
// concurrent use.
//
// Many requests are lost with each crash and only one may be at fault, or none: targets
// that crash together have a common cause, and the request most asked for is lost in each
// of them. So each crash is blamed on the suspect with the strongest evidence. For a
// request that has never completed, each crash counts. For one that has, crashes at the
// same moment count once. A request that completes anywhere after a crash is no longer
// suspect.
type Table struct {
	epoch string

	mu      sync.Mutex
	version uint64
	reports map[string]*report // by incarnation
	// completed are requests that have completed lately, and when.
	completed map[uint64]time.Time
	// blamedVersion is the version for which the blame was last computed, at blamedAt.
	blamedVersion uint64
	blamedAt      time.Time
	// convictable holds the requests that explain enough crashes, and since when.
	convictable map[uint64]time.Time
	// listed are the quarantined requests, sorted; listVersion counts their changes.
	listed      []uint64
	listVersion uint64
}

// report is what is known about one crash.
type report struct {
	suspects map[uint64]bool
	familiar map[uint64]bool
	cleared  map[uint64]bool
	received time.Time
	version  uint64
}

// NewTable returns an empty table. epoch must be unique for each start of each replica.
func NewTable(epoch string) *Table {
	return &Table{epoch: epoch, reports: make(map[string]*report), completed: make(map[uint64]time.Time), convictable: make(map[uint64]time.Time)}
}

// Merge adds reports of daemons or of another replica. A negative age counts as 0.
func (t *Table) Merge(now time.Time, reports []protocol.CrashReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if r.Age >= reportTTL {
			continue
		}
		known, ok := t.reports[r.Incarnation]
		if !ok {
			t.dropOldest()
			known = &report{suspects: make(map[uint64]bool), familiar: make(map[uint64]bool), cleared: make(map[uint64]bool), received: now.Add(-max(r.Age, 0))}
			t.reports[r.Incarnation] = known
		}
		changed := known.merge(r) || !ok
		if t.clear(known, now) || changed {
			t.version++
			known.version = t.version
		}
	}
}

// merge reports whether r changes the report.
func (k *report) merge(r protocol.CrashReport) bool {
	changed := false
	for _, content := range r.Cleared {
		changed = changed || !k.cleared[content]
		k.cleared[content] = true
		delete(k.suspects, content)
	}
	for _, content := range r.Familiar {
		changed = changed || !k.familiar[content]
		k.familiar[content] = true
	}
	for _, content := range r.Suspects {
		if !k.cleared[content] && !k.suspects[content] {
			k.suspects[content] = true
			changed = true
		}
	}
	return changed
}

// dropOldest makes room for another report.
func (t *Table) dropOldest() {
	if len(t.reports) < maxReports {
		return
	}
	oldest := ""
	for incarnation, r := range t.reports {
		if oldest == "" || r.received.Before(t.reports[oldest].received) {
			oldest = incarnation
		}
	}
	delete(t.reports, oldest)
}

// Completed records that requests have completed. They are cleared of the crashes so
// far.
func (t *Table) Completed(now time.Time, contents []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.completed, func(_ uint64, at time.Time) bool { return now.Sub(at) >= clearedFor })
	for _, content := range contents {
		t.completed[content] = now
		for _, r := range t.reports {
			if r.suspects[content] && r.merge(protocol.CrashReport{Cleared: []uint64{content}}) {
				t.version++
				r.version = t.version
			}
		}
	}
}

// clear clears the requests that have completed lately of a crash. It reports whether
// that changed the report.
func (t *Table) clear(r *report, now time.Time) bool {
	var cleared []uint64
	for content := range r.suspects {
		if at, ok := t.completed[content]; ok && now.Sub(at) < clearedFor {
			cleared = append(cleared, content)
		}
	}
	return r.merge(protocol.CrashReport{Cleared: cleared})
}

// Changes returns the reports that have changed since a version of an epoch, and the
// current version.
func (t *Table) Changes(now time.Time, epoch string, since uint64) (reports []protocol.CrashReport, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch != t.epoch {
		since = 0
	}
	for incarnation, r := range t.reports {
		if r.version > since {
			reports = append(reports, protocol.CrashReport{
				Incarnation: incarnation, Suspects: slices.Collect(maps.Keys(r.suspects)), Familiar: slices.Collect(maps.Keys(r.familiar)),
				Cleared: slices.Collect(maps.Keys(r.cleared)), Age: now.Sub(r.received),
			})
		}
	}
	return reports, t.version
}

// Update returns the quarantined requests, or nil if they are those of the given epoch
// and version.
func (t *Table) Update(now time.Time, epoch string, version uint64) *protocol.QuarantineUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.convict(now)
	if epoch == t.epoch && version == t.listVersion {
		return nil
	}
	return &protocol.QuarantineUpdate{Epoch: t.epoch, Version: t.listVersion, Contents: t.listed}
}

// convict determines the quarantined requests.
func (t *Table) convict(now time.Time) {
	t.expire(now)
	t.blame(now)
	var listed []uint64
	for content, since := range t.convictable {
		if now.Sub(since) >= confirmDelay {
			listed = append(listed, content)
		}
	}
	slices.Sort(listed)
	if !slices.Equal(listed, t.listed) {
		t.listed = listed
		t.listVersion++
	}
}

// expire forgets old crashes.
func (t *Table) expire(now time.Time) {
	for incarnation, r := range t.reports {
		if now.Sub(r.received) >= reportTTL {
			delete(t.reports, incarnation)
			t.version++
		}
	}
}

// blame determines which requests explain enough crashes.
func (t *Table) blame(now time.Time) {
	if t.blamedVersion == t.version || now.Sub(t.blamedAt) < blameInterval {
		return
	}
	t.blamedVersion, t.blamedAt = t.version, now
	explained := t.explainedCrashes()
	maps.DeleteFunc(t.convictable, func(content uint64, _ time.Time) bool { return explained[content] < crashesToQuarantine })
	for content, crashes := range explained {
		if _, known := t.convictable[content]; !known && crashes >= crashesToQuarantine {
			t.convictable[content] = now
		}
	}
}

// evidence is what speaks against one request.
type evidence struct {
	// crashes are the times of the crashes in which the request was lost, familiar the
	// number of those before which it had completed.
	crashes  []time.Time
	familiar int
	// weight is the number of crashes that count.
	weight int
}

// weigh determines the weight.
func (e *evidence) weigh() {
	e.weight = len(e.crashes)
	if e.familiar > 0 {
		e.weight = moments(e.crashes)
	}
}

// strongerThan reports whether a crash is rather blamed on the request with evidence e
// than on the one with o.
func (e *evidence) strongerThan(o *evidence) bool {
	if o == nil || e.weight != o.weight {
		return o == nil || e.weight > o.weight
	}
	return e.familiar < o.familiar
}

// moments returns the number of times that are momentLength or more after the first one
// of the previous moment.
func moments(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var began time.Time
	for _, at := range times {
		if count == 0 || at.Sub(began) >= momentLength {
			count++
			began = at
		}
	}
	return count
}

// explainedCrashes returns for each request the weight of the crashes that are blamed on
// it.
func (t *Table) explainedCrashes() map[uint64]int {
	against := t.evidence()
	blamed := make(map[uint64]*evidence)
	for _, r := range t.reports {
		var strongest *evidence
		for content := range r.suspects {
			if e := against[content]; e.strongerThan(strongest) {
				strongest = e
			}
		}
		for content := range r.suspects {
			if e := against[content]; strongest.strongerThan(e) {
				continue
			}
			addCrash(blamed, content, r.received, against[content].familiar > 0)
		}
	}
	explained := make(map[uint64]int, len(blamed))
	for content, e := range blamed {
		e.weigh()
		explained[content] = e.weight
	}
	return explained
}

// evidence returns what speaks against each suspect.
func (t *Table) evidence() map[uint64]*evidence {
	against := make(map[uint64]*evidence)
	for _, r := range t.reports {
		for content := range r.suspects {
			addCrash(against, content, r.received, r.familiar[content])
		}
	}
	for _, e := range against {
		e.weigh()
	}
	return against
}

// addCrash adds a crash to the evidence against a request.
func addCrash(all map[uint64]*evidence, content uint64, at time.Time, familiar bool) {
	e := all[content]
	if e == nil {
		e = &evidence{}
		all[content] = e
	}
	e.crashes = append(e.crashes, at)
	if familiar {
		e.familiar++
	}
}
