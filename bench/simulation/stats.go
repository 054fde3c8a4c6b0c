package simulation

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/version"
)

// BucketWidth is the interval over which counts are summed for time series.
const BucketWidth = 100 * time.Millisecond

// Stats are the raw measurements of one run.
type Stats struct {
	// Offered counts client requests by the time at which they were first sent,
	// OnFirstAttempt those of them whose first attempt succeeded, and Completed
	// the successful ones by the time of the response.
	Offered        []int
	OnFirstAttempt []int
	Completed      []int
	// Cells holds the counts over the whole run, [team][route].
	Cells [][]Cell
	// Attempts counts the attempts of clients, Hops the calls between
	// processes, Retries the extra attempts among those calls.
	Attempts int
	Hops     int
	Retries  int
	// MaxExtraAttempts is the maximum number of extra attempts of one request.
	MaxExtraAttempts int
	// TargetTime is the time that targets worked on requests, WastedTime the
	// part of it spent on requests that failed.
	TargetTime time.Duration
	WastedTime time.Duration
	// Violations counts requests that started above the capacity of a cold
	// target.
	// Undetectable counts those that came before the cold start could be
	// detected from outside; they are not included in Violations.
	Violations   int
	Undetectable int
	// ColdStarts counts the cold starts that the queues began, by reason.
	ColdStarts map[string]int
}

// Cell counts the requests of one team on one route, in each phase and in each
// second of the run.
type Cell struct {
	Offered        [phaseCount]int
	Completed      [phaseCount]int
	OnFirstAttempt [phaseCount]int
	Seconds        [maxSeconds]SecondCounts
}

// SecondCounts counts the requests that were first sent in one second.
type SecondCounts struct {
	Offered   int
	Completed int
}

// maxSeconds is the maximum length of a run in seconds.
const maxSeconds = 16

// Phases of a run, relative to the disturbance. Recovering lasts for
// RecoveryTime after it, Tail for the last TailTime of the run. Requests of the
// tail may be unfinished when the run ends.
const (
	Before = iota
	During
	Recovering
	After
	Tail
	phaseCount
)

func newStats(d *Deployment, length time.Duration) *Stats {
	n := int(length/BucketWidth) + 1
	s := &Stats{ColdStarts: make(map[string]int), Offered: make([]int, n), OnFirstAttempt: make([]int, n), Completed: make([]int, n)}
	s.Cells = make([][]Cell, len(d.Teams))
	for i := range s.Cells {
		s.Cells[i] = make([]Cell, len(d.Routes))
	}
	return s
}

// ByImportance returns the numbers of offered and completed requests of one
// importance that were first sent in one phase.
func (s *Stats) ByImportance(d *Deployment, phase int, i version.Importance) (offered, completed int) {
	for _, row := range s.Cells {
		for r, c := range row {
			if d.Routes[r].Importance == i {
				offered += c.Offered[phase]
				completed += c.Completed[phase]
			}
		}
	}
	return offered, completed
}
