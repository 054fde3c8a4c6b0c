package relay

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// bounds are the upper bounds of the latency histograms.
var bounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// Histogram counts latencies. Its methods may be called from any goroutine.
type Histogram struct {
	counts [13]atomic.Uint64 // one for each bound and one above
	sum    atomic.Int64
}

// Observe counts one latency.
func (h *Histogram) Observe(d time.Duration) {
	at := sort.Search(len(bounds), func(i int) bool { return d <= bounds[i] })
	h.counts[at].Add(1)
	h.sum.Add(int64(d))
}

func (h *Histogram) write(w io.Writer, name string) {
	total := uint64(0)
	for i := range h.counts {
		total += h.counts[i].Load()
		bound := "+Inf"
		if i < len(bounds) {
			bound = strconv.FormatFloat(bounds[i].Seconds(), 'g', -1, 64)
		}
		_, _ = fmt.Fprintf(w, "%s_bucket{le=%q} %d\n", name, bound, total)
	}
	_, _ = fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, time.Duration(h.sum.Load()).Seconds(), name, total)
}

// Stats are the counters and histograms of one process.
type Stats struct {
	// Requests is the latency of requests that got an answer of a target, at
	// their entry; Refusals that of the others.
	Requests, Refusals Histogram
	// Target is the latency of the target beside this process.
	Target Histogram

	mu       sync.Mutex
	statuses map[int]uint64
	kinds    map[fault.Kind]uint64
}

// NewStats returns counters at zero.
func NewStats() *Stats {
	return &Stats{statuses: make(map[int]uint64), kinds: make(map[fault.Kind]uint64)}
}

// Answered counts the answer of a target.
func (s *Stats) Answered(status int, took time.Duration) {
	s.Requests.Observe(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[status]++
}

// Failed counts a request that this system refused or gave up.
func (s *Stats) Failed(kind fault.Kind, took time.Duration) {
	s.Refusals.Observe(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[kind]++
}

// Write writes the metrics as text, one a line.
func (s *Stats) Write(w io.Writer) {
	s.Requests.write(w, "teaselrack_request_seconds")
	s.Refusals.write(w, "teaselrack_refusal_seconds")
	s.Target.write(w, "teaselrack_target_seconds")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range sortedKeys(s.statuses) {
		_, _ = fmt.Fprintf(w, "teaselrack_answers_total{status=\"%d\"} %d\n", status, s.statuses[status])
	}
	for _, kind := range sortedKeys(s.kinds) {
		_, _ = fmt.Fprintf(w, "teaselrack_failures_total{kind=%q} %d\n", kind, s.kinds[kind])
	}
}

func sortedKeys[K int | fault.Kind](m map[K]uint64) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
