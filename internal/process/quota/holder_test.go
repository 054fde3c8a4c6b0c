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

// askOf answers asks by answer, after a message there and back.
func askOf(calls *atomic.Int64, answer func(protocol.QuotaAsk) (protocol.QuotaGrant, error)) AskFunc {
	return func(_ context.Context, asks []protocol.QuotaAsk) ([]protocol.QuotaGrant, time.Time, error) {
		calls.Add(1)
		sentAt := time.Now()
		time.Sleep(2 * oneWay)
		var grants []protocol.QuotaGrant
		for _, a := range asks {
			g, err := answer(a)
			if err != nil {
				return nil, sentAt, err
			}
			grants = append(grants, g)
		}
		return grants, sentAt, nil
	}
}

func giving(tokens int, final bool) func(protocol.QuotaAsk) (protocol.QuotaGrant, error) {
	return func(a protocol.QuotaAsk) (protocol.QuotaGrant, error) {
		return protocol.QuotaGrant{Team: a.Team, Sequence: a.Sequence, Tokens: tokens, Life: TokenLife, Final: final}, nil
	}
}

// running runs f with a holder in virtual time.
func running(t *testing.T, ask AskFunc, f func(ctx context.Context, h *Holder)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := NewHolder(time.Now, ask)
		go func() { _ = h.Run(ctx) }()
		f(ctx, h)
		cancel()
		time.Sleep(askTimeout)
	})
}

func TestTakeSaysWhyItRefuses(t *testing.T) {
	lost := errors.New("lost")
	cases := []struct {
		name   string
		answer func(protocol.QuotaAsk) (protocol.QuotaGrant, error)
		want   fault.Kind
		within time.Duration
	}{
		{"tokens", giving(1, false), "", 2 * time.Millisecond},
		{"at the limit", giving(0, true), fault.QuotaExceeded, patience + 2*finalPause},
		{"no issuer ready", giving(0, false), fault.QuotaUnavailable, maxWait},
		{"no answer", func(protocol.QuotaAsk) (protocol.QuotaGrant, error) { return protocol.QuotaGrant{}, lost }, fault.QuotaUnavailable, maxWait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int64
			running(t, askOf(&calls, c.answer), func(ctx context.Context, h *Holder) {
				began := time.Now()
				err := h.Take(ctx, "a")
				must.Eq(t, c.want, fault.KindOf(err))
				must.LessEq(t, c.within, time.Since(began))
				must.Positive(t, calls.Load())
			})
		})
	}
}

// Requests that come together share one ask.
func TestWaitingRequestsShareAnAsk(t *testing.T) {
	var calls atomic.Int64
	running(t, askOf(&calls, giving(20, false)), func(ctx context.Context, h *Holder) {
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

// A token is not spent after its life, counted from when it was asked for.
func TestTokensExpireFromTheAsk(t *testing.T) {
	h := NewHolder(time.Now, nil)
	p := h.purse("a")
	p.waiting = 2
	asked := time.Now()
	must.Len(t, 1, h.Wants(asked))
	must.SliceEmpty(t, h.Wants(asked))
	h.Granted(asked.Add(time.Hour), []protocol.QuotaGrant{{Team: "a", Sequence: 1, Tokens: 2, Life: TokenLife}})
	must.True(t, p.spend(asked.Add(TokenLife-1)))
	must.False(t, p.spend(asked.Add(TokenLife)))
}

func TestIssuerAnswers(t *testing.T) {
	team := version.Team{Name: "a", Rate: 10, Burst: 8}
	ask := func(sequence uint64, want, waiting int) protocol.QuotaAsk {
		return protocol.QuotaAsk{Team: "a", Sequence: sequence, Want: want, Waiting: waiting}
	}
	s := NewIssuer()
	now := epoch
	must.Eq(t, 0, s.Grant(now, "h", ask(1, 5, 5), team).Tokens)
	s.Reset(now)
	must.False(t, s.Ready(now))
	must.False(t, s.Grant(now, "h", ask(2, 5, 5), team).Final)
	now = now.Add(TokenLife + time.Second)
	must.True(t, s.Ready(now))
	must.Eq(t, 7, s.Grant(now, "h", ask(3, 9, 0), team).Tokens)
	must.Eq(t, 0, s.Grant(now, "h", ask(3, 9, 9), team).Tokens)
	late := s.Grant(now, "i", ask(1, 9, 9), team)
	must.Eq(t, 1, late.Tokens)
	must.True(t, late.Final)
	back := s.Grant(now, "i", ask(2, 1, 1), team)
	must.Eq(t, 1, back.Tokens)
	must.False(t, back.Final)
	s.Stop()
	must.Eq(t, 0, s.Grant(now, "h", ask(4, 1, 1), team).Tokens)
}
