package scenario

import (
	"time"

	"github.com/teaselrack/teaselrack/bench/simulation"
	"github.com/teaselrack/teaselrack/internal/version"
)

// StenoLac returns a transcription mesh in four failure domains, with a tenth
// of the slots and connections of the real deployment.
func StenoLac() *simulation.Deployment {
	brouillon := simulation.Call{Service: "brouillon", Work: 3 * time.Millisecond}
	archives := simulation.Call{Service: "archives", Work: 10 * time.Millisecond}
	lookup := archives
	lookup.Calls = []simulation.Call{brouillon}
	certify := simulation.Call{Service: "sceau", Work: 15 * time.Millisecond, Calls: []simulation.Call{lookup}}
	invoice := simulation.Call{Service: "factura", Work: 15 * time.Millisecond, Calls: []simulation.Call{archives}}
	return &simulation.Deployment{
		Name:           "stenolac",
		FailureDomains: []string{"quebec", "levis", "beauport", "sillery"},
		Services: []simulation.Service{
			{Name: "archives", Targets: 4, Slots: 7, Connections: 53},
			{Name: "sceau", Targets: 4, Slots: 7, Connections: 53},
			{Name: "factura", Targets: 4, Slots: 7, Connections: 53},
			{Name: "brouillon", Targets: 4, Slots: 2, Connections: 22},
		},
		Routes: []simulation.Route{
			{Name: "certify", Share: 0.10, Importance: version.Critical, Call: certify},
			{Name: "submit", Share: 0.20, Importance: version.High, Call: lookup},
			{Name: "invoice", Share: 0.10, Importance: version.High, Call: invoice},
			{Name: "lookup", Share: 0.50, Importance: version.Normal, Call: lookup},
			{Name: "index", Share: 0.10, Importance: version.Low, Call: archives},
		},
		Teams:       teams(),
		RequestRate: 1000,
		DeepService: "brouillon",
	}
}
