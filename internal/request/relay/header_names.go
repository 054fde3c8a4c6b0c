package relay

// HeaderNames are the names of the headers that callers and targets exchange
// with the daemon, in canonical form.
type HeaderNames struct {
	// RequestID is the ID of one attempt of a caller. Targets echo it.
	RequestID string
	// Deadline is the remaining time in whole milliseconds.
	Deadline string
	// Key is the caller's API key. It is never forwarded.
	Key string
	// Team tells a target on whose behalf a request runs.
	Team string
	// Origin tells a target the service of the instance where the request
	// entered.
	Origin string
	// Expect is the ID of the target that a request is meant for.
	Expect string
	// Target is the ID of the target that responds.
	Target string
	// NotRun marks the response of a target that did not run the request.
	NotRun string
	// Limit is the number of requests per second that the target takes from all
	// instances together, as a decimal number.
	Limit string
	// Leaving is 1 in the responses of a target that leaves.
	Leaving string
}

// DefaultNames returns the header names of Teaselrack's native interface.
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
		Limit:     "Teaselrack-Limit",
		Leaving:   "Teaselrack-Leaving",
	}
}

// Headers that daemons exchange among themselves, in canonical form.
const (
	headerMetadata   = "Teaselrack-Passage"   // an encoded ForwardingMetadata
	headerErrorKind  = "Teaselrack-Kind"      // the fault.Kind of an error response
	headerLoad       = "Teaselrack-Load"      // running and queued requests per slot
	headerRetryAfter = "Teaselrack-Wait"      // in microseconds
	headerShedLevel  = "Teaselrack-Level"     // a shedding.Bottleneck
	headerStatement  = "Teaselrack-Statement" // a protocol.Statement, if not empty
	// headerShedLevelEnds is the EndsIn of the shedding.Bottleneck, in milliseconds.
	headerShedLevelEnds = "Teaselrack-Level-Ends"
	// headerCalledLoad is the load of the services that the request calls, in requests
	// per slot, where that may decide on the target.
	headerCalledLoad = "Teaselrack-Calls-Load"
)
