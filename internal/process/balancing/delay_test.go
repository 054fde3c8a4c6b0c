package balancing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowTargetLoad replays one daemon that sends requests of a route, with an objective of
// 1.5 s, to a target of its own failure domain and to three far away. None ever fills its
// slots.
type slowTargetLoad struct {
	rng     *rand.Rand
	now     time.Time
	targets []*Target
	// takes is the mean time that each target takes.
	takes   []time.Duration
	running []runningRequest
}

type runningRequest struct {
	sentRequest
	target *Target
	ends   time.Time
}

func newSlowTargetLoad() *slowTargetLoad {
	l := &slowTargetLoad{rng: rand.New(rand.NewPCG(5, 5)), now: time.Unix(1, 0)}
	for n := range 4 {
		l.targets = append(l.targets, &Target{SameDomain: n == 0, Slots: 120})
		l.takes = append(l.takes, 200*time.Millisecond)
	}
	return l
}

// run sends four requests per second for d. It returns how many stayed in the failure
// domain.
func (l *slowTargetLoad) run(d time.Duration) (near int) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(250 * time.Millisecond) {
		l.running = slices.DeleteFunc(l.running, func(r runningRequest) bool {
			if r.ends.After(l.now) {
				return false
			}
			r.target.recordTime(r.ends, r.sentRequest, WholeTimeTaken)
			r.target.ended(r.sentRequest)
			return true
		})
		r := sentRequest{route: "r", objective: 1500 * time.Millisecond, sentAt: l.now}
		for _, target := range l.targets {
			target.selectRoute(l.now, r.route, r.objective)
		}
		at := Choose(l.now, l.targets, excludeNone, l.rng.IntN)
		if at == 0 {
			near++
		}
		l.targets[at].sent(r)
		took := l.takes[at]/2 + time.Duration(l.rng.ExpFloat64()*float64(l.takes[at]/2))
		l.running = append(l.running, runningRequest{r, l.targets[at], l.now.Add(took)})
	}
	return near
}

// TestTargetTooSlowForTheObjectiveIsAvoided replays a target that turns twelve times as
// slow while most of its slots stay free. Few requests may go there, and nearly all must
// again once it is as fast as before.
func TestTargetTooSlowForTheObjectiveIsAvoided(t *testing.T) {
	l := newSlowTargetLoad()
	must.Eq(t, 40, l.run(10*time.Second))
	l.takes[0] *= 12
	must.LessEq(t, 10, l.run(5*time.Second), must.Sprint("of 20"))
	must.LessEq(t, 16, l.run(20*time.Second), must.Sprint("of 80"))
	l.takes[0] /= 12
	_ = l.run(5 * time.Second)
	must.GreaterEq(t, 36, l.run(10*time.Second), must.Sprint("of 40"))
}

// TestSlowerTargetWithinTheObjectiveIsUsed checks that unequal speeds are no reason to leave
// the failure domain. If all targets are too slow, more requests stay than if they were
// spread evenly.
func TestSlowerTargetWithinTheObjectiveIsUsed(t *testing.T) {
	l := newSlowTargetLoad()
	l.takes[0] *= 2
	must.Eq(t, 80, l.run(20*time.Second))
	l = newSlowTargetLoad()
	for n := range l.takes {
		l.takes[n] *= 12
	}
	_ = l.run(10 * time.Second)
	must.Greater(t, 30, l.run(20*time.Second), must.Sprint("of 80 to four targets"))
}
