package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// usualLatency returns a latency that has observed n usual samples of d.
func usualLatency(n int, d time.Duration) *latency {
	l := &latency{}
	for range n {
		l.observe(d)
	}
	return l
}

// TestJumpIsJudgedByTheTailBeforeIt guards against slow samples that raise the tail
// by which the next ones are judged.
func TestJumpIsJudgedByTheTailBeforeIt(t *testing.T) {
	l := usualLatency(100, 10*time.Millisecond)
	before := l.tail
	for range jumpStreak {
		l.observe(60 * time.Millisecond)
		must.Eq(t, before, l.tail)
	}
	must.True(t, l.jumped(jumpStreak))
}

// TestHeldSamplesRaiseTheTail requires the same tail in the end, whether or not
// samples are held: after the streak if it was short, or once it is long.
func TestHeldSamplesRaiseTheTail(t *testing.T) {
	for _, streak := range []int{1, jumpStreak, jumpStreak + 1} {
		l := usualLatency(100, 10*time.Millisecond)
		before := l.tail
		for range streak {
			l.observe(13 * time.Millisecond)
		}
		if streak <= jumpStreak {
			must.Eq(t, before, l.tail)
			l.observe(10 * time.Millisecond)
		}
		must.Zero(t, l.held)
		raised := float64(streak) * tailStep * tailQuantile * float64(10*time.Millisecond)
		must.Between(t, 0.9*raised, l.tail-before, 1.2*raised)
	}
}

// TestTailFollowsALastingShift guards against a tail that slow samples never raise.
func TestTailFollowsALastingShift(t *testing.T) {
	l := usualLatency(100, 10*time.Millisecond)
	for range 100 {
		l.observe(15 * time.Millisecond)
	}
	must.False(t, l.isSlow(float64(15*time.Millisecond)))
}
