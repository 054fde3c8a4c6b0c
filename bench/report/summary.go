// Package report aggregates the raw statistics of simulation runs, and writes
// them as a table, as JSON and as a plot.
package report

import (
	"time"

	"github.com/teaselrack/teaselrack/bench/simulation"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// recoveredShare is the share of requests that must succeed on the first
	// attempt for a service to count as recovered.
	recoveredShare = 0.95
	// recoveryBuckets is the number of consecutive buckets over which that
	// share is taken.
	recoveryBuckets = 3
	// settleTime is the start of a disturbance, in which the policy may adapt.
	// The settled goodput excludes it.
	settleTime = time.Second
)

// Summary holds the metrics of one scenario with one system under test, over
// all seeds.
type Summary struct {
	Deployment string             `json:"deployment"`
	Scenario   string             `json:"scenario"`
	Variant    simulation.Variant `json:"version"`
	Seeds      int                `json:"seeds"`
	// Goodput is the mean number of client requests completed per second during
	// the disturbance. Settled is the same without the first second.
	Goodput float64 `json:"goodput"`
	Settled float64 `json:"settled"`
	// Recovery is the longest time in seconds, over the seeds, from the end of
	// the disturbance until at least 95% of new requests succeed on the first
	// attempt and continue to do so; -1 where that was not reached.
	Recovery float64 `json:"recovery_seconds"`
	// AfterRecovery is the lowest share, over the seeds, of new requests that
	// succeeded on the first attempt, from two seconds after the disturbance.
	AfterRecovery float64 `json:"tail"`
	// WorstTeam is the ratio of completed requests to the fair share of the
	// worst-served team during the disturbance.
	WorstTeam float64 `json:"worst_team"`
	// Wrongful is the share of requests that were rejected or failed on the
	// first attempt although the load was within the capacity or the team
	// within its share.
	Wrongful float64 `json:"wrongful"`
	// Wasted is the share of target time spent on requests that failed.
	Wasted float64 `json:"wasted"`
	// Retries is the number of extra attempts of hops per attempt of a client.
	Retries float64 `json:"retries"`
	// MaxExtraAttempts is the maximum number of extra attempts of one request.
	MaxExtraAttempts int `json:"max_extra"`
	// Violations counts requests that started above the capacity of a cold
	// target.
	// Undetectable counts those that came before the cold start could be
	// detected from outside; they are not included in Violations.
	Violations   int `json:"violations"`
	Undetectable int `json:"unseen"`
	// Served is the share of client requests completed that were first sent
	// during the disturbance, by importance from critical to low.
	Served [version.ImportanceCount]float64 `json:"served"`
	// GoodputSeries is the mean number of client requests completed per second
	// in each bucket of 100 ms.
	GoodputSeries []float64 `json:"course"`
}

// Summarize returns the summary of the runs of one scenario, one run per seed.
func Summarize(d *simulation.Deployment, s *simulation.Scenario, variant simulation.Variant, runs []*simulation.Stats) Summary {
	r := Summary{Deployment: d.Name, Scenario: s.Name, Variant: variant, Seeds: len(runs)}
	r.Goodput = goodput(runs, s.From, s.To)
	r.Settled = goodput(runs, s.From+settleTime, s.To)
	r.Recovery, r.AfterRecovery = recovery(s, runs)
	sum := sumCells(runs)
	r.WorstTeam = worstTeamShare(sum, s.From, s.To)
	r.Wrongful = wrongfulShare(sum, s.From, s.To)
	r.GoodputSeries = goodputSeries(runs)
	var attempts, retries int
	var targetTime, wastedTime time.Duration
	for _, stats := range runs {
		attempts += stats.Attempts
		retries += stats.Retries
		targetTime += stats.TargetTime
		wastedTime += stats.WastedTime
		r.MaxExtraAttempts = max(r.MaxExtraAttempts, stats.MaxExtraAttempts)
		r.Violations += stats.Violations
		r.Undetectable += stats.Undetectable
	}
	r.Wasted = ratio(float64(wastedTime), float64(targetTime))
	r.Retries = ratio(float64(retries), float64(attempts))
	for i := range r.Served {
		r.Served[i] = served(d, runs, version.Critical+version.Importance(i))
	}
	return r
}

// served returns the share of requests of one importance that were completed, of
// those first sent during the disturbance.
func served(d *simulation.Deployment, runs []*simulation.Stats, i version.Importance) float64 {
	var offered, completed int
	for _, stats := range runs {
		o, n := stats.ByImportance(d, simulation.During, i)
		offered += o
		completed += n
	}
	return ratio(float64(completed), float64(offered))
}

func goodput(runs []*simulation.Stats, from, to time.Duration) float64 {
	n := 0
	for _, stats := range runs {
		for _, c := range stats.Completed[from/simulation.BucketWidth : to/simulation.BucketWidth] {
			n += c
		}
	}
	return float64(n) / float64(len(runs)) / (to - from).Seconds()
}

func goodputSeries(runs []*simulation.Stats) []float64 {
	series := make([]float64, len(runs[0].Completed))
	for _, stats := range runs {
		for i, n := range stats.Completed {
			series[i] += float64(n) / float64(len(runs)) / simulation.BucketWidth.Seconds()
		}
	}
	return series
}

// recovery returns the longest recovery time and the lowest share of requests
// that succeeded on the first attempt after the recovery.
func recovery(s *simulation.Scenario, runs []*simulation.Stats) (longest, afterRecovery float64) {
	afterRecovery = 1
	for _, stats := range runs {
		t := recoveryTime(s, stats)
		if t < 0 || longest < 0 {
			longest = -1
		} else {
			longest = max(longest, t)
		}
		afterRecovery = min(afterRecovery, firstAttemptShareAfterRecovery(stats))
	}
	return longest, afterRecovery
}

// recoveryTime returns the time in seconds from the end of the disturbance
// to the first window of recoveryBuckets from which on all windows are
// recovered, or -1 if the last window is not.
func recoveryTime(s *simulation.Scenario, stats *simulation.Stats) float64 {
	first := int(s.To / simulation.BucketWidth)
	last := int((s.Length - simulation.TailTime) / simulation.BucketWidth)
	since := last
	for b := last - recoveryBuckets; b >= first; b-- {
		if !isRecovered(stats, b) {
			break
		}
		since = b
	}
	if since == last {
		return -1
	}
	return float64(since-first) * simulation.BucketWidth.Seconds()
}

func isRecovered(stats *simulation.Stats, bucket int) bool {
	var offered, onFirstAttempt int
	for b := bucket; b < bucket+recoveryBuckets; b++ {
		offered += stats.Offered[b]
		onFirstAttempt += stats.OnFirstAttempt[b]
	}
	return float64(onFirstAttempt) >= recoveredShare*float64(offered)
}

func firstAttemptShareAfterRecovery(stats *simulation.Stats) float64 {
	var offered, onFirstAttempt int
	for _, row := range stats.Cells {
		for _, c := range row {
			offered += c.Offered[simulation.After]
			onFirstAttempt += c.OnFirstAttempt[simulation.After]
		}
	}
	return ratio(float64(onFirstAttempt), float64(offered))
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
