package registry

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// oddRecords returns records that name no target that can be used.
func oddRecords() map[string]protocol.TargetRecord {
	all := make(map[string]protocol.TargetRecord)
	add := func(name string, change func(r *protocol.TargetRecord)) {
		r := protocol.TargetRecord{Service: "s", Instance: "odd", PeerAddress: "10.0.0.9:80", FailureDomain: "z", State: protocol.Warm, Slots: 10, Incarnation: "odd/1"}
		change(&r)
		all[name] = r
	}
	add("port out of range", func(r *protocol.TargetRecord) { r.PeerAddress = "10.0.0.1:99999" })
	add("port 0", func(r *protocol.TargetRecord) { r.PeerAddress = "10.0.0.1:0" })
	add("negative port", func(r *protocol.TargetRecord) { r.PeerAddress = "10.0.0.1:-1" })
	add("named port", func(r *protocol.TargetRecord) { r.PeerAddress = "10.0.0.1:http" })
	add("no port", func(r *protocol.TargetRecord) { r.PeerAddress = "10.0.0.1" })
	add("no host", func(r *protocol.TargetRecord) { r.PeerAddress = ":80" })
	add("no address", func(r *protocol.TargetRecord) { r.PeerAddress = "" })
	add("line break in the address", func(r *protocol.TargetRecord) { r.PeerAddress = "10.0.0.1\r\n:80" })
	add("long address", func(r *protocol.TargetRecord) { r.PeerAddress = strings.Repeat("a", 1<<20) + ":80" })
	add("no slots", func(r *protocol.TargetRecord) { r.Slots = 0 })
	add("negative slots", func(r *protocol.TargetRecord) { r.Slots = math.MinInt64 })
	add("too many slots", func(r *protocol.TargetRecord) { r.Slots = math.MaxInt64 })
	add("unknown state", func(r *protocol.TargetRecord) { r.State = "hot" })
	add("no state", func(r *protocol.TargetRecord) { r.State = "" })
	add("long incarnation", func(r *protocol.TargetRecord) { r.Incarnation = strings.Repeat("a", 1<<20) })
	add("line break in the incarnation", func(r *protocol.TargetRecord) { r.Incarnation = "a\r\nb" })
	add("no service", func(r *protocol.TargetRecord) { r.Service = "" })
	add("long service", func(r *protocol.TargetRecord) { r.Service = strings.Repeat("s", 1<<20) })
	add("service that seems another ID", func(r *protocol.TargetRecord) { r.Service = "s/good" })
	add("no instance", func(r *protocol.TargetRecord) { r.Instance = "" })
	add("long instance", func(r *protocol.TargetRecord) { r.Instance = strings.Repeat("i", 1<<20) })
	add("instance that is no UTF-8", func(r *protocol.TargetRecord) { r.Instance = "a\xff" })
	return all
}

// oddRenewal returns the renewal of a daemon that leads to the record.
func oddRenewal(r protocol.TargetRecord) protocol.RenewRequest {
	return protocol.RenewRequest{Instance: r.Instance, Session: "x", PeerAddress: r.PeerAddress, FailureDomain: r.FailureDomain,
		Targets: []protocol.Announcement{{Service: r.Service, Address: "10.0.0.9:81", Incarnation: r.Incarnation, Slots: r.Slots, State: r.State}}}
}

// services returns all services that an odd record may name.
func services(odd protocol.TargetRecord) []string {
	return slices.Compact([]string{"s", odd.Service})
}

// transfer returns v as the other process decodes it.
func transfer[V any](t testing.TB, v V) (w V) {
	t.Helper()
	b, err := json.Marshal(v)
	must.NoError(t, err)
	must.NoError(t, json.Unmarshal(b, &w))
	return w
}

// TestOddRenewalNamesNoTarget guards against a daemon whose odd record reaches other
// daemons, or keeps a replica from following another one. The other targets hold.
func TestOddRenewalNamesNoTarget(t *testing.T) {
	for name, odd := range oddRecords() {
		t.Run(name, func(t *testing.T) {
			now := startTime
			near, far := New("near"), New("far")
			follower := NewFollower(far)
			exchange := func() {
				follower.Apply(now, transfer(t, near.Changes(now, transfer(t, follower.Request()))))
				must.NotEq(t, "", follower.Request().Epoch, must.Sprint("the whole registry is requested again"))
			}
			near.Renew(now, renewal("good", "z", protocol.Warm, "s"))
			near.Renew(now, transfer(t, oddRenewal(odd)))
			exchange()
			for range 3 {
				now = now.Add(RenewalInterval)
				near.Renew(now, renewal("good", "z", protocol.Warm, "s"))
				near.Renew(now, transfer(t, oddRenewal(odd)))
				exchange()
			}
			for _, r := range []*Registry{near, far} {
				delta := r.Delta("subscriber", services(odd), "", 0)
				must.Len(t, 1, delta.Upserts)
				must.Eq(t, "good", delta.Upserts[0].Instance)
			}
		})
	}
}

// TestTargetThatTurnsOddIsRemoved checks that a target that was good is no longer named
// once its daemon says something odd about it, and is named again afterwards.
func TestTargetThatTurnsOddIsRemoved(t *testing.T) {
	r := New("e")
	good := renewal("a", "z", protocol.Warm, "s")
	odd := good
	odd.Targets = []protocol.Announcement{good.Targets[0]}
	odd.Targets[0].Slots = -1
	for _, request := range []protocol.RenewRequest{good, odd, good} {
		r.Renew(startTime, request)
		want := 1
		if request.Targets[0].Slots < 1 {
			want = 0
		}
		must.Len(t, want, r.Delta("subscriber", []string{"s"}, "", 0).Upserts)
	}
}

// TestOddRecordIsLeftOutOfTheTable guards against a daemon that stops following the
// registry, or dials an address that is none, because of one record of a replica.
func TestOddRecordIsLeftOutOfTheTable(t *testing.T) {
	for name, odd := range oddRecords() {
		t.Run(name, func(t *testing.T) {
			f := newTableFixture(t)
			d := full("e", 1, "a", "b")
			d.Upserts = append(d.Upserts[:1:1], odd, d.Upserts[1])
			f.Apply(transfer(t, d))
			f.checkInstances("a", "b")
			if odd.Service != "s" {
				must.SliceEmpty(t, f.Targets(odd.Service))
			}
			next := full("e", 2, "c")
			next.Full = false
			f.Apply(next)
			f.checkInstances("a", "b", "c")
		})
	}
}

// TestRecordThatTurnsOddIsRemoved checks that the last good record of a target does not
// stay when an odd one replaces it.
func TestRecordThatTurnsOddIsRemoved(t *testing.T) {
	f := newTableFixture(t)
	f.Apply(full("e", 1, "a", "b"))
	d := full("e", 2, "a")
	d.Full = false
	d.Upserts[0].Slots = math.MaxInt64
	f.Apply(d)
	f.checkInstances("b")
}

// TestOddRecordsAreLogged checks that the log names the reason why a target is left out,
// and that many of them do not fill it.
func TestOddRecordsAreLogged(t *testing.T) {
	core, lines := observer.New(zap.DebugLevel)
	now := startTime
	r := New("e")
	r.LogTo(zap.New(core))
	f := newTableFixture(t)
	f.LogTo(zap.New(core))
	for i := range 1000 {
		request := renewal(fmt.Sprint("i", i), "z", "hot", "s")
		r.Renew(now, request)
		d := full("e", uint64(i), "a")
		d.Upserts[0].PeerAddress = "10.0.0.1:99999"
		f.Apply(d)
	}
	must.Eq(t, 2, lines.Len())
	for _, line := range lines.All() {
		must.Eq(t, "target is left out, since its record cannot be used", line.Message)
		must.LessEq(t, 1024, len(fmt.Sprint(line.ContextMap())))
	}
	now, f.now = now.Add(time.Second), f.now.Add(time.Second)
	r.Renew(now, renewal("other", "z", "hot", "s"))
	must.Eq(t, 999, lines.All()[2].ContextMap()["left_out_since"].(int64))
}
