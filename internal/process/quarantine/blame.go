package quarantine

import (
	"maps"
	"slices"
	"time"
)

// blame is which requests explain enough crashes.
type blame struct {
	// revision is that of the table for which it was determined.
	revision uint64
	// since is from when a request has explained enough crashes.
	since map[uint64]time.Duration
}

// Due returns the requests that have explained enough crashes for confirmDelay and are not
// quarantined yet, and whether Expire would forget anything.
func (t *Table) Due(now time.Duration) (contents []uint64, expired bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateBlame(now)
	for content, since := range t.blame.since {
		if _, listed := t.verdicts[content]; !listed && now-since >= confirmDelay {
			contents = append(contents, content)
		}
	}
	slices.Sort(contents)
	for _, r := range t.reports {
		expired = expired || now-r.received >= reportTTL
	}
	for _, v := range t.verdicts {
		expired = expired || now-v.Since >= verdictTTL
	}
	return contents, expired
}

// Watched reports whether there is anything that Due may return.
func (t *Table) Watched() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.reports) > 0 || len(t.verdicts) > 0
}

func (t *Table) updateBlame(now time.Duration) {
	if t.blame.revision == t.revision {
		return
	}
	t.blame.revision = t.revision
	explained := t.explainedCrashes()
	if t.blame.since == nil {
		t.blame.since = make(map[uint64]time.Duration)
	}
	maps.DeleteFunc(t.blame.since, func(content uint64, _ time.Duration) bool { return explained[content] < crashesToQuarantine })
	for content, crashes := range explained {
		if _, known := t.blame.since[content]; !known && crashes >= crashesToQuarantine {
			t.blame.since[content] = now
		}
	}
}

// evidence is what speaks against one request.
type evidence struct {
	// crashes are the times of the crashes in which the request was lost, familiar the
	// number of those before which it had completed.
	crashes  []time.Duration
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
func moments(times []time.Duration) int {
	slices.Sort(times)
	count := 0
	var began time.Duration
	for _, at := range times {
		if count == 0 || at-began >= momentLength {
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
func addCrash(all map[uint64]*evidence, content uint64, at time.Duration, familiar bool) {
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
