package simulation

import (
	"math/rand/v2"
	"time"
)

// system carries whole requests: the product or the naive version.
type system interface {
	// send carries one attempt of a caller and closes it.
	send(r *Request)
	// changed is called after targets were started or stopped.
	changed(t *target, c change)
}

// change is what happened to a target.
type change uint8

const (
	changeDown change = iota
	changeUp
	changeRestart
	changeAnnouncedCold
)

// intent is one whole request that a caller wants, over all its attempts.
type intent struct {
	team    int
	route   int
	first   time.Duration
	phase   int
	attempt int
}

// callers send the load of all teams.
type callers struct {
	world  *world
	random *rand.Rand
}

// run starts one arrival process for each team.
func (c *callers) run() {
	for team := range c.world.deployment.Teams {
		c.next(team)
	}
}

// next schedules the next arrival of a team: a Poisson process at the highest
// rate of the scenario, thinned to the rate in force.
func (c *callers) next(team int) {
	top := c.world.teamRate(team) * c.world.scenario.maxLoad()
	wait := time.Duration(c.random.ExpFloat64() / top * float64(time.Second))
	c.world.loop.After(wait, func() {
		load := c.world.scenario.load(c.world.loop.Now(), team)
		if c.random.Float64()*c.world.scenario.maxLoad() < load {
			c.arrive(team)
		}
		c.next(team)
	})
}

func (c *callers) arrive(team int) {
	w := c.world
	now := w.loop.Now()
	i := &intent{team: team, route: c.pickRoute(), first: now, phase: w.scenario.phase(now)}
	w.figures.Offered[now/Bucket]++
	cell := &w.figures.Cells[team][i.route]
	cell.Offered[i.phase]++
	cell.Seconds[now/time.Second].Offered++
	c.try(i)
}

func (c *callers) pickRoute() int {
	v := c.random.Float64()
	routes := c.world.deployment.Routes
	for i := range routes {
		v -= routes[i].Share
		if v < 0 {
			return i
		}
	}
	return len(routes) - 1
}

func (c *callers) try(i *intent) {
	w := c.world
	i.attempt++
	w.figures.Attempts++
	r := &Request{
		id:       w.nextID(),
		team:     i.team,
		route:    &w.deployment.Routes[i.route],
		deadline: w.loop.Now() + callerTimeout,
		figures:  w.figures,
	}
	r.onClose = func(ok bool) { w.loop.After(delayClient, func() { c.answered(i, ok) }) }
	w.loop.At(r.deadline, func() { r.close(false) })
	w.loop.After(delayClient, func() { w.system.send(r) })
}

func (c *callers) answered(i *intent, ok bool) {
	w := c.world
	if ok {
		w.figures.Completed[min(int(w.loop.Now()/Bucket), len(w.figures.Completed)-1)]++
		cell := &w.figures.Cells[i.team][i.route]
		cell.Done[i.phase]++
		cell.Seconds[i.first/time.Second].Done++
		if i.attempt == 1 {
			w.figures.Prompt[i.first/Bucket]++
			cell.Prompt[i.phase]++
		}
		return
	}
	if i.attempt >= callerAttempts {
		return
	}
	pause := time.Duration(float64(callerPause) * (0.5 + c.random.Float64()))
	w.loop.After(pause, func() { c.try(i) })
}
