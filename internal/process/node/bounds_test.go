package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/teaselrack/teaselrack/internal/process/control"
)

// TestBoundsThatCannotBeKept guards against a deployment whose bounds are shorter than the
// intervals of this build, and nobody is told.
func TestBoundsThatCannotBeKept(t *testing.T) {
	unmet := func(b Bounds) (names []string) {
		core, lines := observer.New(zap.WarnLevel)
		b.logUnmet(zap.New(core))
		for _, line := range lines.All() {
			names = append(names, line.ContextMap()["bound"].(string))
		}
		return names
	}
	stated := Bounds{Acknowledge: 4 * time.Second, InEffect: 2 * time.Second, OutOfService: 5 * time.Second, Contact: 3 * time.Second}
	must.SliceEmpty(t, unmet(stated))
	must.SliceEmpty(t, unmet(Bounds{}))
	must.Eq(t, control.DefaultEffectTimeout, stated.effectTimeout())

	stated.Acknowledge, stated.InEffect = 2*time.Second, 500*time.Millisecond
	must.Eq(t, []string{"acknowledgment of an order", "configuration in effect"}, unmet(stated))
	must.Eq(t, control.ContactTimeout, stated.effectTimeout())
	stated.OutOfService, stated.Contact = 800*time.Millisecond, 2*time.Second
	must.Eq(t, []string{"acknowledgment of an order", "configuration in effect", "failure domain out of service", "contact"}, unmet(stated))
}
