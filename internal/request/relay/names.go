package relay

// HeaderNames are the headers in which callers and targets carry what this
// package works with, in canonical form.
type HeaderNames struct {
	// RequestID names one attempt of a caller; targets repeat it.
	RequestID string
	// Deadline is the time that is left, in whole milliseconds.
	Deadline string
	// Key is the caller's key. It is never passed on.
	Key string
	// Team tells a target whom it works for.
	Team string
	// Origin tells a target on which service's machine the request began.
	Origin string
	// Expect names the target that a request is meant for.
	Expect string
	// Target names the target that answers.
	Target string
	// NotRun marks the answer of a target that did not run the request.
	NotRun string
}

// DefaultNames are the headers of this system's own interface.
func DefaultNames() HeaderNames {
	return HeaderNames{
		RequestID: "Teaselrack-Request",
		Deadline:  "Teaselrack-Timeout",
		Key:       "Teaselrack-Key",
		Team:      "Teaselrack-Team",
		Origin:    "Teaselrack-Origin",
		Expect:    "Teaselrack-Expect",
		Target:    "Teaselrack-Target",
		NotRun:    "Teaselrack-Not-Run",
	}
}

// Headers between daemons, in canonical form.
const (
	headerPassage = "Teaselrack-Passage"
	headerKind    = "Teaselrack-Kind"
	headerLoad    = "Teaselrack-Load"
	headerWait    = "Teaselrack-Wait"
	headerLevel   = "Teaselrack-Level"
)
