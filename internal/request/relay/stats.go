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

// latencyBounds are the upper bounds of the buckets of latency histograms.
var latencyBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// Histogram counts latencies in buckets. It is safe for concurrent use.
type Histogram struct {
	counts [13]atomic.Uint64 // one per bound, and one for +Inf
	sum    atomic.Int64      // of all latencies, in nanoseconds
}

// Observe adds one latency.
func (h *Histogram) Observe(d time.Duration) {
	bucket := sort.Search(len(latencyBounds), func(i int) bool { return d <= latencyBounds[i] })
	h.counts[bucket].Add(1)
	h.sum.Add(int64(d))
}

func (h *Histogram) write(w io.Writer, name string) {
	total := uint64(0)
	for i := range h.counts {
		total += h.counts[i].Load()
		bound := "+Inf"
		if i < len(latencyBounds) {
			bound = strconv.FormatFloat(latencyBounds[i].Seconds(), 'g', -1, 64)
		}
		_, _ = fmt.Fprintf(w, "%s_bucket{le=%q} %d\n", name, bound, total)
	}
	_, _ = fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, time.Duration(h.sum.Load()).Seconds(), name, total)
}

// Stats holds the counters and histograms of one daemon. It is safe for
// concurrent use.
type Stats struct {
	// Responses is the latency of requests that got a response from a target,
	// measured at the entry. Failures is the latency of all other requests.
	Responses, Failures Histogram
	// Target is the latency of the local target.
	Target Histogram

	mu           sync.Mutex
	statuses     map[int]uint64
	failureKinds map[fault.Kind]uint64
}

// NewStats returns Stats with all counters at zero.
func NewStats() *Stats {
	return &Stats{statuses: make(map[int]uint64), failureKinds: make(map[fault.Kind]uint64)}
}

// CountResponse records a request that got a response from a target.
func (s *Stats) CountResponse(status int, took time.Duration) {
	s.Responses.Observe(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[status]++
}

// CountFailure records a request that was rejected or failed without a response
// from a target.
func (s *Stats) CountFailure(kind fault.Kind, took time.Duration) {
	s.Failures.Observe(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failureKinds[kind]++
}

// Write writes the metrics in the Prometheus text format.
func (s *Stats) Write(w io.Writer) {
	s.Responses.write(w, "teaselrack_request_seconds")
	s.Failures.write(w, "teaselrack_refusal_seconds")
	s.Target.write(w, "teaselrack_target_seconds")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range sortedKeys(s.statuses) {
		_, _ = fmt.Fprintf(w, "teaselrack_answers_total{status=\"%d\"} %d\n", status, s.statuses[status])
	}
	for _, kind := range sortedKeys(s.failureKinds) {
		_, _ = fmt.Fprintf(w, "teaselrack_failures_total{kind=%q} %d\n", kind, s.failureKinds[kind])
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
