package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/process/quarantine"
)

const deadly = quarantine.Fingerprint(77)

// crash reports crashes of targets of a daemon.
func (d *daemonProcess) crash(names ...string) {
	for _, name := range names {
		d.run.Load().quarantine.AddCrash(name, []quarantine.Fingerprint{deadly})
	}
}

// TestQuarantineIsForgottenInARestart guards against a request that is quarantined and
// reaches targets again after all processes were killed, however soon after its first
// refusal. A kill before the third crash takes no evidence away either.
func TestQuarantineIsForgottenInARestart(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed)
		_, err := c.apply(teamNote)
		must.NoError(t, err)
		time.Sleep(4 * time.Second)
		for i := range 2 {
			c.daemons[i].crash(fmt.Sprint("i-", i, "/1"))
		}
		time.Sleep(time.Second)
		c.killAll()
		time.Sleep(4 * time.Second)
		must.NoError(t, c.daemons[0].run.Load().quarantine.Check(deadly))
		c.daemons[2].crash("i-2/1")
		refused := false
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			for _, d := range c.daemons {
				refused = refused || d.run.Load().quarantine.Check(deadly) != nil
			}
			if refused {
				break
			}
		}
		must.True(t, refused, must.Sprint("within three seconds of the third crash"))
		c.killAll()
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			for _, d := range c.daemons {
				if run := d.run.Load(); run.configuration.Current().Number() > 0 {
					must.Error(t, run.quarantine.Check(deadly), must.Sprint("known before the configuration"))
				}
			}
		}
		for _, d := range c.daemons {
			must.Positive(t, d.run.Load().configuration.Current().Number())
		}
	})
}

// TestCompletionReleasesEverywhere checks that a request that completes at one daemon is
// released at all of them.
func TestCompletionReleasesEverywhere(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed)
		_, err := c.apply(teamNote)
		must.NoError(t, err)
		time.Sleep(4 * time.Second)
		c.daemons[0].crash("a/1", "b/1", "c/1")
		time.Sleep(4 * time.Second)
		for _, d := range c.daemons {
			must.Error(t, d.run.Load().quarantine.Check(deadly))
		}
		c.daemons[1].run.Load().quarantine.Completed(deadly)
		time.Sleep(4 * time.Second)
		for _, d := range c.daemons {
			must.NoError(t, d.run.Load().quarantine.Check(deadly))
		}
	})
}

func newQuarantineList(d *daemonProcess) *quarantine.List {
	return quarantine.NewList(time.Now, func() {
		if run := d.run.Load(); run != nil {
			run.loop.RenewNow()
		}
	}, zap.NewNop())
}
