// Package placement chooses the target of a request from what this process has
// seen of the targets. It does no I/O; time and randomness come in as
// arguments.
//
// Load pattern: targets of one service differ in speed, some answer with
// errors while their health checks pass, and traffic between failure domains
// is dear. Requests stay in their own failure domain while it has room, and
// leave a target that fails before the others do.
package placement

import (
	"math"
	"time"
)

const (
	// spillLoad is the load of the own failure domain's target from which other
	// failure domains are considered, and spillGain how much less loaded their
	// target must be.
	spillLoad = 0.8
	spillGain = 0.3
	// reportHalfLife is the time in which a reported load loses half of its
	// weight.
	reportHalfLife = 300 * time.Millisecond
	// failureHalfLife is the same for failures.
	failureHalfLife = 2 * time.Second
	// failureWeight is the load that a target which fails every request seems
	// to have on top.
	failureWeight = 4.0
	// refusedFor is how long a target that refused everything is passed over.
	refusedFor = 100 * time.Millisecond
)

// Target is what this process knows of one target.
type Target struct {
	// Own is true where the target stands in the failure domain of this process.
	Own bool
	// Slots is the number of requests that the target bears at once.
	Slots int
	// Cold targets get little.
	Cold bool

	outstanding int
	reported    float64 // load and what is to be shed, at reportedAt
	reportedAt  time.Time
	failures    float64 // 0 to 1
	failedAt    time.Time
	downUntil   time.Time
	// common is the share of failures that all targets of the service have.
	common float64
}

// Sent notes that a request is on its way to the target.
func (t *Target) Sent() { t.outstanding++ }

// Ended notes that a request has ended.
func (t *Target) Ended() { t.outstanding-- }

// Report takes what the daemon beside the target stated: its load, which is the
// requests that run or wait for each slot, and the part of the work on it that it
// wants shed. Work is moved to another target before it is shed, so that part
// counts as load.
func (t *Target) Report(now time.Time, load, shed float64) {
	t.reported = load + shed
	t.reportedAt = now
}

// Result counts whether the target answered.
func (t *Target) Result(now time.Time, failed bool) {
	t.failures = t.Failures(now)
	t.failedAt = now
	value := 0.0
	if failed {
		value = 1
	}
	const share = 0.1 // of one result in the average: about ten results count
	t.failures += share * (value - t.failures)
}

// Down passes the target over for d.
func (t *Target) Down(now time.Time, d time.Duration) { t.downUntil = now.Add(d) }

// Refused passes the target over for a moment.
func (t *Target) Refused(now time.Time) { t.Down(now, refusedFor) }

// Failures returns the share of requests that failed lately.
func (t *Target) Failures(now time.Time) float64 {
	return t.failures * decay(now.Sub(t.failedAt), failureHalfLife)
}

// Load estimates the requests for each slot, failures included.
func (t *Target) Load(now time.Time) float64 {
	slots := float64(max(t.Slots, 1))
	load := max(float64(t.outstanding)/slots, t.reported*decay(now.Sub(t.reportedAt), reportHalfLife))
	load += failureWeight * max(t.Failures(now)-t.common, 0)
	if t.Cold {
		load++
	}
	if now.Before(t.downUntil) {
		load += failureWeight
	}
	return load
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// Choose returns the index of the target to use, -1 where there is none. draw
// returns a uniform number in [0, n). excluded targets are not used.
func Choose(now time.Time, targets []*Target, excluded func(i int) bool, draw func(n int) int) int {
	common := commonFailures(now, targets)
	for _, t := range targets {
		t.common = common
	}
	own := pick(now, targets, func(i int) bool { return excluded(i) || !targets[i].Own }, draw)
	if own >= 0 && targets[own].Load(now) < spillLoad {
		return own
	}
	other := pick(now, targets, func(i int) bool { return excluded(i) || targets[i].Own }, draw)
	switch {
	case own < 0:
		return other
	case other < 0:
		return own
	case targets[other].Load(now)+spillGain < targets[own].Load(now):
		return other
	}
	return own
}

// commonFailures is the share of requests that fail at the best target: what
// fails everywhere is no reason to go elsewhere.
func commonFailures(now time.Time, targets []*Target) float64 {
	common := 1.0
	for _, t := range targets {
		common = min(common, t.Failures(now))
	}
	return common
}

// pick returns the better of two targets drawn at random, so that processes
// that share a view of the load do not all choose the same one.
func pick(now time.Time, targets []*Target, excluded func(i int) bool, draw func(n int) int) int {
	var usable []int
	for i := range targets {
		if !excluded(i) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return -1
	}
	a := usable[draw(len(usable))]
	b := usable[draw(len(usable))]
	if targets[b].Load(now) < targets[a].Load(now) {
		return b
	}
	return a
}
