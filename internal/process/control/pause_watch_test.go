package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/process/replica"
)

// leadingGroup is a group of one replica, which leads it.
type leadingGroup struct{ replica.Group }

func (leadingGroup) Leader() (string, bool) { return "", true }

func (leadingGroup) Status() protocol.ReplicaStatus {
	return protocol.ReplicaStatus{Role: protocol.RoleLeader, Term: 1, Members: []protocol.MemberStatus{{Address: "r"}}}
}

// TestLeaderThatWasPausedForgetsItsDaemons guards against a leader that was paused, takes
// all daemons for out of contact, and acknowledges an order that none of them acts on.
func TestLeaderThatWasPausedForgetsItsDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 4 * time.Second
		s := &Service{options: Options{Address: "r", Clock: time.Now, Log: zap.NewNop(), Group: leadingGroup{}, Registry: registry.New("e"), EffectTimeout: time.Minute}}
		observeFor := func(d time.Duration) {
			for began := time.Now(); time.Since(began) < d; time.Sleep(watchInterval) {
				s.pauses.observe(time.Now())
			}
		}
		s.options.Registry.Renew(time.Now(), protocol.RenewRequest{Instance: "d", Version: 1})
		observeFor(2 * ContactTimeout)
		time.Sleep(pause)
		s.options.Registry.Expire(time.Now())

		done := make(chan error, 1)
		go func() { done <- s.awaitEffect(t.Context(), 2) }()
		var observer sync.WaitGroup
		observer.Go(func() { observeFor(4 * ContactTimeout) })
		defer observer.Wait()
		time.Sleep(ContactTimeout / 2)
		s.options.Registry.Renew(time.Now(), protocol.RenewRequest{Instance: "d", Version: 1})
		time.Sleep(ContactTimeout)
		must.Eq(t, 0, len(done), must.Sprint("acknowledged while the daemon acts on the older version"))
		s.options.Registry.Renew(time.Now(), protocol.RenewRequest{Instance: "d", Version: 2})
		must.NoError(t, <-done)
	})
}

// TestOrderIsNotInEffectWhileADaemonIsBehind checks the error of an order that is durable and
// not in effect everywhere when its caller stops waiting.
func TestOrderIsNotInEffectWhileADaemonIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Service{options: Options{Address: "r", Clock: time.Now, Log: zap.NewNop(), Group: leadingGroup{}, Registry: registry.New("e"), EffectTimeout: time.Minute}}
		s.options.Registry.Renew(time.Now(), protocol.RenewRequest{Instance: "d", Version: 1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := s.awaitEffect(ctx, 2)
		must.Eq(t, fault.NotInEffect, fault.KindOf(err))
		must.ErrorContains(t, err, "[d]")
	})
}
