package routing

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/hop"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// refreshInterval is the time between two updates of a service's targets
	// and of the teams' shares.
	refreshInterval = 50 * time.Millisecond
	// spillRatio is the ratio of the local target's cost to the remote target's
	// cost above which the remote one, in another failure domain, is preferred.
	spillRatio = 1.5
	// randomTries is the number of random draws before a linear search for an
	// available target.
	randomTries = 4
)

// serviceState holds the state of one service.
type serviceState struct {
	options *Options
	service string

	mu        sync.Mutex
	random    *rand.Rand
	refreshed time.Time
	targets   map[string]*targetStats
	// sorted holds the targets in the order of their instance names; local and
	// remote hold the usable ones in the local failure domain and in the others.
	sorted, local, remote []*targetStats
	// passRates tracks the pass rate of each importance over all targets. Each
	// response counts alike, so that a target with few requests has little
	// weight.
	passRates [version.ImportanceCount]passRate
	// refreshedRates holds the values of passRates at the last refresh.
	refreshedRates [version.ImportanceCount]float64
	shares         [version.ImportanceCount]shares
	requests       uint64
}

func newServiceState(o *Options, service string) *serviceState {
	return &serviceState{
		options: o,
		service: service,
		random:  rand.New(rand.NewPCG(o.Rand(), o.Rand())),
		targets: make(map[string]*targetStats),
	}
}

func (s *serviceState) pick(now time.Time, e *envelope.Envelope, exclude []string) (*targetStats, protocol.TargetRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	if len(exclude) == 0 {
		s.requests++
	}
	if s.sheds(e, len(exclude) == 0) {
		return nil, protocol.TargetRecord{}, fault.New(fault.Overloaded, "service %s is overloaded", s.service)
	}
	t := s.choose(now, importanceOf(e), exclude)
	if t == nil {
		return nil, protocol.TargetRecord{}, fault.New(fault.NoTarget, "no available target of service %s", s.service)
	}
	t.inFlight++
	return t, t.record, nil
}

// sheds reports whether e is shed, by the reported levels and the fair share of
// its team. countDemand is true if e counts as demand of its team. Only the
// root sheds: at deeper hops work was already spent on the request. The
// target's queue decides there, and its level must reach the response.
func (s *serviceState) sheds(e *envelope.Envelope, countDemand bool) bool {
	i := importanceOf(e) - version.Critical
	if e.Depth > 1 {
		return false
	}
	fraction := s.teamFraction(e, int(i), countDemand)
	if fraction >= 1 {
		return false
	}
	position := float64(e.Cohort) / envelope.CohortCount
	return position+s.random.Float64()/envelope.CohortCount >= max(fraction, probeFraction)
}

// teamFraction returns the fraction of the requests of e's team that passes, at
// the importance with index i.
func (s *serviceState) teamFraction(e *envelope.Envelope, i int, countDemand bool) float64 {
	d, ok := s.shares[i].teams[e.Team]
	if countDemand {
		d = s.shares[i].arrived(e.Team, s.options.Weight(e.Team))
	} else if !ok {
		return 1
	}
	return d.fraction
}

// choose selects the better of two random targets in the local failure domain.
// It selects the better of two in other domains instead if that one costs less
// by more than spillRatio. It returns nil if no target is available.
func (s *serviceState) choose(now time.Time, i version.Importance, exclude []string) *targetStats {
	local := s.betterOfTwo(now, i, s.local, exclude)
	remote := s.betterOfTwo(now, i, s.remote, exclude)
	switch {
	case local == nil:
		return remote
	case remote == nil:
		return local
	case local.cost(now, i) > spillRatio*remote.cost(now, i):
		return remote
	}
	return local
}

func (s *serviceState) betterOfTwo(now time.Time, i version.Importance, targets []*targetStats, exclude []string) *targetStats {
	a := s.randomAvailable(now, targets, exclude, nil)
	if a == nil {
		return nil
	}
	b := s.randomAvailable(now, targets, exclude, a)
	if b == nil || a.cost(now, i) <= b.cost(now, i) {
		return a
	}
	return b
}

// randomAvailable returns a random available target that is neither excluded
// nor other.
func (s *serviceState) randomAvailable(now time.Time, targets []*targetStats, exclude []string, other *targetStats) *targetStats {
	if len(targets) == 0 {
		return nil
	}
	fits := func(t *targetStats) bool {
		return t != other && t.available(now) && !slices.Contains(exclude, t.record.Instance)
	}
	for range randomTries {
		t := targets[s.random.IntN(len(targets))]
		if fits(t) {
			return t
		}
	}
	start := s.random.IntN(len(targets))
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		if fits(t) {
			return t
		}
	}
	return nil
}

// refresh updates the list of targets and the teams' shares once per refresh
// interval.
func (s *serviceState) refresh(now time.Time) {
	if now.Sub(s.refreshed) < refreshInterval && !s.refreshed.IsZero() {
		return
	}
	s.refreshed = now
	for _, r := range s.options.Targets(s.service) {
		s.update(now, r)
	}
	s.local, s.remote = s.local[:0], s.remote[:0]
	s.sorted = slices.DeleteFunc(s.sorted, s.removeStale)
	for _, t := range s.sorted {
		s.classify(t)
	}
	s.updateShares(now)
}

// update records one target record. A target that was not usable before, or that
// changed from cold to warm, starts its ramp.
func (s *serviceState) update(now time.Time, r protocol.TargetRecord) {
	t, ok := s.targets[r.Instance]
	if !ok {
		t = &targetStats{}
		s.targets[r.Instance] = t
		at, _ := slices.BinarySearchFunc(s.sorted, r.Instance, byInstance)
		s.sorted = slices.Insert(s.sorted, at, t)
	}
	wasCold := t.record.State == protocol.Cold
	t.record, t.listed = r, true
	usable := r.State != protocol.Leaving && !r.DaemonLeaving && s.options.InService(r)
	if usable && (!t.usable || wasCold && r.State == protocol.Warm) {
		t.inUseSince = now
	}
	t.usable = usable
}

// removeStale removes a target that is no longer listed and has no requests in
// flight. It reports whether it did.
func (s *serviceState) removeStale(t *targetStats) bool {
	if t.listed || t.inFlight > 0 {
		return false
	}
	delete(s.targets, t.record.Instance)
	return true
}

// classify adds a usable target to the local or the remote list. A target that
// is no longer listed is not usable.
func (s *serviceState) classify(t *targetStats) {
	t.usable = t.usable && t.listed
	t.listed = false
	switch {
	case !t.usable:
	case t.record.FailureDomain == s.options.FailureDomain:
		s.local = append(s.local, t)
	default:
		s.remote = append(s.remote, t)
	}
}

func byInstance(t *targetStats, instance string) int {
	return strings.Compare(t.record.Instance, instance)
}

// updateShares recomputes the pass rate of each importance and the fraction of
// it for each team.
func (s *serviceState) updateShares(now time.Time) {
	for i := range s.refreshedRates {
		s.refreshedRates[i] = s.passRates[i].current(now)
		s.shares[i].divide(s.refreshedRates[i])
	}
}

// done records the end of one attempt.
func (s *serviceState) done(now time.Time, t *targetStats, i version.Importance, latency time.Duration, err error, level *hop.Level) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.inFlight--
	if level != nil {
		s.passRates[i-version.Critical].observe(now, passFraction(*level, i), err == nil)
		t.passRates[i-version.Critical].observe(now, passFraction(*level, i), err == nil)
	}
	switch EffectOf(err) {
	case Succeeded:
		t.observe(now, latency, false)
	case Failed:
		t.observe(now, latency, true)
		s.eject(now, t)
	case Leaving:
		t.pause(now, leavingPause)
	case Cold:
		t.pause(now, coldPause)
	case Neutral:
	}
}

// eject ejects t if it fails more than the others and few enough targets are
// ejected.
func (s *serviceState) eject(now time.Time, t *targetStats) {
	ejected, rateSum, otherCount := 0, 0.0, 0
	for _, other := range s.sorted {
		if other.ejection.active(now) {
			ejected++
		}
		if other != t {
			rateSum += other.ejection.failureRate
			otherCount++
		}
	}
	if otherCount == 0 || !t.ejection.shouldEject(rateSum/float64(otherCount)) {
		return
	}
	if ejected >= (otherCount+ejectDivisor)/ejectDivisor {
		return
	}
	t.inUseSince = t.ejection.eject(now)
	s.record(t)
}

// record records the ejection of t as an event.
func (s *serviceState) record(t *targetStats) {
	if s.options.Events == nil {
		return
	}
	s.options.Events.Record(protocol.Event{
		Process: s.options.Instance,
		Name:    "target.ejected",
		Target:  s.service + "/" + t.record.Instance,
	})
}
