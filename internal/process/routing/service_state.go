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
	// refreshInterval is how often the targets of a service and the shares of
	// the teams are worked out again.
	refreshInterval = 50 * time.Millisecond
	// spillRatio is how much costlier the own failure domain may be before work
	// goes to another one.
	spillRatio = 1.5
	// tries bounds the random choices that hit an excluded target.
	tries = 4
)

// shard holds what is known of one service.
type shard struct {
	options *Options
	service string

	mu        sync.Mutex
	random    *rand.Rand
	refreshed time.Time
	peers     map[string]*peer
	// all is peers in the order of their names; local and remote are those
	// that may be chosen.
	all, local, remote []*peer
	// passing follows what passes of each importance over all targets; each
	// answer counts, so that a target with little work counts little.
	passing [version.ImportanceCount]passing
	// parts are its values at the last refresh.
	parts    [version.ImportanceCount]float64
	shares   [version.ImportanceCount]shares
	requests uint64
}

func newShard(o *Options, service string) *shard {
	return &shard{
		options: o,
		service: service,
		random:  rand.New(rand.NewPCG(o.Rand(), o.Rand())),
		peers:   make(map[string]*peer),
	}
}

func (s *shard) pick(now time.Time, e *envelope.Envelope, exclude []string) (*peer, protocol.TargetRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	if len(exclude) == 0 {
		s.requests++
	}
	if s.sheds(e, len(exclude) == 0) {
		return nil, protocol.TargetRecord{}, fault.New(fault.Overloaded, "%s is overloaded", s.service)
	}
	p := s.choose(now, importanceOf(e), exclude)
	if p == nil {
		return nil, protocol.TargetRecord{}, fault.New(fault.NoTarget, "no target of %s", s.service)
	}
	p.inFlight++
	return p, p.record, nil
}

// sheds decides by the levels that came back, with each team's fair part. Only
// the root sheds: for deeper hops work was spent on the request already, and
// the queue that they ask decides, whose level the answer must carry.
func (s *shard) sheds(e *envelope.Envelope, first bool) bool {
	i := importanceOf(e) - version.Critical
	if e.Depth > 1 {
		return false
	}
	part := s.partOfTeam(e, int(i), first)
	if part >= 1 {
		return false
	}
	edge := float64(e.Cohort) / envelope.CohortCount
	return edge+s.random.Float64()/envelope.CohortCount >= max(part, probePart)
}

func (s *shard) partOfTeam(e *envelope.Envelope, i int, first bool) float64 {
	d, ok := s.shares[i].teams[e.Team]
	if first {
		d = s.shares[i].arrived(e.Team, s.options.Weight(e.Team))
	} else if !ok {
		return 1
	}
	return d.part
}

// choose takes the better of two random targets of the own failure domain,
// unless the better of two others costs far less.
func (s *shard) choose(now time.Time, i version.Importance, exclude []string) *peer {
	near := s.better(now, i, s.local, exclude)
	far := s.better(now, i, s.remote, exclude)
	switch {
	case near == nil:
		return far
	case far == nil:
		return near
	case near.cost(now, i) > spillRatio*far.cost(now, i):
		return far
	}
	return near
}

func (s *shard) better(now time.Time, i version.Importance, peers []*peer, exclude []string) *peer {
	a := s.oneOf(now, peers, exclude, nil)
	if a == nil {
		return nil
	}
	b := s.oneOf(now, peers, exclude, a)
	if b == nil || a.cost(now, i) <= b.cost(now, i) {
		return a
	}
	return b
}

// oneOf returns a random available target that is neither excluded nor other.
func (s *shard) oneOf(now time.Time, peers []*peer, exclude []string, other *peer) *peer {
	if len(peers) == 0 {
		return nil
	}
	fits := func(p *peer) bool {
		return p != other && p.available(now) && !slices.Contains(exclude, p.record.Instance)
	}
	for range tries {
		p := peers[s.random.IntN(len(peers))]
		if fits(p) {
			return p
		}
	}
	start := s.random.IntN(len(peers))
	for i := range peers {
		p := peers[(start+i)%len(peers)]
		if fits(p) {
			return p
		}
	}
	return nil
}

// refresh takes the current list of targets once a refresh interval.
func (s *shard) refresh(now time.Time) {
	if now.Sub(s.refreshed) < refreshInterval && !s.refreshed.IsZero() {
		return
	}
	s.refreshed = now
	for _, r := range s.options.Targets(s.service) {
		s.list(now, r)
	}
	s.local, s.remote = s.local[:0], s.remote[:0]
	s.all = slices.DeleteFunc(s.all, s.forget)
	for _, p := range s.all {
		s.place(p)
	}
	s.divide(now)
}

// list takes one record; a target that was not usable before begins its ramp.
func (s *shard) list(now time.Time, r protocol.TargetRecord) {
	p, ok := s.peers[r.Instance]
	if !ok {
		p = &peer{}
		s.peers[r.Instance] = p
		at, _ := slices.BinarySearchFunc(s.all, r.Instance, byInstance)
		s.all = slices.Insert(s.all, at, p)
	}
	wasCold := p.record.State == protocol.Cold
	p.record, p.listed = r, true
	usable := r.State != protocol.Leaving && !r.DaemonLeaving && s.options.InService(r)
	if usable && (!p.usable || wasCold && r.State == protocol.Warm) {
		p.since = now
	}
	p.usable = usable
}

// forget drops a peer that is no longer listed and has nothing in flight.
func (s *shard) forget(p *peer) bool {
	if p.listed || p.inFlight > 0 {
		return false
	}
	delete(s.peers, p.record.Instance)
	return true
}

// place puts a peer into the list it belongs to.
func (s *shard) place(p *peer) {
	p.usable = p.usable && p.listed
	p.listed = false
	switch {
	case !p.usable:
	case p.record.FailureDomain == s.options.FailureDomain:
		s.local = append(s.local, p)
	default:
		s.remote = append(s.remote, p)
	}
}

func byInstance(p *peer, instance string) int {
	return strings.Compare(p.record.Instance, instance)
}

// divide works out what passes of each importance, and each team's part of it.
func (s *shard) divide(now time.Time) {
	for i := range s.parts {
		s.parts[i] = s.passing[i].current(now)
		s.shares[i].divide(s.parts[i])
	}
}

// done takes the end of one attempt.
func (s *shard) done(now time.Time, p *peer, i version.Importance, latency time.Duration, err error, level *hop.Level) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.inFlight--
	if level != nil {
		s.passing[i-version.Critical].observe(now, partOf(*level, i), err == nil)
		p.passing[i-version.Critical].observe(now, partOf(*level, i), err == nil)
	}
	switch effectOf(err) {
	case succeeded:
		p.answered(now, latency, false)
	case failed:
		p.answered(now, latency, true)
		s.eject(now, p)
	case leaving:
		p.pause(now, leavingPause)
	case cold:
		p.pause(now, coldPause)
	case neutral:
	}
}

// eject takes p out where it fails more than the others and few enough are out.
func (s *shard) eject(now time.Time, p *peer) {
	out, others, n := 0, 0.0, 0
	for _, v := range s.all {
		if v.ejection.active(now) {
			out++
		}
		if v != p {
			others += v.ejection.failing
			n++
		}
	}
	if n == 0 || !p.ejection.due(others/float64(n)) {
		return
	}
	if out >= (n+ejectDivisor)/ejectDivisor {
		return
	}
	p.since = p.ejection.eject(now)
	s.record(p)
}

func (s *shard) record(p *peer) {
	if s.options.Events == nil {
		return
	}
	s.options.Events.Record(protocol.Event{
		Process: s.options.Instance,
		Name:    "target.ejected",
		Target:  s.service + "/" + p.record.Instance,
	})
}
