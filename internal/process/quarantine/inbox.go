package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

const (
	// inboxTTL is how long an inbox keeps a crash that is not recorded.
	inboxTTL = time.Minute
	// clearedFor is how long a completed request is cleared of crashes that are
	// reported later: the report of a crash may be delayed.
	clearedFor = 2 * time.Second
	// maxPendingCrashes bounds the crashes that are recorded at once.
	maxPendingCrashes = 32
	// familiarFor is how long an inbox remembers that a lost request had completed before.
	familiarFor = 10 * time.Second
	// maxCompleted bounds the completed requests that an inbox remembers, and the familiar
	// ones, and maxRefused the refused ones. refusedFor is how long a refused one is
	// remembered.
	maxCompleted = 16384
	maxRefused   = 256
	refusedFor   = time.Second
)

// Inbox holds what daemons have reported to one replica until the replicated table has
// it. It is lost with the process: daemons report again to a replica that has restarted.
// Its methods are safe for concurrent use.
type Inbox struct {
	// Added receives a value when something is added.
	Added chan struct{}

	mu      sync.Mutex
	crashes map[string]reportedCrash // by incarnation
	// completed are requests that have completed lately, and when.
	completed map[uint64]time.Time
	// familiar are lost requests that had completed before, and when that was reported.
	familiar map[uint64]time.Time
	// refused are quarantined requests that a daemon could probe.
	refused map[uint64]refusal
}

type refusal struct {
	holder string
	at     time.Time
}

type reportedCrash struct {
	report   protocol.CrashReport
	received time.Time
}

// NewInbox returns an empty inbox.
func NewInbox() *Inbox {
	return &Inbox{Added: make(chan struct{}, 1), crashes: make(map[string]reportedCrash), completed: make(map[uint64]time.Time), familiar: make(map[uint64]time.Time), refused: make(map[uint64]refusal)}
}

// Add adds what a daemon has reported in a renewal. holder is its name from its start to
// its end.
func (i *Inbox) Add(now time.Time, holder string, r protocol.RenewRequest) {
	if len(r.Crashes) == 0 && len(r.Completed) == 0 && len(r.Familiar) == 0 && len(r.Refused) == 0 {
		return
	}
	i.mu.Lock()
	for _, c := range r.Crashes {
		if _, known := i.crashes[c.Incarnation]; !known && len(i.crashes) >= maxReports {
			continue
		}
		i.crashes[c.Incarnation] = reportedCrash{c, now}
	}
	for _, content := range r.Completed {
		if len(i.completed) < maxCompleted {
			i.completed[content] = now
		}
	}
	for _, content := range r.Familiar {
		if len(i.familiar) < maxCompleted {
			i.familiar[content] = now
		}
	}
	for _, content := range r.Refused {
		if len(i.refused) < maxRefused {
			i.refused[content] = refusal{holder, now}
		}
	}
	i.mu.Unlock()
	select {
	case i.Added <- struct{}{}:
	default:
	}
}

// Pending returns what the table does not have yet, and the probes that it may grant at
// the time tableNow of the state machine. ok is false if there is nothing.
func (i *Inbox) Pending(now time.Time, t *Table, tableNow time.Duration) (pending protocol.CrashEvidence, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	maps.DeleteFunc(i.completed, func(_ uint64, at time.Time) bool { return now.Sub(at) >= clearedFor })
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation, c := range i.crashes {
		if !t.lacks(c.report) || now.Sub(c.received) >= inboxTTL {
			delete(i.crashes, incarnation)
			continue
		}
		pending.Crashes = append(pending.Crashes, c.report)
	}
	slices.SortFunc(pending.Crashes, func(a, b protocol.CrashReport) int {
		pending.Crashes = pending.Crashes[:min(len(pending.Crashes), maxPendingCrashes)]
		return i.crashes[a.Incarnation].received.Compare(i.crashes[b.Incarnation].received)
	})
	for content := range i.completed {
		if t.concerns(content) {
			pending.Completed = append(pending.Completed, content)
		}
	}
	maps.DeleteFunc(i.familiar, func(_ uint64, at time.Time) bool { return now.Sub(at) >= familiarFor })
	for content := range i.familiar {
		if t.suspected[content] > 0 && !t.isFamiliar(content) {
			pending.Familiar = append(pending.Familiar, content)
		}
	}
	maps.DeleteFunc(i.refused, func(_ uint64, r refusal) bool { return now.Sub(r.at) >= refusedFor })
	for content, r := range i.refused {
		if v, listed := t.verdicts[content]; listed && v.mayProbe(tableNow) {
			pending.Probes = append(pending.Probes, protocol.ProbeRequest{Content: content, Holder: r.holder})
		}
	}
	return pending, len(pending.Crashes) > 0 || len(pending.Completed) > 0 || len(pending.Familiar) > 0 || len(pending.Probes) > 0
}
