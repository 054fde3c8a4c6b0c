package e2e

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

// TestLinkThatAcceptsAndForgets has open peer links that go silent while new
// ones work. Idempotent requests still get whole answers within their timeout.
func TestLinkThatAcceptsAndForgets(t *testing.T) {
	var links []*forwarder
	h := start(t, func(l *system.Layout) {
		for n := range l.Instances {
			f := newForwarder(t, l.Instances[n].Peer)
			l.Instances[n].AdvertisedPeer = f.listener.Addr().String()
			links = append(links, f)
		}
	})
	for round := range 3 {
		for n := range 12 {
			call := system.Call{Ingress: h.Instances[n%6].Ingress, Method: "GET", Path: fmt.Sprintf("/slots?silent-%d-%d", round, n), Key: h.Keys["A"].Secret}
			answer := h.do(call)
			must.Eq(t, 200, answer.Status, must.Sprintf("round %d, request %d: %s", round, n, answer))
			must.Len(t, services, answer.Target.Chain())
		}
		for _, f := range links {
			must.Positive(t, f.forget())
		}
	}
}

// TestDaemonCutOffFromControl cuts one daemon off from every control replica
// for longer than the lease, while peers and callers still reach it. It must not
// act on the state that is replaced meanwhile, and works again afterwards.
func TestDaemonCutOffFromControl(t *testing.T) {
	var links []*forwarder
	h := start(t, func(l *system.Layout) {
		for _, address := range l.Replicas() {
			links = append(links, newForwarder(t, address))
		}
		for _, link := range links {
			via := &l.Instance("oprema-1").ControlVia
			*via = append(*via, link.listener.Addr().String())
		}
	})
	cutOff := h.Instance("oprema-1")
	withA := system.Call{Ingress: cutOff.Ingress, Method: "GET", Path: "/slots?cut", Key: h.Keys["A"].Secret}
	withB := withA
	withB.Key = h.Keys["B"].Secret
	must.Eq(t, 200, h.do(withB).Status)
	open := 0
	for _, link := range links {
		link.setCut(true)
		open += link.forget()
	}
	must.Positive(t, open)
	must.NoError(t, h.Apply(2, fmt.Sprintf("withdrawn:\n  keys: [%q]\n", h.KeyID("B"))))
	before, err := cutOff.Stats()
	must.NoError(t, err)
	for n := range waiting {
		for _, call := range []system.Call{withA, withB} {
			answer := h.do(call)
			must.Eq(t, "not-run", answer.Outcome, must.Sprint(answer))
			must.Eq(t, "lease_expired", answer.Kind, must.Sprint(answer))
		}
		elsewhere := withA
		elsewhere.Ingress = h.Instance([]string{"tides-1", "oprema-2"}[n%2]).Ingress
		must.Eq(t, 200, h.do(elsewhere).Status)
	}
	after, err := cutOff.Stats()
	must.NoError(t, err)
	must.Eq(t, before.Requests, after.Requests)

	for _, link := range links {
		link.setCut(false)
	}
	must.NoError(t, system.Await(settleLimit, func() error {
		if answer := h.do(withA); answer.Status != 200 {
			return fmt.Errorf("%s", answer)
		}
		return nil
	}))
	must.Eq(t, "unauthenticated", h.do(withB).Kind)
}
