package registry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// FuzzRenewal checks that whatever a replica takes from a daemon, another replica and
// other daemons can read, and that a good target beside it holds.
func FuzzRenewal(f *testing.F) {
	for _, odd := range oddRecords() {
		b, err := json.Marshal(oddRenewal(odd))
		must.NoError(f, err)
		if len(b) < 4096 {
			f.Add(b)
		}
	}
	f.Add([]byte(`{"i":"good","a":"10.0.0.1:99999","t":[{"service":"s","slots":-9223372036854775808}],"s":["","s","s"],"rv":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var request protocol.RenewRequest
		if json.Unmarshal(b, &request) != nil || request.Instance == "good" {
			return
		}
		near, far := New("near"), New("far")
		follower := NewFollower(far)
		near.Renew(startTime, renewal("good", "z", protocol.Warm, "s"))
		near.Renew(startTime, request)
		follower.Apply(startTime, transfer(t, near.Changes(startTime, follower.Request())))
		for _, r := range []*Registry{near, far} {
			table := NewTable(func() time.Time { return startTime })
			subscriptions := append([]string{"s"}, request.Subscriptions...)
			epoch, version := table.Position(subscriptions)
			table.Apply(transfer(t, r.Delta("subscriber", subscriptions, epoch, version)))
			_ = r.Delta(request.Instance, request.Subscriptions, request.RegistryEpoch, request.RegistryVersion)
			targets := table.Targets("s")
			must.SliceContainsFunc(t, targets, "good", func(r protocol.TargetRecord, name string) bool { return r.Instance == name })
			for _, target := range targets {
				must.NoError(t, target.Check())
			}
		}
	})
}

// FuzzExchangeReply checks that whatever another replica replies neither panics nor keeps
// a later renewal from being believed.
func FuzzExchangeReply(f *testing.F) {
	r := New("e")
	r.Renew(startTime, renewal("a", "z", protocol.Warm, "s"))
	for _, packed := range []bool{false, true} {
		b, err := json.Marshal(r.Changes(startTime, ExchangeRequest{Packed: packed}))
		must.NoError(f, err)
		f.Add(b)
	}
	f.Add([]byte(`{"e":"e","v":9,"i":["a","b"],"h":"AAAA","a":[{"i":"a","g":-9223372036854775808}],"c":[{"r":{"i":"a","t":[{}]},"g":-1}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var reply ExchangeReply
		if json.Unmarshal(b, &reply) != nil {
			return
		}
		r := New("far")
		follower := NewFollower(r)
		follower.Apply(startTime, reply)
		follower.Apply(startTime, reply)
		later := startTime.Add(time.Second)
		r.Renew(later, renewal("a", "z", protocol.Leaving, "s"))
		r.Expire(later)
		delta := r.Delta("subscriber", []string{"s"}, "", 0)
		must.SliceContainsFunc(t, delta.Upserts, "a", func(r protocol.TargetRecord, name string) bool {
			return r.Instance == name && r.State == protocol.Leaving
		})
		for _, target := range delta.Upserts {
			must.NoError(t, target.Check())
		}
		_ = transfer(t, r.Changes(later, ExchangeRequest{Packed: true}))
	})
}
