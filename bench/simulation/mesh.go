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

// mesh is the product: one daemon beside each target.
type mesh struct {
	world   *world
	daemons []*daemon
	byName  map[string]*daemon
	records map[string][]protocol.TargetRecord
	random  *rand.Rand
}

// daemon holds the product's decisions of one process.
type daemon struct {
	name    string
	target  *target
	queue   *admission.Queue
	router  *routing.Router
	permits *permit.Allocator
	alive   bool
	running []*attempt
}

func newMesh(w *world) *mesh {
	m := &mesh{world: w, byName: make(map[string]*daemon), records: make(map[string][]protocol.TargetRecord)}
	m.random = rand.New(rand.NewPCG(w.random.Uint64(), 3))
	for _, t := range w.targets {
		d := m.newDaemon(t)
		m.daemons = append(m.daemons, d)
		m.byName[d.name] = d
		m.announce(d, protocol.Warm)
	}
	m.list()
	return m
}

func (m *mesh) newDaemon(t *target) *daemon {
	d := &daemon{name: t.name, target: t, alive: true}
	d.queue = admission.NewQueue(m.world.loop.Clock(), m.settled, m.noted)
	d.router = routing.New(routing.Options{
		Clock:         m.world.loop.Clock,
		FailureDomain: t.domain,
		Targets:       func(s string) []protocol.TargetRecord { return m.records[s] },
		Rand:          m.random.Uint64,
	})
	d.permits = permit.New(permit.Options{
		Self:          t.name,
		RequestPermit: m.ask,
		FirstAttempts: d.router.Requests,
	})
	return d
}

// noted counts the cold starts that the queues decided on.
func (m *mesh) noted(name, detail string) {
	if name == admission.EventCold {
		m.world.figures.ColdStarts[detail]++
	}
}

// ask reaches the root's book; the round trip is paid by the hop.
func (m *mesh) ask(_ context.Context, root, requestID string) bool {
	r := m.byName[root]
	return r.alive && r.permits.Grant(requestID)
}

// list rebuilds what the registry tells.
func (m *mesh) list() {
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
	d.queue.Announce(m.world.loop.Clock(), protocol.Announcement{
		Service:     d.target.service.Name,
		Incarnation: string(rune('a' + d.target.incarnation)),
		Slots:       d.target.service.Slots,
		Connections: d.target.service.Connections,
		State:       state,
	})
}

func (m *mesh) changed(t *target, c change) {
	d := m.byName[t.name]
	switch c {
	case changeDown:
		d.alive = false
		d.fail()
		m.world.loop.After(registryDelay, m.list)
	case changeUp:
		d.alive = true
		d.queue = admission.NewQueue(m.world.loop.Clock(), m.settled, m.noted)
		m.announce(d, protocol.Warm)
		m.world.loop.After(registryDelay, m.list)
	case changeRestart, changeAnnouncedCold:
		m.announce(d, protocol.Cold)
	}
}

// fail breaks everything at a daemon whose machine went down.
func (d *daemon) fail() {
	for _, a := range append([]*attempt(nil), d.running...) {
		a.broken()
	}
}

// send makes one daemon the root of the request.
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
	h.try()
}

// settled is called by a queue for a ticket that no longer waits.
func (m *mesh) settled(t *admission.Ticket) {
	a := t.Data.(*attempt)
	m.world.loop.After(0, a.resume)
}

// childFailed is how a target answers whose own call failed: with a whole
// answer that says so.
var childFailed = fault.New(fault.Overloaded, "a deeper call failed")
