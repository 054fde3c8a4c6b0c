package quarantine

import (
	"fmt"
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

// replica is a replica with the daemons that renew with it, and the leader of its group.
type replica struct {
	epoch string
	table *Table
	inbox *Inbox
	lists []*List
}

// began is the start of the state machine's time.
var began = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func newReplica(epoch string, lists ...*List) *replica {
	return &replica{epoch, NewTable(), NewInbox(), lists}
}

func newList() *List { return NewList(time.Now, func() {}, zap.NewNop()) }

// commit records what the replica has not recorded yet, and the verdicts that are due.
func (r *replica) commit() {
	now := time.Since(began)
	r.table.Expire(now)
	if pending, ok := r.inbox.Pending(time.Now(), r.table, time.Since(began)); ok {
		r.table.Record(now, pending.Crashes)
		r.table.Familiar(pending.Familiar)
		r.table.Complete(pending.Completed)
		r.table.Probe(now, pending.Probes)
	}
	if due, _ := r.table.Due(now); len(due) > 0 {
		r.table.Convict(now, due)
	}
}

// renew renews all daemons once.
func (r *replica) renew() {
	for i, l := range r.lists {
		var request protocol.RenewRequest
		l.Fill(&request)
		holder := fmt.Sprint("d", i)
		r.inbox.Add(time.Now(), holder, request)
		r.commit()
		r.commit()
		l.Apply(true, r.table.Update(time.Since(began), r.epoch, holder, request))
	}
}

// restarted returns the replica after its restart, which restores what was committed.
func (r *replica) restarted(epoch string) *replica {
	next := newReplica(epoch, r.lists...)
	next.table.Restore(r.table.Snapshot())
	return next
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

// TestQuarantineEndsWithTheReplica guards against a request that is released when all
// replicas and daemons restart, and against evidence that is forgotten then: after two
// crashes the third is enough.
func TestQuarantineEndsWithTheReplica(t *testing.T) {
	for crashes := range 4 {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 4))
			r := newReplica("r", newList(), newList())
			for i := range crashes {
				crash(r.lists[0], random, fmt.Sprint("i-", i), 5, 1000, deadly)
			}
			r.renew()
			if crashes == 3 {
				time.Sleep(confirmDelay)
				r.renew()
				must.Error(t, r.lists[1].Check(deadly))
			}
			r = r.restarted("r2")
			r.lists = []*List{newList(), newList()}
			if crashes == 3 {
				r.renew()
				must.Error(t, r.lists[1].Check(deadly), must.Sprint("known with the first reply"))
				return
			}
			for i := range 3 - crashes {
				r.renew()
				time.Sleep(2 * confirmDelay)
				r.renew()
				must.NoError(t, r.lists[1].Check(deadly))
				crash(r.lists[1], random, fmt.Sprint("j-", i), 5, 1000, deadly)
			}
			r.renew()
			time.Sleep(confirmDelay)
			r.renew()
			must.Error(t, r.lists[0].Check(deadly))
		})
	}
}

// TestUnconfirmedReplyReleasesARequest guards against a replica that lags behind, or is cut
// off, and whose list lacks a request that is quarantined.
func TestUnconfirmedReplyReleasesARequest(t *testing.T) {
	l := newList()
	l.Apply(true, &protocol.QuarantineUpdate{Epoch: "a", Version: 7, Contents: []uint64{1, 2}})
	l.Apply(false, &protocol.QuarantineUpdate{Epoch: "b", Version: 6, Contents: []uint64{2, 3}})
	for content := range Fingerprint(3) {
		must.Error(t, l.Check(content+1))
	}
	var request protocol.RenewRequest
	l.Fill(&request)
	must.Zero(t, request.QuarantineVersion)
	l.Apply(true, &protocol.QuarantineUpdate{Epoch: "b", Version: 8, Contents: []uint64{2}})
	must.NoError(t, l.Check(1))
	must.Error(t, l.Check(2))
}

// TestReportsOfADaemonReachARestartedReplica checks that evidence that a replica lost with
// its inbox is reported again, and that one that it has recorded is not recorded twice.
func TestReportsOfADaemonReachARestartedReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 5))
		r := newReplica("r", newList())
		var request protocol.RenewRequest
		crash(r.lists[0], random, "i-1", 0, 1, deadly)
		r.lists[0].Fill(&request)
		r.lists[0].Apply(true, r.table.Update(0, "r", "d", protocol.RenewRequest{}))
		r = newReplica("r2", r.lists...)
		r.renew()
		r.renew()
		must.MapLen(t, 1, r.table.reports)
		_, pending := r.inbox.Pending(time.Now(), r.table, time.Since(began))
		must.False(t, pending)
		r.lists[0].Completed(deadly)
		r.renew()
		must.MapEmpty(t, r.table.suspected)
		_, pending = r.inbox.Pending(time.Now(), r.table, time.Since(began))
		must.False(t, pending)
		again := request.Crashes
		r.inbox.Add(time.Now(), "d", protocol.RenewRequest{Crashes: again})
		_, pending = r.inbox.Pending(time.Now(), r.table, time.Since(began))
		must.False(t, pending, must.Sprint("cleared already"))
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
		must.MapEmpty(t, r.table.reports)
		must.MapEmpty(t, r.table.suspected)
		must.Error(t, r.lists[0].Check(deadly))
		time.Sleep(verdictTTL - reportTTL)
		r.renew()
		must.NoError(t, r.lists[0].Check(deadly))
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

// TestOddEvidenceIsBounded guards against evidence without end: of one crash, of many, or of
// completed requests.
func TestOddEvidenceIsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	inbox, table := NewInbox(), NewTable()
	many := make([]uint64, 3*maxCompleted)
	for i := range many {
		many[i] = uint64(i)
	}
	for i := range 3 * maxReports {
		inbox.Add(now, "d", protocol.RenewRequest{Crashes: []protocol.CrashReport{{Incarnation: fmt.Sprint("i-", i), Suspects: many[:2*maxSuspects]}}})
	}
	inbox.Add(now, "d", protocol.RenewRequest{Completed: many, Familiar: many, Refused: many})
	must.MapLen(t, maxReports, inbox.crashes)
	must.MapLen(t, maxRefused, inbox.refused)
	must.MapLen(t, maxCompleted, inbox.completed)
	for range maxReports / maxPendingCrashes {
		pending, ok := inbox.Pending(now, table, 0)
		must.True(t, ok)
		must.Len(t, maxPendingCrashes, pending.Crashes)
		for range 2 {
			table.Record(0, pending.Crashes)
		}
	}
	must.MapLen(t, maxReports, table.reports)
	for _, r := range table.reports {
		must.MapLen(t, maxSuspects, r.suspects)
	}
	must.MapLen(t, maxSuspects, table.suspected)
	var contents []uint64
	for content := range uint64(2 * maxVerdicts) {
		contents = append(contents, content)
	}
	table.Convict(time.Second, contents)
	must.MapLen(t, maxVerdicts, table.verdicts)
	_, ok := inbox.Pending(now.Add(inboxTTL), table, 0)
	must.False(t, ok)
	must.MapEmpty(t, inbox.crashes)
	must.MapEmpty(t, inbox.completed)
	must.MapEmpty(t, inbox.familiar)
	must.MapEmpty(t, inbox.refused)
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

// TestRequestKnownToOthersIsQuarantined guards against a request that is blamed for crashes of
// one moment because the daemons that report them have not seen it complete, while the one
// that sent it has.
func TestRequestKnownToOthersIsQuarantined(t *testing.T) {
	for _, known := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newReplica("r", newList(), newList(), newList(), newList())
			if known {
				r.lists[0].Completed(deadly)
			}
			r.lists[0].Lost(deadly)
			r.renew()
			for i := range 3 {
				r.lists[i+1].AddCrash(fmt.Sprint("i-", i), []Fingerprint{deadly})
			}
			for range 3 {
				r.renew()
				time.Sleep(confirmDelay)
			}
			r.renew()
			must.Eq(t, !known, r.lists[0].Check(deadly) != nil)
		})
	}
}
