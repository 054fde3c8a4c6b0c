package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// quarantined returns a replica with two daemons that have just quarantined a request.
func quarantined() *replica {
	r := newReplica("r", newList(), newList())
	for i := range crashesToQuarantine {
		r.lists[0].AddCrash(fmt.Sprint("i-", i), []Fingerprint{deadly})
	}
	r.renew()
	time.Sleep(confirmDelay)
	r.renew()
	return r
}

// probes asks for probes for d, and returns how many the daemons took. Each is used by use.
func (r *replica) probes(d time.Duration, use func(l *List)) int {
	taken := 0
	for range d / (500 * time.Millisecond) {
		for _, l := range r.lists {
			if l.Check(deadly) != nil && l.TakeProbe(deadly) {
				taken++
				use(l)
			}
		}
		r.renew()
		time.Sleep(500 * time.Millisecond)
	}
	return taken
}

// TestQuarantineHasNoWayBack guards against a request that is refused for as long as its
// verdict lasts, though it would complete.
func TestQuarantineHasNoWayBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := quarantined()
		must.Error(t, r.lists[1].Check(deadly))
		must.Eq(t, 0, r.probes(probeDelay-time.Second, func(*List) {}))
		must.Eq(t, 1, r.probes(3*time.Second, func(l *List) { l.Completed(deadly) }))
		for _, l := range r.lists {
			must.NoError(t, l.Check(deadly))
		}
	})
}

// TestProbesCrashTargetAfterTarget guards against more probes than maxProbes while a verdict
// lasts: by several daemons, after restarts of daemons and replicas, and with probes that were
// given back.
func TestProbesCrashTargetAfterTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := quarantined()
		returned := 0
		use := func(l *List) {
			if returned < 3 {
				returned++
				l.ReturnProbe(deadly)
				return
			}
			l.AddCrash(fmt.Sprint("probe ", time.Now()), []Fingerprint{deadly})
		}
		total := 0
		for i := range 20 {
			total += r.probes(30*time.Second, use)
			r = r.restarted(fmt.Sprint("r", i))
			r.lists = []*List{r.lists[1], newList()}
		}
		must.Eq(t, maxProbes+returned, total)
		must.Error(t, r.lists[0].Check(deadly))
	})
}

// TestProbeIsUsedLate checks that a probe which is not used in time is lost.
func TestProbeIsUsedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := quarantined()
		time.Sleep(probeDelay)
		must.Error(t, r.lists[0].Check(deadly))
		r.renew()
		time.Sleep(probeTTL + time.Millisecond)
		must.False(t, r.lists[0].TakeProbe(deadly))
		must.False(t, r.lists[1].TakeProbe(deadly), must.Sprint("was granted to the other"))
	})
}
