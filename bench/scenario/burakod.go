// Package scenario defines the deployments, load profiles and disturbances of
// the policy benchmark.
package scenario

import (
	"time"

	"github.com/teaselrack/teaselrack/bench/simulation"
	"github.com/teaselrack/teaselrack/internal/version"
)

// BuraKod returns a booking mesh in three failure domains, with a tenth of the
// slots and connections of the real deployment.
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
			{Name: "tides", Targets: 5, Slots: 13, Connections: 90},
			{Name: "blagajna", Targets: 4, Slots: 16, Connections: 110},
			{Name: "oprema", Targets: 3, Slots: 21, Connections: 140},
			{Name: "raspored", Targets: 3, Slots: 4, Connections: 34},
		},
		Routes: []simulation.Route{
			{Name: "pay", Share: 0.10, Importance: version.Critical, Call: pay},
			{Name: "hold", Share: 0.15, Importance: version.High, Call: hold},
			{Name: "refresh", Share: 0.60, Importance: version.Normal, Call: refresh},
			{Name: "browse", Share: 0.15, Importance: version.Low, Call: tides},
		},
		Teams:       teams(),
		RequestRate: 2200,
		DeepService: "raspored",
	}
}

// teams returns eight tenants, three of them with most of the load.
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
