// Package report turns the raw figures of runs into the figures of the brief,
// and writes them as a table, as JSON and as a plot.
package report

import (
	"time"

	"github.com/teaselrack/teaselrack/bench/simulation"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// recovered is the part of the requests that must be answered at the first
	// attempt for a service to count as recovered.
	recovered = 0.95
	// recoverySpan is the time over which that part is taken.
	recoverySpan = 3
	// settleTime is the part of a disturbance in which the policy may adapt; the
	// settled goodput leaves it out.
	settleTime = time.Second
)

// Summary holds the figures of one scenario for one version, over all seeds.
type Summary struct {
	Deployment string             `json:"deployment"`
	Scenario   string             `json:"scenario"`
	Version    simulation.Version `json:"version"`
	Seeds      int                `json:"seeds"`
	// Goodput is the number of whole requests answered a second during the
	// disturbance, and Settled the same without its first second.
	Goodput float64 `json:"goodput"`
	Settled float64 `json:"settled"`
	// Recovery is the longest time, over the seeds, from the end of the
	// disturbance until at least 95% of new requests are answered at the first
	// attempt, for good; -1 where that was not reached.
	Recovery float64 `json:"recovery_seconds"`
	// Tail is the least part, over the seeds, of new requests answered at the
	// first attempt two seconds after the disturbance and later.
	Tail float64 `json:"tail"`
	// Worst is the worst-served team's part of its fair share during the
	// disturbance.
	Worst float64 `json:"worst_team"`
	// Wrongful is the part of requests refused or failed at the first attempt
	// although the load was within the capacity or the team within its share.
	Wrongful float64 `json:"wrongful"`
	// Wasted is the part of target time spent on requests that failed.
	Wasted float64 `json:"wasted"`
	// Retries is the number of extra attempts of hops for each attempt of a
	// caller.
	Retries float64 `json:"retries"`
	// MaxExtra is the largest number of extra attempts of one request.
	MaxExtra int `json:"max_extra"`
	// Violations counts requests above what a cold target bears; Unseen counts
	// those before the change could be seen from outside.
	Violations int `json:"violations"`
	Unseen     int `json:"unseen"`
	// Served is the part of whole requests answered during the disturbance, by
	// importance from critical to low.
	Served [version.ImportanceCount]float64 `json:"served"`
	// Course is the mean goodput of each tenth of a second.
	Course []float64 `json:"course"`
}

// Summarize makes the summary of the runs of one scenario, one for each seed.
func Summarize(d *simulation.Deployment, s *simulation.Scenario, v simulation.Version, runs []*simulation.Figures) Summary {
	r := Summary{Deployment: d.Name, Scenario: s.Name, Version: v, Seeds: len(runs)}
	r.Goodput = goodput(runs, s.From, s.To)
	r.Settled = goodput(runs, s.From+settleTime, s.To)
	r.Recovery, r.Tail = recovery(s, runs)
	sum := sumCells(runs)
	r.Worst = worst(sum, s.From, s.To)
	r.Wrongful = wrongful(sum, s.From, s.To)
	r.Course = course(runs)
	var attempts, retries int
	var worked, wasted time.Duration
	for _, f := range runs {
		attempts += f.Attempts
		retries += f.Retries
		worked += f.Worked
		wasted += f.Wasted
		r.MaxExtra = max(r.MaxExtra, f.MaxExtra)
		r.Violations += f.Violations
		r.Unseen += f.Early
	}
	r.Wasted = ratio(float64(wasted), float64(worked))
	r.Retries = ratio(float64(retries), float64(attempts))
	for i := range r.Served {
		r.Served[i] = served(d, runs, version.Critical+version.Importance(i))
	}
	return r
}

func served(d *simulation.Deployment, runs []*simulation.Figures, i version.Importance) float64 {
	var offered, done int
	for _, f := range runs {
		o, n := f.ByImportance(d, simulation.During, i)
		offered += o
		done += n
	}
	return ratio(float64(done), float64(offered))
}

func goodput(runs []*simulation.Figures, from, to time.Duration) float64 {
	n := 0
	for _, f := range runs {
		for _, c := range f.Completed[from/simulation.Bucket : to/simulation.Bucket] {
			n += c
		}
	}
	return float64(n) / float64(len(runs)) / (to - from).Seconds()
}

func course(runs []*simulation.Figures) []float64 {
	c := make([]float64, len(runs[0].Completed))
	for _, f := range runs {
		for i, n := range f.Completed {
			c[i] += float64(n) / float64(len(runs)) / simulation.Bucket.Seconds()
		}
	}
	return c
}

// recovery returns the longest recovery time and the least tail.
func recovery(s *simulation.Scenario, runs []*simulation.Figures) (longest, tail float64) {
	tail = 1
	for _, f := range runs {
		t := recoveryOf(s, f)
		if t < 0 || longest < 0 {
			longest = -1
		} else {
			longest = max(longest, t)
		}
		tail = min(tail, tailOf(f))
	}
	return longest, tail
}

// recoveryOf is the time after which every span is recovered.
func recoveryOf(s *simulation.Scenario, f *simulation.Figures) float64 {
	first := int(s.To / simulation.Bucket)
	last := int((s.Length - simulation.TailTime) / simulation.Bucket)
	since := last
	for b := last - recoverySpan; b >= first; b-- {
		if !isRecovered(f, b) {
			break
		}
		since = b
	}
	if since == last {
		return -1
	}
	return float64(since-first) * simulation.Bucket.Seconds()
}

func isRecovered(f *simulation.Figures, bucket int) bool {
	var offered, prompt int
	for b := bucket; b < bucket+recoverySpan; b++ {
		offered += f.Offered[b]
		prompt += f.Prompt[b]
	}
	return float64(prompt) >= recovered*float64(offered)
}

func tailOf(f *simulation.Figures) float64 {
	var offered, prompt int
	for _, row := range f.Cells {
		for _, c := range row {
			offered += c.Offered[simulation.After]
			prompt += c.Prompt[simulation.After]
		}
	}
	return ratio(float64(prompt), float64(offered))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
