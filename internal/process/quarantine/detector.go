package quarantine

import "time"

const (
	// maxLosses bounds the requests that are remembered as lost.
	maxLosses = 256
	// maxLossAge is how long before the sign of a crash a request may have been lost.
	maxLossAge = 10 * time.Second
)

// Detector determines which requests a target was running when it crashed. A request
// that was lost is a suspect if the target gave no further sign of life before the sign
// of a crash: a refused connection, or another target at its address. One that the same
// incarnation has run to the end before is none: it does not crash whatever runs it. It
// is not safe for concurrent use.
type Detector struct {
	losses []loss
	// survived holds requests that the current incarnation has run to the end.
	survived contentSet
}

type loss struct {
	content Fingerprint
	at      time.Time
}

// Lost records a request that ended without a complete response.
func (d *Detector) Lost(now time.Time, content Fingerprint) {
	if len(d.losses) >= maxLosses {
		d.losses = d.losses[1:]
	}
	d.losses = append(d.losses, loss{content, now})
}

// Responded records a complete response to a request that was sent at a time. The
// target has not crashed before.
func (d *Detector) Responded(sent time.Time) {
	n := 0
	for n < len(d.losses) && d.losses[n].at.Before(sent) {
		n++
	}
	d.losses = d.losses[n:]
}

// Survived records that the current incarnation has run a request to the end.
func (d *Detector) Survived(content Fingerprint) { d.survived.add(content) }

// Restarted forgets what the previous incarnation has run.
func (d *Detector) Restarted() { d.survived = contentSet{} }

// Crashed returns the suspects, without duplicates, and forgets them.
func (d *Detector) Crashed(now time.Time) []Fingerprint {
	var suspects []Fingerprint
	seen := make(map[Fingerprint]bool)
	for _, l := range d.losses {
		if now.Sub(l.at) <= maxLossAge && !seen[l.content] && !d.survived.has(l.content) {
			seen[l.content] = true
			suspects = append(suspects, l.content)
		}
	}
	d.losses = nil
	return suspects
}
