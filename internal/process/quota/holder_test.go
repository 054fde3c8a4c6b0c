package quota

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// oneWay is the latency of a message to the issuer.
const oneWay = 500 * time.Microsecond

// requestFuncFor returns a RequestFunc that takes one round trip, and then calls
// reply for each token request. It counts its calls in calls.
func requestFuncFor(calls *atomic.Int64, reply func(protocol.QuotaRequest) (protocol.QuotaGrant, error)) RequestFunc {
	return func(_ context.Context, requests []protocol.QuotaRequest) ([]protocol.QuotaGrant, time.Time, error) {
		calls.Add(1)
		sentAt := time.Now()
		time.Sleep(2 * oneWay)
		var grants []protocol.QuotaGrant
		for _, r := range requests {
			g, err := reply(r)
			if err != nil {
				return nil, sentAt, err
			}
			grants = append(grants, g)
		}
		return grants, sentAt, nil
	}
}

// granting returns a function that grants this number of tokens.
func granting(tokens int, atLimit bool) func(protocol.QuotaRequest) (protocol.QuotaGrant, error) {
	return func(r protocol.QuotaRequest) (protocol.QuotaGrant, error) {
		return protocol.QuotaGrant{Team: r.Team, Sequence: r.Sequence, Tokens: tokens, TTL: TokenTTL, AtLimit: atLimit}, nil
	}
}

// withRunningHolder calls f with a running holder, in virtual time.
func withRunningHolder(t *testing.T, request RequestFunc, f func(ctx context.Context, h *Holder)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := NewHolder(time.Now, request)
		go func() { _ = h.Run(ctx) }()
		f(ctx, h)
		cancel()
		time.Sleep(requestTimeout)
	})
}

func TestTakeReturnsRejectionReason(t *testing.T) {
	lost := errors.New("lost")
	cases := []struct {
		name   string
		reply  func(protocol.QuotaRequest) (protocol.QuotaGrant, error)
		want   fault.Kind
		within time.Duration
	}{
		{"tokens", granting(1, false), "", 2 * time.Millisecond},
		{"at the limit", granting(0, true), fault.QuotaExceeded, noTokenWait + 2*atLimitBackoff},
		{"no issuer ready", granting(0, false), fault.QuotaUnavailable, maxWait},
		{"no answer", func(protocol.QuotaRequest) (protocol.QuotaGrant, error) { return protocol.QuotaGrant{}, lost }, fault.QuotaUnavailable, maxWait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int64
			withRunningHolder(t, requestFuncFor(&calls, c.reply), func(ctx context.Context, h *Holder) {
				began := time.Now()
				err := h.Take(ctx, "a")
				must.Eq(t, c.want, fault.KindOf(err))
				must.LessEq(t, c.within, time.Since(began))
				must.Positive(t, calls.Load())
			})
		})
	}
}

// Guards against sending one message per waiting request: requests that arrive
// together share the same token requests.
func TestWaitingRequestsShareTokenRequests(t *testing.T) {
	var calls atomic.Int64
	withRunningHolder(t, requestFuncFor(&calls, granting(20, false)), func(ctx context.Context, h *Holder) {
		results := make(chan error, 20)
		for range cap(results) {
			go func() { results <- h.Take(ctx, "a") }()
		}
		for range cap(results) {
			must.NoError(t, <-results)
		}
		must.LessEq(t, 2, calls.Load())
	})
}

// Guards against spending a token after its TTL, which counts from the time of the
// token request even if the caller passes a later time as sentAt.
func TestTokenTTLCountsFromTokenRequest(t *testing.T) {
	h := NewHolder(time.Now, nil)
	p := h.pool("a")
	p.waiting = 2
	requestedAt := time.Now()
	must.Len(t, 1, h.TokenRequests(requestedAt))
	must.SliceEmpty(t, h.TokenRequests(requestedAt))
	h.ApplyGrants(requestedAt.Add(time.Hour), []protocol.QuotaGrant{{Team: "a", Sequence: 1, Tokens: 2, TTL: TokenTTL}})
	must.True(t, p.spend(requestedAt.Add(TokenTTL-1)))
	must.False(t, p.spend(requestedAt.Add(TokenTTL)))
}

func TestIssuerGrants(t *testing.T) {
	team := version.Team{Name: "a", Rate: 10, Burst: 8}
	request := func(sequence uint64, want, waiting int) protocol.QuotaRequest {
		return protocol.QuotaRequest{Team: "a", Sequence: sequence, Want: want, Waiting: waiting}
	}
	s := NewIssuer()
	now := epoch
	must.Eq(t, 0, s.Grant(now, "h", request(1, 5, 5), team).Tokens)
	s.Reset(now)
	must.False(t, s.Ready(now))
	must.False(t, s.Grant(now, "h", request(2, 5, 5), team).AtLimit)
	now = now.Add(TokenTTL + time.Second)
	must.True(t, s.Ready(now))
	must.Eq(t, 7, s.Grant(now, "h", request(3, 9, 0), team).Tokens)
	must.Eq(t, 0, s.Grant(now, "h", request(3, 9, 9), team).Tokens)
	partial := s.Grant(now, "i", request(1, 9, 9), team)
	must.Eq(t, 1, partial.Tokens)
	must.True(t, partial.AtLimit)
	returned := s.Grant(now, "i", request(2, 1, 1), team)
	must.Eq(t, 1, returned.Tokens)
	must.False(t, returned.AtLimit)
	s.Stop()
	must.Eq(t, 0, s.Grant(now, "h", request(4, 1, 1), team).Tokens)
}

// TestTokensEndWhileTheMachineIsSuspended replays a daemon whose machine is suspended
// for ten seconds while it holds tokens: the issuer has counted them as spent meanwhile,
// so none may be spent afterwards.
func TestTokensEndWhileTheMachineIsSuspended(t *testing.T) {
	now := epoch
	h := NewHolder(func() time.Time { return now }, nil)
	p := h.pool("a")
	p.waiting = 4
	request, ok := p.nextRequest(now, false)
	must.True(t, ok)
	h.ApplyGrants(now, []protocol.QuotaGrant{{Team: "a", Sequence: request.Sequence, Tokens: 2, TTL: time.Second, Immediate: 2, ImmediateTTL: immediateTTL}})
	must.Eq(t, 4, p.remaining())
	now = now.Add(10 * time.Second)
	must.False(t, p.spend(now))
}
