package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestBrokenAnswerIsNoCrash guards against suspects of a target that broke off single
// responses and went on.
func TestBrokenAnswerIsNoCrash(t *testing.T) {
	now := time.Unix(1, 0)
	var d Detector
	d.Lost(now, 1)
	d.Responded(now.Add(time.Millisecond))
	d.Lost(now.Add(2*time.Millisecond), 2)
	d.Lost(now.Add(2*time.Millisecond), 2)
	d.Responded(now.Add(time.Millisecond))
	must.Eq(t, []Fingerprint{2}, d.Crashed(now.Add(3*time.Millisecond)))
	must.SliceEmpty(t, d.Crashed(now.Add(4*time.Millisecond)))
	d.Lost(now, 3)
	must.SliceEmpty(t, d.Crashed(now.Add(maxLossAge+time.Millisecond)))
}

func TestFingerprints(t *testing.T) {
	f := NewFingerprint("GET", "h", "/p", nil, 0)
	must.Eq(t, f, NewFingerprint("GET", "h", "/p", []byte{}, 0))
	for _, other := range []Fingerprint{
		NewFingerprint("POST", "h", "/p", nil, 0), NewFingerprint("GET", "h/", "p", nil, 0), NewFingerprint("GET", "h", "/p", nil, -1),
		NewFingerprint("GET", "h", "/p", []byte("a"), 1),
	} {
		must.NotEq(t, f, other)
	}
}

// TestRequestThatTheTargetHasRunIsASuspect guards against suspects that the incarnation
// has run to the end before it crashed. The next incarnation has not.
func TestRequestThatTheTargetHasRunIsASuspect(t *testing.T) {
	now := time.Unix(1, 0)
	var d Detector
	d.Survived(1)
	d.Lost(now, 1)
	d.Lost(now, 2)
	must.Eq(t, []Fingerprint{2}, d.Crashed(now))
	d.Lost(now, 1)
	must.SliceEmpty(t, d.Crashed(now))
	d.Restarted()
	d.Lost(now, 1)
	must.Eq(t, []Fingerprint{1}, d.Crashed(now))
}
