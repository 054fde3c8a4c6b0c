package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestCallersReturnWhenTargetsAreWarm replays the last seconds before cold targets turn
// warm: a caller that can wait for that long is told to return then, any other one soon.
func TestCallersReturnWhenTargetsAreWarm(t *testing.T) {
	now := time.Unix(1, 0)
	r := &inboundRequest{receivedAt: now, callerDeadline: now.Add(5 * time.Second), objectiveDeadline: now.Add(1500 * time.Millisecond)}
	for _, c := range []struct{ endsIn, least, most time.Duration }{
		{0, 500 * time.Millisecond, 500 * time.Millisecond},
		{200 * time.Millisecond, 200 * time.Millisecond, 1200 * time.Millisecond},
		{1600 * time.Millisecond, 1600 * time.Millisecond, 5 * time.Second / 3},
		{2 * time.Second, 500 * time.Millisecond, 500 * time.Millisecond},
	} {
		must.Eq(t, c.least, r.retryAfterLevel(c.endsIn, 0))
		must.Eq(t, c.most, r.retryAfterLevel(c.endsIn, 1))
	}
}

// TestMalformedLevelsChangeNothing checks what a daemon makes of the load that another one
// reports.
func TestMalformedLevelsChangeNothing(t *testing.T) {
	for _, ends := range []string{"x", "-5", "1e9", "99999999999999"} {
		h := http.Header{headerShedLevel: {"0.9 1000 s"}, headerShedLevelEnds: {ends}}
		bottleneck, err := readBottleneck(h)
		must.Error(t, err, must.Sprint(ends))
		must.Eq(t, "", bottleneck.Service)
	}
	for _, load := range []string{"x", "NaN", "-1", "1e9", "+Inf"} {
		got, err := readCalledLoad(http.Header{headerCalledLoad: {load}})
		must.Error(t, err, must.Sprint(load))
		must.Eq(t, 0, got)
	}
	bottleneck, err := readBottleneck(http.Header{headerShedLevel: {"0.9 1000 s"}, headerShedLevelEnds: {"999999999"}})
	must.NoError(t, err)
	must.Eq(t, maxLevelEnd, bottleneck.EndsIn)
}
