package local

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
)

// crash is what is known about a crash of the target. The zero value stands for none.
type crash struct {
	incarnation string
	suspects    []quarantine.Fingerprint
}

// crashed returns the crash of the current incarnation. The exit of a target that has
// announced it is none.
func (t *Target) crashed(now time.Time) crash {
	suspects := t.crashes.Crashed(now)
	if t.lastHeartbeat.Leaving {
		return crash{}
	}
	return crash{t.lastHeartbeat.incarnation(), suspects}
}

// detectCrash looks for signs that the target has crashed in the outcome of a request.
// While a restart is suspected, each lost request is reported at once.
func (t *Target) detectCrash(now time.Time, s *Slot, err error) crash {
	if !t.lastHeartbeat.sameIncarnation(s.heartbeat) {
		return crash{}
	}
	switch fault.KindOf(err) {
	case "":
		t.crashes.Responded(s.ticket.Started)
		if s.Answered {
			t.crashes.Survived(s.Content)
		}
	case fault.ConnectionLost, fault.AnswerBroken, fault.DeadlineUnknown, fault.CallerGone, fault.Interrupted:
		t.crashes.Lost(now, s.Content)
		if t.restartSuspected {
			return t.crashed(now)
		}
	case fault.ConnectFailed, fault.NoTarget:
		return t.crashed(now)
	}
	return crash{}
}

func (t *Target) reportCrash(c crash) {
	if len(c.suspects) > 0 && t.options.Crashed != nil {
		t.options.Crashed(c.incarnation, c.suspects)
	}
}
