package drain

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestWhatAShutdownAllows(t *testing.T) {
	start := time.Unix(1, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	s := Schedule{SelectiveFrom: at(2500), End: at(5100)}
	must.True(t, s.Allows(at(2499), at(60_000)), must.Sprint("the announce period"))
	must.True(t, s.Allows(at(2500), at(5100)))
	must.False(t, s.Allows(at(2500), at(5101)))
	must.False(t, s.Allows(at(5101), at(5101)))
	must.Eq(t, 100*time.Millisecond, s.Bound(at(5000), time.Second))
	must.Eq(t, time.Second, s.Bound(at(0), time.Second))
	must.True(t, s.Outlasts(at(5100)))
	must.False(t, s.Outlasts(at(5101)))
	none := Schedule{}
	must.True(t, none.Outlasts(at(60_000)))
	must.True(t, none.Allows(at(0), at(60_000)))
	must.Eq(t, time.Hour, none.Bound(at(0), time.Hour))
}
