package e2e

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

// TestBlackholedPeerConnections guards against requests that hang on a peer
// connection that accepts data but delivers none. After each round all open
// connections to the peer listeners are blackholed, while new ones work.
// Idempotent requests must still get complete responses within their timeout.
func TestBlackholedPeerConnections(t *testing.T) {
	var proxies []*tcpProxy
	h := start(t, func(l *system.Layout) {
		for n := range l.Instances {
			proxy := newTCPProxy(t, l.Instances[n].Peer)
			l.Instances[n].AdvertisedPeer = proxy.listener.Addr().String()
			proxies = append(proxies, proxy)
		}
	})
	for round := range 3 {
		for n := range 12 {
			request := system.Request{Ingress: h.Instances[n%6].Ingress, Method: "GET", Path: fmt.Sprintf("/slots?silent-%d-%d", round, n), Key: h.Keys["A"].Secret}
			response := h.do(request)
			must.Eq(t, 200, response.Status, must.Sprintf("round %d, request %d: %s", round, n, response))
			must.Len(t, services, response.Target.Chain())
		}
		for _, proxy := range proxies {
			must.Positive(t, proxy.blackholeOpen())
		}
	}
}

// TestDaemonIsolatedFromControl guards against a daemon that acts on outdated
// configuration. The daemon is isolated from all control replicas for longer than
// the freshness lease, while clients and peers still reach it. Meanwhile an API key
// is withdrawn. The daemon must reject all requests with lease_expired. It serves
// requests again when it can reconnect to the control replicas.
func TestDaemonIsolatedFromControl(t *testing.T) {
	var proxies []*tcpProxy
	h := start(t, func(l *system.Layout) {
		for _, address := range l.Replicas() {
			proxies = append(proxies, newTCPProxy(t, address))
		}
		for _, proxy := range proxies {
			via := &l.Instance("oprema-1").ControlVia
			*via = append(*via, proxy.listener.Addr().String())
		}
	})
	isolated := h.Instance("oprema-1")
	withA := system.Request{Ingress: isolated.Ingress, Method: "GET", Path: "/slots?cut", Key: h.Keys["A"].Secret}
	withB := withA
	withB.Key = h.Keys["B"].Secret
	must.Eq(t, 200, h.do(withB).Status)
	blackholed := 0
	for _, proxy := range proxies {
		proxy.setBlackholeNew(true)
		blackholed += proxy.blackholeOpen()
	}
	must.Positive(t, blackholed)
	must.NoError(t, h.Apply(2, fmt.Sprintf("withdrawn:\n  keys: [%q]\n", h.KeyID("B"))))
	before, err := isolated.Stats()
	must.NoError(t, err)
	for n := range probeRequests {
		for _, request := range []system.Request{withA, withB} {
			response := h.do(request)
			must.Eq(t, "not-run", response.Outcome, must.Sprint(response))
			must.Eq(t, "lease_expired", response.Kind, must.Sprint(response))
		}
		otherDaemon := withA
		otherDaemon.Ingress = h.Instance([]string{"tides-1", "oprema-2"}[n%2]).Ingress
		must.Eq(t, 200, h.do(otherDaemon).Status)
	}
	after, err := isolated.Stats()
	must.NoError(t, err)
	must.Eq(t, before.Requests, after.Requests)

	for _, proxy := range proxies {
		proxy.setBlackholeNew(false)
	}
	must.NoError(t, system.Await(settleTimeout, func() error {
		if response := h.do(withA); response.Status != 200 {
			return fmt.Errorf("%s", response)
		}
		return nil
	}))
	must.Eq(t, "unauthenticated", h.do(withB).Kind)
}
