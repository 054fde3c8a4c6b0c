package balancing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// TestLeavingTargetIsForgotten guards against requests to a target that has said that
// it leaves, after it was not listed for a while. Another incarnation gets requests.
func TestLeavingTargetIsForgotten(t *testing.T) {
	now := time.Unix(1, 0)
	records := []protocol.TargetRecord{{Service: "s", Instance: "a", FailureDomain: "z", State: protocol.Warm, Slots: 1, Incarnation: "a/1"}}
	listed := records
	b := &Balancer{FailureDomain: "z", List: func(string) []protocol.TargetRecord { return listed }}
	choice, ok := b.Choose(now, "s", "r", time.Second, nil)
	must.True(t, ok)
	choice.Update(func(target *Target) {
		target.RecordStatement(now, protocol.Statement{Incarnation: "a/1", Leaving: true})
	})
	choice.Ended()
	listed = nil
	for range 100 {
		now = now.Add(time.Second)
		_, ok = b.Choose(now, "s", "r", time.Second, nil)
		must.False(t, ok)
	}
	listed = records
	_, ok = b.Choose(now, "s", "r", time.Second, nil)
	must.False(t, ok)
	listed[0].Incarnation = "a/2"
	_, ok = b.Choose(now, "s", "r", time.Second, nil)
	must.True(t, ok)
}
