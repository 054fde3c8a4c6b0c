package quarantine

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// maxOwnReports bounds the reports that a daemon keeps for replicas that restart.
	maxOwnReports = 16
	// maxSuspects bounds the suspects of one crash.
	maxSuspects = 512
	// reportDelay is the time from a sign of a crash to the renewal that reports it:
	// the other requests that the target was running are lost at the same time.
	// reportInterval is the least time between two such renewals.
	reportDelay    = 20 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// maxRecentLosses bounds the lost requests whose completion a daemon reports, and
	// recentLossTTL how long it does.
	maxRecentLosses = 2048
	recentLossTTL   = time.Minute
	// maxReportedRefusals bounds the refused requests that one renewal names.
	maxReportedRefusals = 16
	// RetryAfter is the time after which the caller of a quarantined request is told
	// to retry.
	RetryAfter = time.Minute
)

// List is what a daemon knows about quarantined requests. Its methods are safe for
// concurrent use.
type List struct {
	now func() time.Time
	log *zap.Logger
	// renew makes the next renewal start at once.
	renew func()

	mu sync.Mutex
	// entries are the quarantined requests. They are kept while no replica replies.
	entries map[Fingerprint]bool
	// probes are those that were granted to this daemon, and refused the quarantined
	// requests that it has refused since the last renewal.
	probes  map[Fingerprint]probe
	refused map[Fingerprint]bool
	// epoch and version are those of the last update.
	epoch   string
	version uint64
	// reports are the crashes of the local target, oldest first. nextReport is the
	// earliest time of the next renewal to report one.
	reports    []*ownReport
	nextReport time.Time
	// familiar holds requests that have completed.
	familiar contentSet
	// losses are requests that were lost lately; completed are those of them that
	// completed since, and completedSent how many the last renewal had.
	losses        map[Fingerprint]time.Time
	completed     []uint64
	completedSent int
	// familiarLosses are requests that were lost since the last renewal, and that had
	// completed before.
	familiarLosses map[Fingerprint]bool
}

// ownReport is the report of one crash of the local target.
type ownReport struct {
	protocol.CrashReport
	// sent is the number of suspects that the last renewal reported. reported is the
	// number that the replica with the current epoch has.
	sent, reported int
}

// NewList returns an empty list. renew is called, without a lock held, when there is a
// crash to report.
func NewList(now func() time.Time, renew func(), log *zap.Logger) *List {
	return &List{now: now, renew: renew, log: log, entries: make(map[Fingerprint]bool), probes: make(map[Fingerprint]probe), refused: make(map[Fingerprint]bool), losses: make(map[Fingerprint]time.Time), familiarLosses: make(map[Fingerprint]bool)}
}

// Check returns an error if no target may get the request. Errors: Quarantined.
func (l *List) Check(content Fingerprint) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.entries[content] {
		return nil
	}
	if len(l.refused) < maxReportedRefusals {
		l.refused[content] = true
	}
	return fault.New(fault.Quarantined, "requests with this content (%s) have crashed %d targets or more", content, crashesToQuarantine)
}

// AddCrash reports suspects of a crash of the local target. It may be called more than
// once for a crash.
func (l *List) AddCrash(incarnation string, suspects []Fingerprint) {
	l.mu.Lock()
	r, known := l.ownReport(incarnation)
	for _, content := range suspects {
		if len(r.Suspects) >= maxSuspects || slices.Contains(r.Suspects, uint64(content)) {
			continue
		}
		r.Suspects = append(r.Suspects, uint64(content))
		if l.familiar.has(content) {
			r.Familiar = append(r.Familiar, uint64(content))
		}
		l.addLoss(content)
	}
	l.scheduleReport()
	l.mu.Unlock()
	if !known {
		l.log.Info("target crashed while it ran requests", zap.String("incarnation", incarnation), zap.Stringers("contents", suspects))
	}
}

// scheduleReport makes a renewal report the crash soon.
func (l *List) scheduleReport() {
	now := l.now()
	if now.Before(l.nextReport) {
		return
	}
	l.nextReport = now.Add(reportInterval)
	time.AfterFunc(reportDelay, l.renew)
}

// ownReport returns the report of a crash, which is added if it is not known yet.
func (l *List) ownReport(incarnation string) (r *ownReport, known bool) {
	for _, r := range l.reports {
		if r.Incarnation == incarnation {
			return r, true
		}
	}
	if len(l.reports) >= maxOwnReports {
		l.reports = l.reports[1:]
	}
	r = &ownReport{CrashReport: protocol.CrashReport{Incarnation: incarnation}}
	l.reports = append(l.reports, r)
	return r, false
}

// Lost records a request that another daemon's target may have crashed under.
func (l *List) Lost(content Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addLoss(content)
	if l.familiar.has(content) && len(l.familiarLosses) < maxSuspects {
		l.familiarLosses[content] = true
	}
}

func (l *List) addLoss(content Fingerprint) {
	now := l.now()
	if len(l.losses) >= maxRecentLosses {
		for other, at := range l.losses {
			if now.Sub(at) > recentLossTTL {
				delete(l.losses, other)
			}
		}
	}
	if len(l.losses) < maxRecentLosses {
		l.losses[content] = now
	}
}

// Completed records that a target has completed a request. If it was lost lately or is
// quarantined, it is reported as not at fault.
func (l *List) Completed(content Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.familiar.add(content)
	at, lost := l.losses[content]
	lost = lost && l.now().Sub(at) <= recentLossTTL
	if !lost && !l.entries[content] {
		return
	}
	delete(l.losses, content)
	if len(l.completed) < maxRecentLosses {
		l.completed = append(l.completed, uint64(content))
	}
}

// Fill adds to a renewal what the replica does not know yet.
func (l *List) Fill(r *protocol.RenewRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.QuarantineEpoch, r.QuarantineVersion = l.epoch, l.version
	for _, own := range l.reports {
		own.sent = len(own.Suspects)
		if own.reported < own.sent {
			r.Crashes = append(r.Crashes, protocol.CrashReport{
				Incarnation: own.Incarnation, Suspects: slices.Clone(own.Suspects), Familiar: slices.Clone(own.Familiar),
			})
		}
	}
	for content := range l.refused {
		r.Refused = append(r.Refused, uint64(content))
	}
	slices.Sort(r.Refused)
	clear(l.refused)
	for content := range l.familiarLosses {
		r.Familiar = append(r.Familiar, uint64(content))
	}
	slices.Sort(r.Familiar)
	clear(l.familiarLosses)
	r.Completed = slices.Clone(l.completed)
	l.completedSent = len(l.completed)
}

// Apply applies the reply to the last renewal. A replica that has restarted, or another
// one, gets all reports again with the next renewal. confirmed says that the replica knows
// everything that was recorded before the renewal; one that does not releases nothing.
func (l *List) Apply(confirmed bool, u *protocol.QuarantineUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed = l.completed[l.completedSent:]
	l.completedSent = 0
	newEpoch := u != nil && u.Epoch != l.epoch
	for _, own := range l.reports {
		own.reported = own.sent
		if newEpoch {
			own.reported = 0
		}
	}
	if u != nil {
		l.epoch, l.version = u.Epoch, u.Version
		l.replace(confirmed, u.Contents)
		l.addProbes(u.Probes)
	}
}

func (l *List) replace(confirmed bool, contents []uint64) {
	listed := make(map[Fingerprint]bool, len(contents))
	for _, c := range contents {
		content := Fingerprint(c)
		listed[content] = true
		if !l.entries[content] {
			l.log.Info("request is quarantined", zap.Stringer("content", content))
		}
		l.entries[content] = true
	}
	if !confirmed {
		// The version is not that of the entries: the next reply has all of them.
		l.version = 0
		return
	}
	for content := range l.entries {
		if !listed[content] {
			delete(l.entries, content)
			delete(l.probes, content)
			l.log.Info("request is no longer quarantined", zap.Stringer("content", content))
		}
	}
}
