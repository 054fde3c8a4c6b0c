package quarantine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

const deadly = Fingerprint(1 << 40)

// replica is a table with the daemons that renew with it.
type replica struct {
	table *Table
	lists []*List
}

func newReplica(epoch string, lists ...*List) *replica { return &replica{NewTable(epoch), lists} }

func newList() *List { return NewList(time.Now, func() {}, zap.NewNop()) }

// renew renews all daemons once.
func (r *replica) renew() {
	for _, l := range r.lists {
		var request protocol.RenewRequest
		l.Fill(&request)
		r.table.Merge(time.Now(), request.Crashes)
		r.table.Completed(time.Now(), request.Completed)
		l.Apply(r.table.Update(time.Now(), request.QuarantineEpoch, request.QuarantineVersion))
	}
}

// crash reports a crash of a daemon's target that ran the deadly request, if any, and
// others drawn from as many contents.
func crash(l *List, random *rand.Rand, incarnation string, running, contents int, deadly ...Fingerprint) {
	suspects := deadly
	for range running {
		suspects = append(suspects, Fingerprint(random.IntN(contents)+1))
	}
	l.AddCrash(incarnation, suspects)
}

// TestRequestsLostInAMassCrashAreQuarantined guards against the quarantine of requests
// that many targets were running when they crashed for another reason.
func TestRequestsLostInAMassCrashAreQuarantined(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			r := newReplica("r", newList(), newList(), newList(), newList())
			const contents = 100
			for i := range 20 {
				crash(r.lists[i%len(r.lists)], random, fmt.Sprint("i-", i), 30, contents)
			}
			r.renew()
			for content := range contents {
				r.lists[content%len(r.lists)].Completed(Fingerprint(content + 1))
				r.lists[(content+1)%len(r.lists)].Completed(Fingerprint(content + 1))
				r.lists[(content+2)%len(r.lists)].Completed(Fingerprint(content + 1))
				r.lists[(content+3)%len(r.lists)].Completed(Fingerprint(content + 1))
			}
			for range 10 {
				time.Sleep(500 * time.Millisecond)
				r.renew()
			}
			for content := range contents {
				must.NoError(t, r.lists[0].Check(Fingerprint(content+1)))
			}
		})
	}
}

// TestOnlyTheDeadlyRequestIsQuarantined replays five targets that crash in a row while
// they run forty requests of few contents each.
func TestOnlyTheDeadlyRequestIsQuarantined(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			r := newReplica("r", newList(), newList())
			for i := range 5 {
				crash(r.lists[i%2], random, fmt.Sprint("i-", i), 40, 256, deadly)
			}
			for range 4 {
				r.renew()
				time.Sleep(500 * time.Millisecond)
			}
			for _, l := range r.lists {
				must.Error(t, l.Check(deadly))
				must.MapLen(t, 1, l.entries)
			}
		})
	}
}

// TestQuarantineEndsWithTheReplica guards against a request that is released when the
// replicas restart without their soft state, or when the daemon that reported a crash
// restarts.
func TestQuarantineEndsWithTheReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 4))
		r := newReplica("r", newList(), newList())
		for i := range 3 {
			crash(r.lists[0], random, fmt.Sprint("i-", i), 5, 1000, deadly)
		}
		r.renew()
		time.Sleep(confirmDelay)
		r.renew()
		must.Error(t, r.lists[1].Check(deadly))

		r = newReplica("r2", r.lists...)
		for range 4 {
			r.renew()
			must.Error(t, r.lists[1].Check(deadly))
			time.Sleep(confirmDelay)
		}
		restarted := newList()
		r.lists = append(r.lists[1:], restarted)
		r.renew()
		must.Error(t, restarted.Check(deadly))
	})
}

// TestReplicasExchangeCrashes checks that reports and clearances reach replicas that no
// daemon sent them to.
func TestReplicasExchangeCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 5))
		a, b := newReplica("a", newList()), newReplica("b", newList())
		versions := map[*replica]uint64{}
		exchange := func(from, to *replica) {
			reports, version := from.table.Changes(time.Now(), from.table.epoch, versions[from])
			versions[from] = version
			to.table.Merge(time.Now(), reports)
		}
		for i := range 3 {
			crash(a.lists[0], random, fmt.Sprint("i-", i), 0, 1, deadly, deadly+1)
		}
		a.renew()
		exchange(a, b)
		b.lists[0].Lost(deadly + 1)
		b.lists[0].Completed(deadly + 1)
		b.renew()
		exchange(b, a)
		time.Sleep(confirmDelay)
		for _, r := range []*replica{a, b} {
			r.renew()
			time.Sleep(confirmDelay)
			r.renew()
			must.Error(t, r.lists[0].Check(deadly))
			must.NoError(t, r.lists[0].Check(deadly+1))
		}
		exchange(a, b)
		exchange(b, a)
		reports, _ := a.table.Changes(time.Now(), "a", versions[a])
		must.SliceEmpty(t, reports, must.Sprint("nothing has changed"))
	})
}

// TestCrashesAreForgotten checks that a quarantine ends, and that memory is bounded.
func TestCrashesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 6))
		r := newReplica("r", newList())
		for i := range 3 * maxReports {
			crash(r.lists[0], random, fmt.Sprint("i-", i), 1, 10_000, deadly)
			r.renew()
		}
		for range 2 {
			time.Sleep(confirmDelay)
			r.renew()
		}
		must.Error(t, r.lists[0].Check(deadly))
		must.MapLen(t, maxReports, r.table.reports)
		must.SliceLen(t, maxOwnReports, r.lists[0].reports)
		time.Sleep(reportTTL)
		r.renew()
		must.NoError(t, r.lists[0].Check(deadly))
		must.MapEmpty(t, r.table.reports)
		must.MapEmpty(t, r.lists[0].entries)
	})
}

// TestSuspectsReportedOneByOneAreLost guards against the loss of suspects of a crash
// that are reported one after the other, more of them than a daemon keeps reports.
func TestSuspectsReportedOneByOneAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplica("r", newList())
		for i := range 3 {
			r.lists[0].AddCrash(fmt.Sprint("i-", i), []Fingerprint{deadly})
			for content := range 3 * maxOwnReports {
				r.lists[0].AddCrash(fmt.Sprint("i-", i), []Fingerprint{Fingerprint(1000*i + content)})
			}
		}
		r.renew()
		time.Sleep(confirmDelay)
		r.renew()
		time.Sleep(confirmDelay)
		r.renew()
		must.Error(t, r.lists[0].Check(deadly))
	})
}

// TestBrokenTargetFloodsItsReport checks that a target which breaks all connections for a
// long time neither grows its report nor causes a renewal for each lost request.
func TestBrokenTargetFloodsItsReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var renewals atomic.Int64
		l := NewList(time.Now, func() { renewals.Add(1) }, zap.NewNop())
		for i := range 10_000 {
			l.AddCrash("i-1", []Fingerprint{Fingerprint(i)})
			l.AddCrash("i-1", []Fingerprint{Fingerprint(i)})
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		must.SliceLen(t, maxSuspects, l.reports[0].Suspects)
		must.LessEq(t, int64(10*time.Second/reportInterval)+1, renewals.Load())
		must.LessEq(t, maxRecentLosses, len(l.losses))
	})
}

// TestCrashFromTheFutureIsForgotten guards against a report with an odd age, from a daemon
// or a replica, that is never forgotten.
func TestCrashFromTheFutureIsForgotten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, age := range []time.Duration{-time.Hour, math.MinInt64} {
		table := NewTable("e")
		table.Merge(now, []protocol.CrashReport{{Incarnation: "a/1", Suspects: []uint64{1}, Age: age}})
		reports, _ := table.Changes(now, "", 0)
		must.Len(t, 1, reports)
		must.Eq(t, 0, reports[0].Age)
		table.Update(now.Add(reportTTL), "", 0)
		reports, _ = table.Changes(now.Add(reportTTL), "", 0)
		must.SliceEmpty(t, reports)
	}
}

// TestCrashesOfOneMomentCountOnce checks that a request that has completed before needs
// crashes at three different moments to be quarantined, and one that never has needs three
// crashes.
func TestCrashesOfOneMomentCountOnce(t *testing.T) {
	for _, test := range []struct {
		familiar bool
		gap      time.Duration
		crashes  int
		listed   bool
	}{
		{false, 0, 2, false}, {false, 0, 3, true}, {false, time.Minute, 3, true},
		{true, 0, 100, false}, {true, momentLength - time.Millisecond, 3, false}, {true, momentLength, 2, false}, {true, momentLength, 3, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newReplica("r", newList(), newList())
			if test.familiar {
				r.lists[0].Completed(deadly)
			}
			for i := range test.crashes {
				r.lists[i%2].AddCrash(fmt.Sprint("i-", i), []Fingerprint{deadly})
				r.renew()
				time.Sleep(test.gap)
			}
			for range 2 {
				time.Sleep(confirmDelay)
				r.renew()
			}
			must.Eq(t, test.listed, r.lists[0].Check(deadly) != nil, must.Sprintf("%+v", test))
		})
	}
}
