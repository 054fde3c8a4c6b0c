package simulation

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/version"
)

// Bucket is the time over which figures are summed for the course of a run.
const Bucket = 100 * time.Millisecond

// Figures are the raw figures of one run.
type Figures struct {
	// Offered counts whole requests by the time at which they were first sent,
	// Prompt those of them whose first attempt was answered, and Completed the
	// answered ones by the time of the answer.
	Offered   []int
	Prompt    []int
	Completed []int
	// Cells count over the run, [team][route].
	Cells [][]Cell
	// Attempts counts the attempts of callers, Hops the calls between
	// processes, Retries the extra ones among them.
	Attempts int
	Hops     int
	Retries  int
	// MaxExtra is the largest number of extra attempts of one request.
	MaxExtra int
	// Worked and Wasted are target time, in all and for failed requests.
	Worked time.Duration
	Wasted time.Duration
	// Violations counts requests above what a cold target bears; Early those
	// that came before the change could be seen.
	Violations int
	Early      int
	// ColdStarts counts the cold starts that queues decided on, by reason.
	ColdStarts map[string]int
}

// Cell counts the requests of one team on one route, in each phase and in each
// second of the run.
type Cell struct {
	Offered [phases]int
	Done    [phases]int
	Prompt  [phases]int
	Seconds [maxSeconds]Second
}

// Second counts the requests that were first sent in one second.
type Second struct {
	Offered int
	Done    int
}

// maxSeconds bounds the length of a run.
const maxSeconds = 16

// Phases of a run. Requests of the tail may be unfinished when the run ends.
const (
	Before = iota
	During
	Recovering
	After
	Tail
	phases
)

func newFigures(d *Deployment, length time.Duration) *Figures {
	n := int(length/Bucket) + 1
	f := &Figures{ColdStarts: make(map[string]int), Offered: make([]int, n), Prompt: make([]int, n), Completed: make([]int, n)}
	f.Cells = make([][]Cell, len(d.Teams))
	for i := range f.Cells {
		f.Cells[i] = make([]Cell, len(d.Routes))
	}
	return f
}

// ByImportance sums the cells of one phase for one importance.
func (f *Figures) ByImportance(d *Deployment, phase int, i version.Importance) (offered, done int) {
	for _, row := range f.Cells {
		for r, c := range row {
			if d.Routes[r].Importance == i {
				offered += c.Offered[phase]
				done += c.Done[phase]
			}
		}
	}
	return offered, done
}
