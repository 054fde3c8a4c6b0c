package shedding

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRoutesOfAnyNameAreBounded guards against memory that grows with the names of routes that
// others choose: what is kept has a bound, and ends when the names are no longer in use.
func TestRoutesOfAnyNameAreBounded(t *testing.T) {
	const names = 4 * maxRoutes
	var graph CallGraph
	var levels Levels
	now := time.Unix(1, 0)
	for i := range names {
		name := strconv.Itoa(i)
		deadline := now.Add(time.Second)
		end := graph.Begin(now, name, deadline, false)
		graph.ObserveCall(now, "called-"+name, "service-"+name, deadline)
		end()
		levels.Observe(now, name, Bottleneck{Service: "service-" + name, Level: 0.5, Cost: time.Second})
		levels.Observe(now, name, Bottleneck{})
	}
	must.Len(t, maxRoutes, graph.Routes())
	routes, services := levels.Routes()
	must.Eq(t, maxRoutes, routes)
	must.Eq(t, maxRoutes, services)
	for range 3 * routeStaleAfter / time.Second {
		now = now.Add(time.Second)
		graph.Begin(now, "used", now.Add(time.Second), false)()
		graph.ObserveCall(now, "called", "service", now.Add(time.Minute))
		levels.Observe(now, "used", Bottleneck{Service: "service", Level: 0.5})
	}
	must.Eq(t, []string{"used"}, graph.Routes())
	must.MapEmpty(t, graph.services)
	routes, services = levels.Routes()
	must.Eq(t, 1, routes)
	must.Eq(t, 1, services)
	must.Eq(t, "service", levels.ForRoute(now, "used").Service)
}
