package admission

// maxIdleFlows bounds the number of teams without waiting tickets that a class
// remembers.
const maxIdleFlows = 256

// class is the queue of one importance: start-time fair queueing over teams.
// Serving a team advances its virtual time by 1/weight, and the team with the
// earliest virtual time is served next.
type class struct {
	flows       map[string]*flow
	active      []*flow
	virtualTime float64
	waiting     int
}

func (c *class) push(t *Ticket) {
	f := c.flowOf(t)
	if len(f.tickets) == 0 {
		f.start = max(f.start, c.virtualTime)
		c.active = append(c.active, f)
	}
	f.tickets = append(f.tickets, t)
	c.waiting++
}

// serve removes the ticket that is due first and charges its team. It must only
// be called while tickets wait.
func (c *class) serve() *Ticket {
	i := c.earliest()
	f := c.active[i]
	c.virtualTime = f.start
	f.start += 1 / f.weight
	t := f.popHead()
	c.removed(i)
	return t
}

// reject removes the ticket that is due first without charging its team.
func (c *class) reject() *Ticket {
	i := c.earliest()
	t := c.active[i].popHead()
	c.removed(i)
	return t
}

// displace removes the newest ticket of the team with the largest backlog
// relative to its weight.
func (c *class) displace() *Ticket {
	i := c.largest()
	t := c.active[i].popTail()
	c.removed(i)
	return t
}

func (c *class) remove(t *Ticket) bool {
	for i, f := range c.active {
		if f.team == t.Team && f.remove(t) {
			c.removed(i)
			return true
		}
	}
	return false
}

// removed updates the counts after a ticket left the i-th active flow.
func (c *class) removed(i int) {
	c.waiting--
	if len(c.active[i].tickets) > 0 {
		return
	}
	last := len(c.active) - 1
	c.active[i] = c.active[last]
	c.active[last] = nil
	c.active = c.active[:last]
	c.forget()
}

// forget removes idle teams: all of them if no team waits, and those that are
// not ahead in virtual time if there are too many.
func (c *class) forget() {
	if len(c.active) == 0 {
		clear(c.flows)
		c.virtualTime = 0
		return
	}
	if len(c.flows) < len(c.active)+maxIdleFlows {
		return
	}
	for team, f := range c.flows {
		if len(f.tickets) == 0 && f.start <= c.virtualTime {
			delete(c.flows, team)
		}
	}
}

// earliest returns the index of the active flow that is served next.
func (c *class) earliest() int {
	best := -1
	for i, f := range c.active {
		if best < 0 || f.start < c.active[best].start {
			best = i
		}
	}
	return best
}

// largest returns the index of the active flow with the largest backlog.
func (c *class) largest() int {
	best := -1
	for i, f := range c.active {
		if best < 0 || f.backlog() > c.active[best].backlog() {
			best = i
		}
	}
	return best
}

// flowOf returns the flow of t's team, with the weight that t carries.
func (c *class) flowOf(t *Ticket) *flow {
	if c.flows == nil {
		c.flows = make(map[string]*flow)
	}
	f, ok := c.flows[t.Team]
	if !ok {
		f = &flow{team: t.Team, start: c.virtualTime}
		c.flows[t.Team] = f
	}
	f.weight = weightOf(t)
	return f
}

func weightOf(t *Ticket) float64 { return float64(max(t.Weight, 1)) }

// ahead estimates the number of tickets of this importance that would be served
// before t if it were pushed now.
func (c *class) ahead(t *Ticket) int {
	own := 0
	if f, ok := c.flows[t.Team]; ok {
		own = len(f.tickets)
	}
	return min(c.waiting, own*max(len(c.active), 1)+len(c.active))
}
