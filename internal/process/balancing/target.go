// Package balancing selects the target of a request by what this daemon has
// observed of the targets. It does no I/O; time and randomness are passed in.
//
// It is built for targets of one service that differ in speed, for targets that
// respond with errors while their health checks pass, and for traffic between
// failure domains that is expensive. Requests stay in their own failure domain
// while it has capacity. A target that fails more than the others is avoided, and so is
// one that takes so much longer that requests would miss their latency objective, although
// it may have many free slots.
package balancing

import (
	"math"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

const (
	// spillLoad is the number of requests per slot from which requests wait for the
	// target in the local failure domain, so that targets in other failure domains are
	// considered. spillGain is the difference in load above which they are chosen.
	spillLoad = 1.0
	spillGain = 0.3
	// maxHandicap is the handicap from which they are considered too.
	maxHandicap = 0.6
	// reportHalfLife is the half-life of a reported load.
	reportHalfLife = 300 * time.Millisecond
	// calledHalfLife is the half-life of the reported load of called services. Requests
	// that stay away bring no new report.
	calledHalfLife = time.Second
	// failureHalfLife is the half-life of the failure rate.
	failureHalfLife = 2 * time.Second
	// failureWeight is the load added for a target that fails every request, and
	// for a penalized target.
	failureWeight = 4.0
	// rejectionPenalty is how long a target is penalized after it rejected a
	// request.
	rejectionPenalty = 100 * time.Millisecond
)

// Target holds what this daemon knows of one target.
type Target struct {
	// SameDomain is true if the target runs in the failure domain of this
	// daemon.
	SameDomain bool
	// Slots is the number of requests that the target can process at once.
	Slots int
	// Cold is true for a cold target, whose load counts 1 higher.
	Cold bool

	outstanding int
	reported    float64 // load plus the shed level, as of reportedAt
	reportedAt  time.Time
	// byRoute holds the loads of the services that requests of a route call. calledLoad
	// is the one that counts for the request at hand.
	byRoute    map[string]calledLoad
	calledLoad float64
	// delays holds the delay of each route. delay and knownDelay are those of the request
	// at hand, commonDelay is that of the fastest target.
	delays                         map[string]*delay
	delay, knownDelay, commonDelay float64
	failures                       float64 // 0 to 1
	failedAt                       time.Time
	penalizedUntil                 time.Time
	// commonFailures is the failure rate that all targets of the service share.
	commonFailures float64
	// stated is what the target says about itself.
	stated protocol.LatestStatement
	// leaving is the incarnation that last said that it leaves; empty if none did.
	leaving string
}

// RecordLoad records what the target's daemon reported: its load, in running
// and waiting requests per slot, and the fraction of the work on it that it
// wants shed. That fraction counts as load, so that work moves to another
// target before it is shed.
func (t *Target) RecordLoad(now time.Time, load, shed float64) {
	t.reported = load + shed
	t.reportedAt = now
}

// calledLoad is the load of the services that requests of a route call.
type calledLoad struct {
	load float64
	at   time.Time
}

// RecordCalledLoad records what the target's daemon reported for a route whose requests
// make several calls each: the load of the called service in the target's failure domain.
// Where that is full or absent, one request moves instead of all its calls.
func (t *Target) RecordCalledLoad(now time.Time, route string, load float64) {
	if t.byRoute == nil {
		t.byRoute = make(map[string]calledLoad)
	}
	t.byRoute[route] = calledLoad{load, now}
}

// selectRoute makes the load of the services that requests of a route call, and the delay
// of these requests, count.
func (t *Target) selectRoute(now time.Time, route string, objective time.Duration) {
	called := t.byRoute[route]
	t.calledLoad = called.load * decay(now.Sub(called.at), calledHalfLife)
	t.delay, t.knownDelay = 0, 0
	if d, ok := t.delays[route]; ok && objective > 0 {
		t.delay, t.knownDelay = d.estimate(now, objective), d.known(now)
	}
}

// RecordResult updates the failure rate with the result of one request.
func (t *Target) RecordResult(now time.Time, failed bool) {
	t.failures = t.Failures(now)
	t.failedAt = now
	value := 0.0
	if failed {
		value = 1
	}
	const resultWeight = 0.1 // weight of one result in the moving average: about ten results count
	t.failures += resultWeight * (value - t.failures)
}

// Penalize raises the load of the target for d, so that others are preferred.
func (t *Target) Penalize(now time.Time, d time.Duration) { t.penalizedUntil = now.Add(d) }

// RecordRejection penalizes the target for rejectionPenalty.
func (t *Target) RecordRejection(now time.Time) { t.Penalize(now, rejectionPenalty) }

// Failures returns the recent failure rate, from 0 to 1.
func (t *Target) Failures(now time.Time) float64 {
	return t.failures * decay(now.Sub(t.failedAt), failureHalfLife)
}

// Load returns the estimated requests per slot, increased for failures that
// other targets do not share, for a cold target and for a penalized one.
func (t *Target) Load(now time.Time) float64 { return t.usage(now) + t.handicap(now) }

// usage returns the estimated requests per slot, at the target or at the services that
// the request will call.
func (t *Target) usage(now time.Time) float64 {
	slots := float64(max(t.Slots, 1))
	return max(float64(t.outstanding)/slots, t.reported*decay(now.Sub(t.reportedAt), reportHalfLife), t.calledLoad)
}

// handicap returns what is added to the usage of a target because its requests may fail,
// be rejected or come late.
func (t *Target) handicap(now time.Time) float64 {
	handicap := failureWeight*max(t.Failures(now)-t.commonFailures, 0) + max(t.delay-t.commonDelay, 0)
	if t.Cold {
		handicap++
	}
	if now.Before(t.penalizedUntil) {
		handicap += failureWeight
	}
	return handicap
}

// hasRoom reports whether nothing suggests to look for a target elsewhere.
func (t *Target) hasRoom(now time.Time) bool {
	return t.usage(now) < spillLoad && t.handicap(now) < maxHandicap
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// Choose returns the index of the selected target, or -1 if there is none.
// excluded reports which targets must not be used. draw returns a uniform
// random number in [0, n).
func Choose(now time.Time, targets []*Target, excluded func(i int) bool, draw func(n int) int) int {
	failures, delay := commonFailures(now, targets), commonDelay(targets)
	for _, t := range targets {
		t.commonFailures, t.commonDelay = failures, delay
	}
	local := pickOfTwo(now, targets, func(i int) bool { return excluded(i) || !targets[i].SameDomain }, draw)
	if local >= 0 && targets[local].hasRoom(now) {
		return local
	}
	remote := pickOfTwo(now, targets, func(i int) bool { return excluded(i) || targets[i].SameDomain }, draw)
	switch {
	case local < 0:
		return remote
	case remote < 0:
		return local
	case targets[remote].Load(now)+spillGain < targets[local].Load(now):
		return remote
	}
	return local
}

// commonFailures returns the failure rate of the best target. Failures that all
// targets share are no reason to choose another one.
func commonFailures(now time.Time, targets []*Target) float64 {
	common := 1.0
	for _, t := range targets {
		common = min(common, t.Failures(now))
	}
	return common
}

// commonDelay returns the delay of the fastest target.
func commonDelay(targets []*Target) float64 {
	common := math.Inf(1)
	for _, t := range targets {
		common = min(common, t.knownDelay)
	}
	return common
}

// pickOfTwo returns the index of the less loaded of two random targets, or -1
// if all are excluded. The random draw keeps daemons with the same view of
// the load from all choosing the same target.
func pickOfTwo(now time.Time, targets []*Target, excluded func(i int) bool, draw func(n int) int) int {
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
