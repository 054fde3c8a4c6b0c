package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// startTime is the time at which each test starts.
var startTime = time.Unix(1_000_000, 0)

func renewal(instance, domain string, state protocol.TargetState, services ...string) protocol.RenewRequest {
	request := protocol.RenewRequest{Instance: instance, Session: instance, PeerAddress: instance + ":80", FailureDomain: domain}
	for _, s := range services {
		request.Targets = append(request.Targets, protocol.Announcement{Service: s, State: state, Slots: 1})
	}
	return request
}

// targetList is the list of targets, by ID, of a subscriber that applies deltas.
type targetList map[string]protocol.TargetRecord

func (t targetList) apply(d *protocol.RegistryDelta) {
	if d == nil {
		return
	}
	if d.Full {
		clear(t)
	}
	for _, id := range d.Removes {
		delete(t, id)
	}
	for _, r := range d.Upserts {
		t[idOf(r)] = r
	}
}

// TestDeltasEqualTheFullList guards against deltas after which a subscriber's list
// differs from the full list of the same time. Daemons join, change, move
// between failure domains and leave. Deltas may be lost: the subscriber then
// requests again from its old version.
func TestDeltasEqualTheFullList(t *testing.T) {
	deltas, full := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r := New("epoch")
		now := startTime
		applied := targetList{}
		version, knownEpoch := uint64(0), ""
		services := []string{"small", "large"}
		for range 60 {
			for range rapid.IntRange(0, 12).Draw(t, "renewals") {
				// The large service may have more targets than a subset.
				i := rapid.IntRange(0, 2*SubsetSize).Draw(t, "instance")
				domain := fmt.Sprint("d", rapid.IntRange(0, 3).Draw(t, "domain"))
				state := rapid.SampledFrom([]protocol.TargetState{protocol.Cold, protocol.Warm, protocol.Leaving}).Draw(t, "state")
				announced := services[rapid.IntRange(0, 1).Draw(t, "services"):]
				if i%5 > 0 {
					announced = announced[len(announced)-1:]
				}
				r.Renew(now, renewal(fmt.Sprint("i", i), domain, state, announced...))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "long") == 20 {
				now = now.Add(2 * tombstoneTTL)
			}
			r.Expire(now)
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			d := r.Delta("subscriber", services, knownEpoch, version)
			if d != nil {
				applied.apply(d)
				knownEpoch, version = d.Epoch, d.Version
				deltas++
				if d.Full {
					full++
				}
			}
			fullList := targetList{}
			fullList.apply(r.Delta("subscriber", services, "", 0))
			must.Eq(t, fullList, applied)
		}
	})
	t.Logf("%d deltas, %d of them full", deltas, full)
	must.Positive(t, full)
	must.Less(t, deltas/2, full)
}

// TestSubsetsAreEven guards against targets or failure domains that are in many
// more, or many fewer, subsets than others.
func TestSubsetsAreEven(t *testing.T) {
	const subscribers = 400
	for _, sizes := range [][]int{{25, 25, 25, 25}, {60, 30, 10}, {100}} {
		members := make(map[string]string)
		for d, n := range sizes {
			for i := range n {
				members[fmt.Sprintf("i%d-%d", d, i)] = fmt.Sprint("d", d)
			}
		}
		chosen := make(map[string]int)
		byDomain := make(map[string]int)
		for s := range subscribers {
			set := subset(fmt.Sprint("s", s), members)
			must.MapLen(t, SubsetSize, set)
			for instance := range set {
				chosen[instance]++
				byDomain[members[instance]]++
			}
		}
		for d, n := range sizes {
			domain := fmt.Sprint("d", d)
			must.Eq(t, subscribers*SubsetSize/len(sizes), byDomain[domain])
			mean := byDomain[domain] / n
			for instance, count := range chosen {
				if members[instance] == domain {
					must.Between(t, mean/2, count, mean*3/2)
				}
			}
		}
	}
}

// TestSubsetsAreStable guards against subsets that change more than necessary when
// a target leaves: only that target is replaced.
func TestSubsetsAreStable(t *testing.T) {
	members := make(map[string]string)
	for i := range 100 {
		members[fmt.Sprint("i", i)] = fmt.Sprint("d", i%4)
	}
	for s := range 50 {
		subscriber := fmt.Sprint("s", s)
		before := subset(subscriber, members)
		for i := range 100 {
			removed := fmt.Sprint("i", i)
			domain := members[removed]
			delete(members, removed)
			after := subset(subscriber, members)
			members[removed] = domain
			_, had := before[removed]
			kept := 0
			for instance := range after {
				if _, ok := before[instance]; ok {
					kept++
				}
			}
			if had {
				must.Eq(t, SubsetSize-1, kept)
			} else {
				must.Eq(t, SubsetSize, kept)
			}
		}
	}
}

// replicaGroup is a set of replicas that exchange their records.
type replicaGroup struct {
	now      time.Time
	replicas []*Registry
	// followers holds at {i, j} the follower by which replica i copies the
	// daemons of replica j.
	followers map[[2]int]*Follower
	// unpacked holds the replicas that run an earlier build, which neither sends
	// nor reads packed heartbeats.
	unpacked map[int]bool
	starts   int
}

func newReplicaGroup(n int) *replicaGroup {
	g := &replicaGroup{now: startTime, followers: make(map[[2]int]*Follower), unpacked: make(map[int]bool)}
	g.replicas = make([]*Registry, n)
	for i := range n {
		g.restart(i)
	}
	return g
}

// restart starts replica i without any state.
func (g *replicaGroup) restart(i int) {
	g.starts++
	g.replicas[i] = New(fmt.Sprint("epoch", g.starts))
	for j := range g.replicas {
		g.followers[[2]int{i, j}] = NewFollower(g.replicas[i])
	}
}

// exchange lets each replica merge the changes of every other one.
func (g *replicaGroup) exchange() {
	for i, r := range g.replicas {
		r.Expire(g.now)
		for j, other := range g.replicas {
			if i == j {
				continue
			}
			follower := g.followers[[2]int{i, j}]
			request := follower.Request()
			request.Packed = !g.unpacked[i] && !g.unpacked[j]
			follower.Apply(g.now, other.Changes(g.now, request))
		}
	}
}

// TestReplicasAgreeAndForget guards against replicas that keep old records or lose
// current ones. After an exchange every replica has the last record of every
// daemon, also if daemons renew with different replicas. The records that only a
// restarted replica had are known again after the next renewals. A daemon that
// stops is dropped everywhere after RecordTTL. One replica may run an earlier build.
func TestReplicasAgreeAndForget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newReplicaGroup(3)
		g.unpacked[0] = rapid.Bool().Draw(t, "old")
		last := make(map[string]time.Time)
		reported := make(map[string]string)
		for range 25 {
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				g.restart(rapid.IntRange(0, 2).Draw(t, "replica"))
				clear(reported)
			}
			for range rapid.IntRange(0, 5).Draw(t, "renewals") {
				name := fmt.Sprint("i", rapid.IntRange(0, 5).Draw(t, "instance"))
				r := renewal(name, "d", protocol.Warm, "s")
				r.Session = fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "session"))
				r.Version = rapid.Uint64Range(0, 2).Draw(t, "version")
				g.replicas[rapid.IntRange(0, 2).Draw(t, "replica")].Renew(g.now, r)
				last[name] = g.now
				reported[name] = fmt.Sprint(r.Version, r.Targets)
				g.now = g.now.Add(time.Millisecond)
			}
			g.exchange()
			g.exchange()
			for _, r := range g.replicas {
				g.check(t, r, last, reported)
			}
			g.now = g.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// check checks that r has every record of reported that has not expired, and no
// daemon whose last renewal is older than RecordTTL.
func (g *replicaGroup) check(t *rapid.T, r *Registry, last map[string]time.Time, reported map[string]string) {
	known := make(map[string]string)
	for _, d := range r.Daemons(g.now) {
		must.Less(t, RecordTTL, g.now.Sub(last[d.Instance]))
		known[d.Instance] = fmt.Sprint(d.Version, d.Targets)
	}
	for name, text := range reported {
		if g.now.Sub(last[name]) < RecordTTL {
			must.Eq(t, text, known[name])
		}
	}
}
