package registry

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// TestOddAgesDoNotHoldForGood guards against a renewal that seems to come from the
// future: no later one of that daemon would be believed, and it would never expire.
func TestOddAgesDoNotHoldForGood(t *testing.T) {
	for _, age := range []time.Duration{-time.Hour, math.MinInt64, -1} {
		r := New("far")
		odd := recordOf(renewal("a", "z", protocol.Warm, "s"))
		r.Merge(startTime, ExchangeReply{Changed: []AgedRecord{{odd, age}}})
		r.Merge(startTime, ExchangeReply{Alive: []Heartbeat{{Instance: "a", Sum: odd.sum(), Age: age}}})
		r.Renew(startTime.Add(time.Second), renewal("a", "z", protocol.Leaving, "s"))
		must.Eq(t, protocol.Leaving, r.Delta("subscriber", []string{"s"}, "", 0).Upserts[0].State)
		r.Expire(startTime.Add(time.Second + RecordTTL))
		must.SliceEmpty(t, r.Delta("subscriber", []string{"s"}, "", 0).Upserts)
	}
}
