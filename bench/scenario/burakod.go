// Package scenario holds the deployments and the courses of load and failure
// that the policy is measured with.
package scenario

import (
	"time"

	"github.com/teaselrack/teaselrack/bench/simulation"
	"github.com/teaselrack/teaselrack/internal/version"
)

// BuraKod is a booking mesh in three failure domains, with a tenth of the slots
// and connections of the real one.
func BuraKod() *simulation.Deployment {
	raspored := simulation.Call{Service: "raspored", Work: 4 * time.Millisecond}
	tides := simulation.Call{Service: "tides", Work: 10 * time.Millisecond}
	refresh := tides
	refresh.Calls = []simulation.Call{raspored}
	hold := simulation.Call{Service: "oprema", Work: 15 * time.Millisecond, Calls: []simulation.Call{raspored}}
	pay := simulation.Call{Service: "blagajna", Work: 20 * time.Millisecond, Calls: []simulation.Call{hold}}
	return &simulation.Deployment{
		Name:           "burakod",
		FailureDomains: []string{"split", "zadar", "pula"},
		Services: []simulation.Service{
			{Name: "tides", Servers: 5, Slots: 13, Connections: 90},
			{Name: "blagajna", Servers: 4, Slots: 16, Connections: 110},
			{Name: "oprema", Servers: 3, Slots: 21, Connections: 140},
			{Name: "raspored", Servers: 3, Slots: 4, Connections: 34},
		},
		Routes: []simulation.Route{
			{Name: "pay", Share: 0.10, Importance: version.Critical, Call: pay},
			{Name: "hold", Share: 0.15, Importance: version.High, Call: hold},
			{Name: "refresh", Share: 0.60, Importance: version.Normal, Call: refresh},
			{Name: "browse", Share: 0.15, Importance: version.Low, Call: tides},
		},
		Teams: teams(),
		Load:  2200,
		Deep:  "raspored",
	}
}

// teams are eight tenants, a few of them large.
func teams() []simulation.Team {
	return []simulation.Team{
		{Name: "galeb", Share: 0.30},
		{Name: "maestral", Share: 0.22},
		{Name: "bonaca", Share: 0.18},
		{Name: "oseka", Share: 0.08},
		{Name: "plima", Share: 0.07},
		{Name: "levant", Share: 0.06},
		{Name: "tramontana", Share: 0.05},
		{Name: "jugo", Share: 0.04},
	}
}
