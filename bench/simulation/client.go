package simulation

import (
	"math/rand/v2"
	"time"
)

// system is the system under test: the product or the naive baseline.
type system interface {
	// send starts the processing of one attempt of a client. The system closes
	// the request when it has a result.
	send(r *Request)
	// targetChanged is called after a target stopped, started, restarted or
	// announced itself as cold.
	targetChanged(t *target, c targetChange)
}

// targetChange is what changed at a target.
type targetChange uint8

const (
	changeDown targetChange = iota
	changeUp
	changeRestart
	changeAnnouncedCold
)

// clientRequest is one request of a client, over all its attempts.
type clientRequest struct {
	team      int
	route     int
	firstSent time.Duration
	phase     int
	attempts  int
}

// loadGenerator sends the requests of all teams.
type loadGenerator struct {
	sim    *simulation
	random *rand.Rand
}

// start starts one arrival process for each team.
func (g *loadGenerator) start() {
	for team := range g.sim.deployment.Teams {
		g.scheduleArrival(team)
	}
}

// scheduleArrival schedules the next arrival of a team: a Poisson process at
// the highest rate of the scenario, thinned to the current rate.
func (g *loadGenerator) scheduleArrival(team int) {
	maxRate := g.sim.teamRate(team) * g.sim.scenario.maxLoad()
	wait := time.Duration(g.random.ExpFloat64() / maxRate * float64(time.Second))
	g.sim.loop.After(wait, func() {
		load := g.sim.scenario.load(g.sim.loop.Now(), team)
		if g.random.Float64()*g.sim.scenario.maxLoad() < load {
			g.arrive(team)
		}
		g.scheduleArrival(team)
	})
}

func (g *loadGenerator) arrive(team int) {
	sim := g.sim
	now := sim.loop.Now()
	r := &clientRequest{team: team, route: g.pickRoute(), firstSent: now, phase: sim.scenario.phase(now)}
	sim.stats.Offered[now/BucketWidth]++
	cell := &sim.stats.Cells[team][r.route]
	cell.Offered[r.phase]++
	cell.Seconds[now/time.Second].Offered++
	g.sendAttempt(r)
}

func (g *loadGenerator) pickRoute() int {
	v := g.random.Float64()
	routes := g.sim.deployment.Routes
	for i := range routes {
		v -= routes[i].Share
		if v < 0 {
			return i
		}
	}
	return len(routes) - 1
}

func (g *loadGenerator) sendAttempt(r *clientRequest) {
	sim := g.sim
	r.attempts++
	sim.stats.Attempts++
	request := &Request{
		id:       sim.nextRequestID(),
		team:     r.team,
		route:    &sim.deployment.Routes[r.route],
		deadline: sim.loop.Now() + clientTimeout,
		stats:    sim.stats,
	}
	request.onClose = func(ok bool) { sim.loop.After(delayClient, func() { g.handleResult(r, ok) }) }
	sim.loop.At(request.deadline, func() { request.close(false) })
	sim.loop.After(delayClient, func() { sim.system.send(request) })
}

func (g *loadGenerator) handleResult(r *clientRequest, ok bool) {
	sim := g.sim
	if ok {
		sim.stats.Completed[min(int(sim.loop.Now()/BucketWidth), len(sim.stats.Completed)-1)]++
		cell := &sim.stats.Cells[r.team][r.route]
		cell.Completed[r.phase]++
		cell.Seconds[r.firstSent/time.Second].Completed++
		if r.attempts == 1 {
			sim.stats.OnFirstAttempt[r.firstSent/BucketWidth]++
			cell.OnFirstAttempt[r.phase]++
		}
		return
	}
	if r.attempts >= maxClientAttempts {
		return
	}
	backoff := time.Duration(float64(clientBackoff) * (0.5 + g.random.Float64()))
	sim.loop.After(backoff, func() { g.sendAttempt(r) })
}
