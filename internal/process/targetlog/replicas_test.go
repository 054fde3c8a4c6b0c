package targetlog

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// randomCommand returns a command with some of everything that the log records.
func randomCommand(random *rand.Rand) Command {
	var c Command
	contents := func() []uint64 {
		list := make([]uint64, random.IntN(6))
		for i := range list {
			list[i] = uint64(random.IntN(12))
		}
		return list
	}
	switch random.IntN(5) {
	case 0:
		c.Departure = &Departure{fmt.Sprint("d", random.IntN(20)), []string{fmt.Sprint("t/", random.IntN(30))}}
	case 1, 2:
		for range 1 + random.IntN(3) {
			c.Crashes = append(c.Crashes, protocol.CrashReport{Incarnation: fmt.Sprint("t/", random.IntN(600)), Suspects: contents(), Familiar: contents()})
		}
	case 3:
		c.Completed = contents()
	}
	c.Convicted, c.Familiar = contents(), contents()
	c.Probes = []protocol.ProbeRequest{{Content: uint64(random.IntN(12)), Holder: "h"}}
	return c
}

// TestReplicasDisagree guards against replicas that end in different states: one applied all
// commands, others were restored from its snapshot at some time and applied the rest.
func TestReplicasDisagree(t *testing.T) {
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 1))
		replicas := []*Machine{NewMachine()}
		now := time.Duration(0)
		for n := range 1500 {
			now += time.Duration(random.IntN(int(4 * time.Second)))
			command, err := randomCommand(random).Encode(now)
			must.NoError(t, err)
			for _, m := range replicas {
				m.Apply(0, command)
			}
			if n%500 == 499 {
				snapshot, err := replicas[0].Snapshot()
				must.NoError(t, err)
				restored := NewMachine()
				must.NoError(t, restored.Restore(snapshot))
				replicas = append(replicas, restored)
			}
		}
		first, err := replicas[0].Snapshot()
		must.NoError(t, err)
		for _, m := range replicas[1:] {
			other, err := m.Snapshot()
			must.NoError(t, err)
			must.Eq(t, first, other, must.Sprint("seed ", seed))
			must.Eq(t, replicas[0].Quarantine.Update(now, "e", "h", protocol.RenewRequest{}), m.Quarantine.Update(now, "e", "h", protocol.RenewRequest{}))
		}
	}
}
