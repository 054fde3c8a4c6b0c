package daemon

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/peer"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/connection/target"
	"github.com/teaselrack/teaselrack/internal/process/admission"
	"github.com/teaselrack/teaselrack/internal/process/announce"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/events"
	"github.com/teaselrack/teaselrack/internal/process/ledger"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/process/renewal"
	"github.com/teaselrack/teaselrack/internal/process/routing"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/inflight"
	"github.com/teaselrack/teaselrack/internal/request/permit"
)

// build creates all components of the daemon, connections first.
func (d *Daemon) build() error {
	s := d.settings
	d.events = events.New(s.Instance, events.DefaultCapacity, time.Now)
	d.pool = rpc.NewPool(d.identity)
	d.group.AddCloser("links", d.pool)
	d.peerClient = peer.NewClient(d.identity, peer.Options{})
	d.group.AddCloser("peer connections", closeFunc(d.peerClient.Close))
	d.targetClient = target.NewClient(target.Options{})
	d.group.AddCloser("target connections", closeFunc(d.targetClient.Close))
	d.inFlight = inflight.NewTable()
	if err := d.buildState(); err != nil {
		return err
	}
	d.buildPolicy()
	d.buildRenewal()
	return d.buildControl()
}

// buildState creates what the renewal loop fills: the configuration and the
// table of targets.
func (d *Daemon) buildState() error {
	store, err := openFloor(d.settings.DataDir)
	if err != nil {
		return err
	}
	d.configuration = configuration.NewHolder(configuration.HolderOptions{Now: d.clock.Now, Save: store.saveFunc(), Floor: store.floor})
	d.registry = registry.NewTable(time.Now)
	d.registry.LogTo(d.log)
	return nil
}

// buildPolicy creates the components that decide about requests.
func (d *Daemon) buildPolicy() {
	s := d.settings
	d.router = routing.New(routing.Options{
		FailureDomain: s.FailureDomain,
		Targets:       d.registry.Targets,
		InService:     d.inService,
		Weight:        d.weight,
		Events:        d.events,
		Instance:      s.Instance,
	})
	d.admission = admission.New(admission.Options{Weight: d.weight, Events: d.events, Instance: s.Instance})
	d.permits = permit.New(permit.Options{Self: s.Advertise.Peer, RequestPermit: d.requestPermit, FirstAttempts: d.router.Requests})
	d.localTargets = announce.New(announce.Hooks{OnAnnounce: d.onAnnounce, OnExpire: d.onExpire})
}

func (d *Daemon) buildRenewal() {
	s := d.settings
	d.quota = quota.NewHolder(d.clock.Now, d.requestTokens)
	d.renewal = renewal.New(renewal.Options{
		Instance:      s.Instance,
		Session:       envelope.NewID(),
		PeerAddress:   s.Advertise.Peer,
		FailureDomain: s.FailureDomain,
		Replicas:      s.Replicas,
		Subscriptions: d.subscriptions,
		Interval:      s.RenewInterval,
		Caller:        d.pool,
		Configuration: d.configuration,
		Registry:      d.registry,
		Quota:         d.quota,
		Targets:       d.localTargets.List,
		Leaving:       d.drain.Draining,
		Clock:         d.clock.Now,
		Recorder:      d.events,
		Log:           d.log,
	})
	d.ledger = ledger.NewClient(d.renewal, s.Control.LedgerShards)
}

// subscriptions returns the services that this daemon may call: those of the
// settings or, if there are none, those of all routes in effect.
func (d *Daemon) subscriptions() []string {
	if len(d.settings.Subscribe) > 0 {
		return d.settings.Subscribe
	}
	return d.configuration.Current().ServiceNames()
}

func (d *Daemon) weight(team string) uint32 {
	t, _ := d.configuration.Current().Team(team)
	return t.Weight
}

func (d *Daemon) inService(r protocol.TargetRecord) bool {
	state := d.configuration.Current()
	return state.DomainInService(r.FailureDomain) && state.TargetInService(r.Service, r.Instance)
}

// onAnnounce applies a new or changed announcement of a local target.
func (d *Daemon) onAnnounce(before *protocol.Announcement, after protocol.Announcement) {
	d.admission.Announce(time.Now(), after)
	d.targetClient.SetLimit(after.Address, after.Connections)
	if before == nil || before.State != after.State || before.Incarnation != after.Incarnation {
		d.events.Record(protocol.Event{Name: "target.announced", Target: after.Service, Detail: string(after.State)})
		d.renewal.RenewNow()
	}
}

// onExpire removes a local target whose announcement has expired.
func (d *Daemon) onExpire(last protocol.Announcement) {
	d.admission.Expire(last.Service)
	d.targetClient.RemoveTarget(last.Address)
	d.events.Record(protocol.Event{Name: "target.expired", Target: last.Service})
	d.renewal.RenewNow()
}
