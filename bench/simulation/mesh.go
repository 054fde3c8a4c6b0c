package simulation

import (
	"context"
	"math/rand/v2"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/admission"
	"github.com/teaselrack/teaselrack/internal/process/routing"
	"github.com/teaselrack/teaselrack/internal/request/permit"
)

// mesh is the product: one daemon per target. records holds the target records
// of the registry, by service.
type mesh struct {
	sim     *simulation
	daemons []*daemon
	byName  map[string]*daemon
	records map[string][]protocol.TargetRecord
	random  *rand.Rand
}

// daemon holds the product's admission queue, router and permit allocator of
// one process.
type daemon struct {
	name     string
	target   *target
	queue    *admission.Queue
	router   *routing.Router
	permits  *permit.Allocator
	alive    bool
	inFlight []*attempt
}

func newMesh(sim *simulation) *mesh {
	m := &mesh{sim: sim, byName: make(map[string]*daemon), records: make(map[string][]protocol.TargetRecord)}
	m.random = rand.New(rand.NewPCG(sim.random.Uint64(), 3))
	for _, t := range sim.targets {
		d := m.newDaemon(t)
		m.daemons = append(m.daemons, d)
		m.byName[d.name] = d
		m.announce(d, protocol.Warm)
	}
	m.rebuildRegistry()
	return m
}

func (m *mesh) newDaemon(t *target) *daemon {
	d := &daemon{name: t.name, target: t, alive: true}
	d.queue = admission.NewQueue(m.sim.loop.Clock(), m.ticketDecided, m.countColdStart)
	d.router = routing.New(routing.Options{
		Clock:         m.sim.loop.Clock,
		FailureDomain: t.domain,
		Targets:       func(s string) []protocol.TargetRecord { return m.records[s] },
		Rand:          m.random.Uint64,
	})
	d.permits = permit.New(permit.Options{
		Self:          t.name,
		RequestPermit: m.requestPermit,
		FirstAttempts: d.router.Requests,
	})
	return d
}

// countColdStart counts the cold starts that the queues began, by reason.
func (m *mesh) countColdStart(name, detail string) {
	if name == admission.EventCold {
		m.sim.stats.ColdStarts[detail]++
	}
}

// requestPermit requests a permit from the allocator of the root. The hop adds
// the round-trip time.
func (m *mesh) requestPermit(_ context.Context, root, requestID string) bool {
	r := m.byName[root]
	return r.alive && r.permits.Grant(requestID)
}

// rebuildRegistry rebuilds the target records from the daemons that are up.
func (m *mesh) rebuildRegistry() {
	clear(m.records)
	for _, d := range m.daemons {
		if !d.alive {
			continue
		}
		t := d.target
		m.records[t.service.Name] = append(m.records[t.service.Name], protocol.TargetRecord{
			Service:       t.service.Name,
			Instance:      d.name,
			PeerAddress:   d.name,
			FailureDomain: t.domain,
			State:         protocol.Warm,
			Slots:         t.service.Slots,
		})
	}
}

func (m *mesh) announce(d *daemon, state protocol.TargetState) {
	d.queue.Announce(m.sim.loop.Clock(), protocol.Announcement{
		Service:     d.target.service.Name,
		Incarnation: string(rune('a' + d.target.incarnation)),
		Slots:       d.target.service.Slots,
		Connections: d.target.service.Connections,
		State:       state,
	})
}

func (m *mesh) targetChanged(t *target, c targetChange) {
	d := m.byName[t.name]
	switch c {
	case changeDown:
		d.alive = false
		d.failAttempts()
		m.sim.loop.After(registryDelay, m.rebuildRegistry)
	case changeUp:
		d.alive = true
		d.queue = admission.NewQueue(m.sim.loop.Clock(), m.ticketDecided, m.countColdStart)
		m.announce(d, protocol.Warm)
		m.sim.loop.After(registryDelay, m.rebuildRegistry)
	case changeRestart, changeAnnouncedCold:
		m.announce(d, protocol.Cold)
	}
}

// failAttempts fails all attempts at a daemon whose machine went down.
func (d *daemon) failAttempts() {
	for _, a := range append([]*attempt(nil), d.inFlight...) {
		a.machineDown()
	}
}

// send picks a random daemon that is up as the root of the request. The root
// makes the first call of the chain and grants the permits for retries.
func (m *mesh) send(r *Request) {
	root := m.daemons[m.random.IntN(len(m.daemons))]
	for !root.alive {
		root = m.daemons[m.random.IntN(len(m.daemons))]
	}
	root.permits.Open(r.id, routeRetries)
	h := &hop{
		mesh:    m,
		from:    root,
		root:    root,
		request: r,
		call:    &r.route.Call,
		depth:   1,
		cohort:  uint8(m.random.IntN(128)),
	}
	h.done = func(err error) {
		root.permits.Close(r.id)
		r.close(err == nil)
	}
	r.cancel = func() {
		root.permits.Close(r.id)
		h.cancel()
	}
	h.sendAttempt()
}

// ticketDecided is called by a queue when a ticket was admitted or rejected.
func (m *mesh) ticketDecided(t *admission.Ticket) {
	a := t.Data.(*attempt)
	m.sim.loop.After(0, a.resume)
}

// errChildFailed is the result of an attempt whose target received an error
// from one of its own calls. The target itself responded in full, so the
// attempt is not retried and does not count as a failure of the target.
var errChildFailed = fault.New(fault.Overloaded, "a downstream call failed")
