package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// TestJoinFromAnOddAddress guards against a group whose repair tries again and again to
// admit a member at an address that is none.
func TestJoinFromAnOddAddress(t *testing.T) {
	s := &Service{options: Options{Clock: time.Now}}
	s.membership = newMembershipManager(s, AutoMembership{}, zap.NewNop())
	ctx := context.WithValue(t.Context(), forwardedKey{}, true)
	for _, address := range []string{"", "10.0.0.1", "10.0.0.1:99999", "10.0.0.1:0", ":7000", "10.0.0.1\n:7000"} {
		_, err := s.Join(ctx, mesh.Peer{}, protocol.JoinRequest{Address: address, ID: "a"})
		must.Eq(t, fault.BadRequest, fault.KindOf(err), must.Sprintf("%q", address))
	}
	must.SliceEmpty(t, s.membership.pendingJoiners())
	_, err := s.Join(ctx, mesh.Peer{}, protocol.JoinRequest{Address: "10.0.0.1:7000", ID: "a"})
	must.NoError(t, err)
	must.Len(t, 1, s.membership.pendingJoiners())
}
